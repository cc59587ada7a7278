#include "galenapulley/action_ledger.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace galenapulley
{

namespace
{

constexpr msec begin_retry_delay = 50;

} // namespace

action_ledger::action_ledger(const clock& time, table_service& table,
                             settings options, node_alive alive)
    : time_(time)
    , table_(table)
    , settings_(std::move(options))
    , node_alive_(std::move(alive))
    , batcher_(time, table, settings_.batches)
{
}

void action_ledger::begin(action_request request, begin_callback done)
{
    auto entry = std::make_shared<attempt>();
    entry->row = row_key(request.key);
    entry->deadline = time_.now() + request.timeout;
    entry->request = std::move(request);
    entry->done = std::move(done);
    pending_.push_back(entry);
    insert(entry);
}

action_record action_ledger::own_record(const std::string& attempt_id,
                                        std::uint64_t body_hash,
                                        action_state state) const
{
    return {.state = state,
            .attempt_id = attempt_id,
            .body_hash = body_hash,
            .node = settings_.node,
            .incarnation = settings_.incarnation,
            .response = {}};
}

void action_ledger::insert(const attempt_ptr& entry)
{
    entry->in_flight = true;
    const auto record =
        own_record(entry->request.attempt_id, entry->request.body_hash,
                   action_state::started);
    batcher_.add(entry->row, entry->version, format_action(record),
                 [this, entry, guard = std::weak_ptr(alive_)](
                     commit_state state, std::int64_t version)
                 {
                     if (guard.lock())
                         on_insert(entry, state, version);
                 });
}

void action_ledger::on_insert(const attempt_ptr& entry, commit_state state,
                              std::int64_t version)
{
    entry->in_flight = false;
    if (entry->done && time_.now() >= entry->deadline)
        refuse(entry, error_kind::store_unavailable,
               "the action could not be recorded in time");
    if (!entry->done)
    {
        on_insert_after_deadline(entry, state, version);
        return;
    }
    if (state == commit_state::committed)
        start(entry, version);
    else if (state == commit_state::refused)
        entry->next_retry = time_.now() + begin_retry_delay;
    else
    {
        entry->insert_uncertain |= state == commit_state::unknown;
        read_back(entry);
    }
}

// The client has received an error that states "not_run", so a row that was
// inserted nevertheless must not stay `started`.
void action_ledger::on_insert_after_deadline(const attempt_ptr& entry,
                                             commit_state state,
                                             std::int64_t version)
{
    if (state == commit_state::committed)
        record_not_run(entry, version);
    else if (state == commit_state::unknown || entry->insert_uncertain)
        record_not_run(entry, std::nullopt);
}

void action_ledger::record_not_run(const attempt_ptr& entry,
                                   std::optional<std::int64_t> version)
{
    background_write item;
    item.row = entry->row;
    item.record = own_record(entry->request.attempt_id,
                             entry->request.body_hash, action_state::not_run);
    item.version = version;
    add_background_write(std::move(item));
}

void action_ledger::read_back(const attempt_ptr& entry)
{
    entry->in_flight = true;
    entry->must_read_row = true;
    table_.read(entry->row, settings_.batches.store_timeout,
                [this, entry, guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (guard.lock())
                        on_read(entry, row);
                });
}

void action_ledger::on_read(const attempt_ptr& entry,
                            const absl::StatusOr<table_row>& row)
{
    entry->in_flight = false;
    if (entry->done && time_.now() >= entry->deadline)
        refuse(entry, error_kind::store_unavailable,
               "the action's record could not be read in time");
    if (!entry->done)
    {
        if (entry->insert_uncertain)
            record_not_run(entry, std::nullopt);
        return;
    }
    if (!row.ok())
    {
        entry->next_retry = time_.now() + begin_retry_delay;
        return;
    }
    entry->must_read_row = false;
    if (row->version == 0)
    {
        entry->version = 0;
        insert(entry);
        return;
    }
    if (const auto record = parse_action(row->value))
        evaluate_record(entry, *row, *record);
    else
        refuse(entry, error_kind::store_unavailable,
               "the action's record is not readable");
}

void action_ledger::evaluate_record(const attempt_ptr& entry,
                                    const table_row& row,
                                    const action_record& record)
{
    if (record.attempt_id != entry->request.attempt_id)
        evaluate_other_attempt(entry, row, record);
    else if (record.state == action_state::started)
        start(entry, row.version);
    else
        refuse(entry, error_kind::store_unavailable,
               "the attempt was recorded as not run");
}

void action_ledger::evaluate_other_attempt(const attempt_ptr& entry,
                                           const table_row& row,
                                           const action_record& record)
{
    if (record.body_hash != entry->request.body_hash)
    {
        refuse(entry, error_kind::key_reused,
               "the idempotency key was used with another body");
        return;
    }
    if (record.state == action_state::done)
    {
        complete(entry, {.state = begin_state::replay,
                         .response = record.response,
                         .error = {}});
        return;
    }
    if (record.state == action_state::not_run)
    {
        entry->version = row.version;
        insert(entry);
        return;
    }
    if (node_alive_ && node_alive_(record.node, record.incarnation))
        refuse(entry, error_kind::in_progress, "the action is in progress");
    else
        refuse(entry, error_kind::outcome_unknown,
               "the node that started the action is no longer running");
}

void action_ledger::start(const attempt_ptr& entry, std::int64_t version)
{
    started_[entry->row] = {.version = version,
                            .body_hash = entry->request.body_hash,
                            .attempt_id = entry->request.attempt_id};
    complete(entry,
             {.state = begin_state::started, .response = {}, .error = {}});
}

void action_ledger::refuse(const attempt_ptr& entry, error_kind kind,
                           std::string_view message)
{
    complete(entry, {.state = begin_state::refused,
                     .response = {},
                     .error = make_error(kind, message)});
}

void action_ledger::complete(const attempt_ptr& entry, begin_result result)
{
    pending_.remove(entry);
    if (const auto done = std::exchange(entry->done, {}))
        done(std::move(result));
}

void action_ledger::finish(const action_key& key, const std::string& attempt_id,
                           recorded_response response, msec timeout,
                           recorded_callback done)
{
    background_write item;
    item.row = row_key(key);
    const auto row = take_started(item.row, attempt_id);
    if (!row)
    {
        if (done)
            done(make_error(error_kind::internal, "no such started attempt"));
        return;
    }
    item.record = own_record(attempt_id, row->body_hash, action_state::done);
    item.record.response = limit_response(std::move(response));
    item.version = row->version;
    item.done = std::move(done);
    item.deadline = time_.now() + timeout;
    add_background_write(std::move(item));
}

void action_ledger::mark_not_run(const action_key& key,
                                 const std::string& attempt_id, msec timeout,
                                 recorded_callback done)
{
    background_write item;
    item.row = row_key(key);
    const auto row = take_started(item.row, attempt_id);
    if (!row)
    {
        if (done)
            done(make_error(error_kind::internal, "no such started attempt"));
        return;
    }
    item.record = own_record(attempt_id, row->body_hash, action_state::not_run);
    item.version = row->version;
    item.done = std::move(done);
    item.deadline = time_.now() + timeout;
    add_background_write(std::move(item));
}

void action_ledger::abandon(const action_key& key,
                            const std::string& attempt_id)
{
    take_started(row_key(key), attempt_id);
}

std::optional<action_ledger::started_row>
action_ledger::take_started(const std::string& row,
                            const std::string& attempt_id)
{
    const auto it = started_.find(row);
    if (it == started_.end() || it->second.attempt_id != attempt_id)
        return std::nullopt;
    auto taken = std::move(it->second);
    started_.erase(it);
    return taken;
}

void action_ledger::add_background_write(background_write item)
{
    item.bytes = item.row.size() + item.record.response.body.size() +
                 item.record.attempt_id.size();
    if (background_writes_.size() >= settings_.max_background ||
        background_bytes_ + item.bytes > settings_.max_background_bytes)
    {
        ++dropped_writes_;
        if (item.done)
            item.done(make_error(error_kind::store_unavailable,
                                 "too many writes are waiting"));
        return;
    }
    background_bytes_ += item.bytes;
    item.delay = settings_.first_retry;
    auto shared = std::make_shared<background_write>(std::move(item));
    background_writes_.push_back(shared);
    if (shared->version)
        write(shared);
    else
        reread(shared);
}

void action_ledger::write(const background_write_ptr& item)
{
    item->in_flight = true;
    batcher_.add(item->row, *item->version, format_action(item->record),
                 [this, item, guard = std::weak_ptr(alive_)](commit_state state,
                                                             std::int64_t)
                 {
                     if (guard.lock())
                         on_write(item, state);
                 });
}

void action_ledger::on_write(const background_write_ptr& item,
                             commit_state state)
{
    item->in_flight = false;
    if (state == commit_state::committed)
        finish_write(item, absl::OkStatus());
    else if (state == commit_state::refused)
        schedule_retry(item);
    else
    {
        item->version.reset();
        reread(item);
    }
}

void action_ledger::reread(const background_write_ptr& item)
{
    item->in_flight = true;
    table_.read(item->row, settings_.batches.store_timeout,
                [this, item, guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (guard.lock())
                        on_reread(item, row);
                });
}

void action_ledger::on_reread(const background_write_ptr& item,
                              const absl::StatusOr<table_row>& row)
{
    item->in_flight = false;
    if (!row.ok())
    {
        schedule_retry(item);
        return;
    }
    const auto record =
        row->version == 0 ? std::nullopt : parse_action(row->value);
    const auto mine = record && record->attempt_id == item->record.attempt_id;
    const auto written = mine && record->state == item->record.state;
    const auto pending = mine && record->state == action_state::started;
    // A delayed insert, conditioned on this version of the row, may still take
    // effect. A write changes the version and makes that insert fail.
    const auto insert_possible =
        item->record.state == action_state::not_run &&
        (row->version == 0 ||
         (record && !mine && record->state == action_state::not_run));
    if (!written && (pending || insert_possible))
    {
        item->version = row->version;
        write(item);
        return;
    }
    finish_write(item,
                 written || (record && !mine)
                     ? absl::OkStatus()
                     : make_error(error_kind::internal,
                                  "the action's record has another state"));
}

void action_ledger::schedule_retry(const background_write_ptr& item)
{
    item->next_retry = time_.now() + item->delay;
    item->delay = std::min(item->delay * 2, settings_.max_retry);
}

void action_ledger::finish_write(const background_write_ptr& item,
                                 const absl::Status& status)
{
    background_bytes_ -= item->bytes;
    background_writes_.remove(item);
    if (const auto done = std::exchange(item->done, {}))
        done(status);
}

void action_ledger::tick()
{
    const auto now = time_.now();
    advance_pending(now);
    advance_background_writes(now);
    batcher_.tick();
}

void action_ledger::advance_pending(msec now)
{
    const std::vector<attempt_ptr> entries(pending_.begin(), pending_.end());
    for (const auto& it : entries)
    {
        if (now >= it->deadline)
        {
            refuse(it, error_kind::store_unavailable,
                   "the action could not be recorded in time");
            if (!it->in_flight && it->insert_uncertain)
                record_not_run(it, std::nullopt);
        }
        else if (!it->in_flight && now >= it->next_retry)
        {
            if (it->must_read_row)
                read_back(it);
            else
                insert(it);
        }
    }
}

void action_ledger::advance_background_writes(msec now)
{
    const std::vector<background_write_ptr> items(background_writes_.begin(),
                                                  background_writes_.end());
    for (const auto& it : items)
    {
        if (it->done && now >= it->deadline)
            std::exchange(it->done, {})(
                make_error(error_kind::store_unavailable,
                           "the action's record could not be changed in time"));
        if (it->in_flight || now < it->next_retry)
            continue;
        if (it->version)
            write(it);
        else
            reread(it);
    }
}

std::optional<msec> action_ledger::next_due() const
{
    auto due = batcher_.next_due();
    const auto consider = [&](msec instant)
    {
        due = due ? std::min(*due, instant) : instant;
    };
    for (const auto& it : pending_)
        consider(it->in_flight ? it->deadline
                               : std::min(it->deadline, it->next_retry));
    for (const auto& it : background_writes_)
    {
        if (!it->in_flight)
            consider(it->next_retry);
        if (it->done)
            consider(it->deadline);
    }
    return due;
}

} // namespace galenapulley
