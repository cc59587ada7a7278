#pragma once

#include "galenapulley/action_record.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/table_service.hpp"
#include "galenapulley/write_batcher.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// A request to run a non-idempotent action.
struct action_request
{
    action_key key;
    std::uint64_t body_hash = 0;
    /// Unique over all nodes and requests.
    std::string attempt_id;
    /// Time limit for writing the record.
    msec timeout = 1000;
};

enum class begin_state
{
    /// The row is written. The action is to be sent once, followed by a call of
    /// finish, mark_not_run or abandon.
    started,
    /// The action is done; its recorded response is to be returned.
    replay,
    /// `error` is in_progress, outcome_unknown, key_reused or
    /// store_unavailable. The action must not be sent.
    refused
};

struct begin_result
{
    begin_state state = begin_state::refused;
    recorded_response response;
    absl::Status error;
};

/// Keeps a record of every non-idempotent action in the table service, so that
/// an action runs at most once and a retry gets the recorded response.
class action_ledger
{
public:
    using begin_callback = std::function<void(begin_result)>;
    /// OK once the row has the new state; store_unavailable if that is not
    /// known at the timeout (the ledger keeps retrying).
    using recorded_callback = std::function<void(absl::Status)>;
    /// Whether the node process with that incarnation may still be running.
    using node_alive =
        std::function<bool(const std::string& node, std::int64_t incarnation)>;

    struct settings
    {
        std::string node;
        std::int64_t incarnation = 0;
        write_batcher::limits batches;
        /// Limits of background writes. A write above the limits is dropped:
        /// its row stays `started`, which never allows a second run.
        std::size_t max_background = 1024;
        std::size_t max_background_bytes = 4'194'304;
        msec first_retry = 250;
        msec max_retry = 8000;
    };

    action_ledger(const clock& time, table_service& table, settings options,
                  node_alive alive);

    /// Records the start of an attempt. `done` runs exactly once, at the latest
    /// in the first tick after the timeout.
    void begin(action_request request, begin_callback done);

    /// Records the response to a started attempt. Failed writes are retried;
    /// `done` runs once it is recorded, or after the timeout.
    void finish(const action_key& key, const std::string& attempt_id,
                recorded_response response, msec timeout = 0,
                recorded_callback done = {});

    /// Records that a started attempt was not sent, so that the action may be
    /// started under a new attempt id.
    void mark_not_run(const action_key& key, const std::string& attempt_id,
                      msec timeout, recorded_callback done = {});

    /// Drops the state of a started attempt whose outcome can't be known. Its
    /// row stays `started`.
    void abandon(const action_key& key, const std::string& attempt_id);

    /// Sends due batches and retries, and fails attempts past their deadline.
    void tick();
    /// Time of the next call of tick that has work; empty if there is none.
    std::optional<msec> next_due() const;

    std::size_t background_writes() const { return background_writes_.size(); }
    /// Number of background writes dropped because of the limits.
    std::uint64_t dropped_writes() const { return dropped_writes_; }

private:
    /// A call of begin, kept until its callback has run and its insert has
    /// completed.
    struct attempt
    {
        action_request request;
        std::string row;
        begin_callback done;
        msec deadline = 0;
        /// Version on which the insert is conditioned.
        std::int64_t version = 0;
        /// The outcome of an insert is unknown.
        bool insert_uncertain = false;
        /// The row must be read before the next insert.
        bool must_read_row = false;
        /// A call to the table service is in flight.
        bool in_flight = false;
        msec next_retry = 0;
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    /// Background write that brings the row of an attempt of this node to the
    /// state in `record`.
    struct background_write
    {
        std::string row;
        action_record record;
        /// Version on which the write is conditioned; empty if the row must be
        /// read first.
        std::optional<std::int64_t> version;
        recorded_callback done;
        msec deadline = 0;
        bool in_flight = false;
        msec next_retry = 0;
        msec delay = 0;
        std::size_t bytes = 0;
    };
    using background_write_ptr = std::shared_ptr<background_write>;

    struct started_row
    {
        std::int64_t version = 0;
        std::uint64_t body_hash = 0;
        std::string attempt_id;
    };

    void insert(const attempt_ptr& entry);
    void on_insert(const attempt_ptr& entry, commit_state state,
                   std::int64_t version);
    void on_insert_after_deadline(const attempt_ptr& entry, commit_state state,
                                  std::int64_t version);
    void read_back(const attempt_ptr& entry);
    void on_read(const attempt_ptr& entry,
                 const absl::StatusOr<table_row>& row);
    void evaluate_record(const attempt_ptr& entry, const table_row& row,
                         const action_record& record);
    void evaluate_other_attempt(const attempt_ptr& entry, const table_row& row,
                                const action_record& record);
    void start(const attempt_ptr& entry, std::int64_t version);
    void refuse(const attempt_ptr& entry, error_kind kind,
                std::string_view message);
    void complete(const attempt_ptr& entry, begin_result result);
    void advance_pending(msec now);
    void record_not_run(const attempt_ptr& entry,
                        std::optional<std::int64_t> version);

    std::optional<started_row> take_started(const std::string& row,
                                            const std::string& attempt_id);
    void add_background_write(background_write item);
    void write(const background_write_ptr& item);
    void on_write(const background_write_ptr& item, commit_state state);
    void reread(const background_write_ptr& item);
    void on_reread(const background_write_ptr& item,
                   const absl::StatusOr<table_row>& row);
    void schedule_retry(const background_write_ptr& item);
    void finish_write(const background_write_ptr& item,
                      const absl::Status& status);
    void advance_background_writes(msec now);
    action_record own_record(const std::string& attempt_id,
                             std::uint64_t body_hash, action_state state) const;

    const clock& time_;
    table_service& table_;
    settings settings_;
    node_alive node_alive_;
    write_batcher batcher_;
    std::list<attempt_ptr> pending_;
    /// Started attempts by row key.
    std::map<std::string, started_row> started_;
    std::list<background_write_ptr> background_writes_;
    std::size_t background_bytes_ = 0;
    std::uint64_t dropped_writes_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace galenapulley
