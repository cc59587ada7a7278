#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/config_document.hpp"
#include "galenapulley/table_service.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

class config_change;

struct config_writer_options
{
    /// Time limit for one change, retries included.
    msec timeout = 10'000;
    /// Time limit for one call to the table service.
    msec call_timeout = 2000;
    msec first_backoff = 50;
    msec max_backoff = 1000;
    std::uint64_t seed = 1;
};

/// Commits changes of documents to the table service. A change commits at most
/// once under its change id, even if responses of the table service are lost.
class config_writer
{
public:
    /// Receives the committed document, or one of `invalid_document`,
    /// `version_conflict`, `unknown_service`, `store_unavailable` (nothing was
    /// committed) and `outcome_unknown` (retry with the same change id).
    using done_callback = std::function<void(absl::StatusOr<config_document>)>;

    config_writer(table_service& table, const clock& time,
                  config_writer_options options = {});
    ~config_writer();
    config_writer(const config_writer&) = delete;
    config_writer& operator=(const config_writer&) = delete;

    /// Executes the change. The callback runs inside this call if the change
    /// is not valid.
    void execute(std::shared_ptr<const config_change> change,
                 std::string change_id, done_callback done);

    /// Runs due retries and fails changes past their deadline; to be called
    /// about every 50 ms.
    void tick();

    std::size_t pending() const { return pending_.size(); }

private:
    struct pending_change;
    using pending_change_ptr = std::shared_ptr<pending_change>;

    void start(const pending_change_ptr& it);
    void on_head(const pending_change_ptr& it,
                 const absl::StatusOr<table_row>& row);
    void on_document(const pending_change_ptr& it,
                     const absl::StatusOr<table_row>& row);
    void commit(const pending_change_ptr& it, const stored_document& previous,
                std::string body);
    void on_commit(const pending_change_ptr& it, const std::string& body,
                   const commit_result& result);
    void schedule_retry(const pending_change_ptr& it, std::string_view reason);
    void expire(const pending_change_ptr& it);
    msec call_timeout(const pending_change& it) const;
    void finish(pending_change_ptr it, absl::StatusOr<config_document> result);

    table_service& table_;
    const clock& clock_;
    config_writer_options options_;
    std::uint64_t random_;
    std::vector<pending_change_ptr> pending_;
};

} // namespace galenapulley
