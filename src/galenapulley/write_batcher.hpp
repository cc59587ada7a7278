#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/table_service.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// Combines conditional writes of single rows into transactions.
class write_batcher
{
public:
    /// Result of one write, and the row's new version if it was committed.
    using callback = std::function<void(commit_state, std::int64_t version)>;

    struct limits
    {
        std::size_t max_writes = 16;
        msec window = 5;
        msec store_timeout = 1000;
    };

    write_batcher(const clock& time, table_service& table, limits bounds);

    void add(std::string key, std::int64_t version, std::string value,
             callback done);
    /// Sends the batches that are due.
    void tick();
    std::optional<msec> next_due() const;

private:
    struct entry
    {
        std::string key;
        std::int64_t version = 0;
        std::string value;
        callback done;
        msec added = 0;
        /// Sent in a transaction of its own, after a conflict of a batch that
        /// no write could be identified for.
        bool alone = false;
    };
    using batch = std::vector<entry>;

    batch take_batch();
    void send(batch entries);
    void on_commit(batch& entries, const commit_result& result);
    void split(batch& entries, const std::string& conflict);

    const clock& time_;
    table_service& table_;
    limits limits_;
    std::deque<entry> queue_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace galenapulley
