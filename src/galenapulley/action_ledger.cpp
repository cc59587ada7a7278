#include "galenapulley/action_ledger.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace galenapulley
{

namespace
{

constexpr msec begin_retry = 50;

} // namespace

action_ledger::action_ledger(const clock& time, table_service& table,
                             settings own, node_alive alive)
    : time_(time)
    , table_(table)
    , own_(std::move(own))
    , node_alive_(std::move(alive))
    , batcher_(time, table, own_.batches)
{
}

void action_ledger::begin(action_request request, begin_callback done)
{
    auto call = std::make_shared<attempt>();
    call->row = row_key(request.key);
    call->deadline = time_.now() + request.timeout;
    call->request = std::move(request);
    call->done = std::move(done);
    calls_.push_back(call);
    insert(call);
}

action_record action_ledger::own_record(const std::string& attempt_id,
                                        std::uint64_t body_hash,
                                        action_state state) const
{
    return {.state = state,
            .attempt_id = attempt_id,
            .body_hash = body_hash,
            .node = own_.node,
            .incarnation = own_.incarnation,
            .response = {}};
}

void action_ledger::insert(const attempt_ptr& call)
{
    call->busy = true;
    const auto record =
        own_record(call->request.attempt_id, call->request.body_hash,
                   action_state::started);
    batcher_.add(call->row, call->version, format_action(record),
                 [this, call, guard = std::weak_ptr(alive_)](
                     commit_state state, std::int64_t version)
                 {
                     if (guard.lock())
                         on_insert(call, state, version);
                 });
}

void action_ledger::on_insert(const attempt_ptr& call, commit_state state,
                              std::int64_t version)
{
    call->busy = false;
    if (call->done && time_.now() >= call->deadline)
        refuse(call, error_kind::store_unavailable,
               "the action could not be recorded in time");
    if (!call->done)
    {
        after_expiry(call, state, version);
        return;
    }
    if (state == commit_state::committed)
        start(call, version);
    else if (state == commit_state::refused)
        call->next_try = time_.now() + begin_retry;
    else
    {
        call->unresolved |= state == commit_state::unknown;
        read_back(call);
    }
}

// The client has received an error that states "not_run", so a row that was
// inserted nevertheless must not stay `started`.
void action_ledger::after_expiry(const attempt_ptr& call, commit_state state,
                                 std::int64_t version)
{
    if (state == commit_state::committed)
        withdraw(call, version);
    else if (state == commit_state::unknown || call->unresolved)
        withdraw(call, std::nullopt);
}

void action_ledger::withdraw(const attempt_ptr& call,
                             std::optional<std::int64_t> version)
{
    resolution item;
    item.row = call->row;
    item.record = own_record(call->request.attempt_id, call->request.body_hash,
                             action_state::not_run);
    item.version = version;
    resolve(std::move(item));
}

void action_ledger::read_back(const attempt_ptr& call)
{
    call->busy = true;
    call->must_read = true;
    table_.read(call->row, own_.batches.store_timeout,
                [this, call, guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (guard.lock())
                        on_read(call, row);
                });
}

void action_ledger::on_read(const attempt_ptr& call,
                            const absl::StatusOr<table_row>& row)
{
    call->busy = false;
    if (call->done && time_.now() >= call->deadline)
        refuse(call, error_kind::store_unavailable,
               "the action's record could not be read in time");
    if (!call->done)
    {
        if (call->unresolved)
            withdraw(call, std::nullopt);
        return;
    }
    if (!row.ok())
    {
        call->next_try = time_.now() + begin_retry;
        return;
    }
    call->must_read = false;
    if (row->version == 0)
    {
        call->version = 0;
        insert(call);
        return;
    }
    if (const auto record = parse_action(row->value))
        judge(call, *row, *record);
    else
        refuse(call, error_kind::store_unavailable,
               "the action's record is not readable");
}

void action_ledger::judge(const attempt_ptr& call, const table_row& row,
                          const action_record& record)
{
    if (record.attempt_id != call->request.attempt_id)
        judge_other(call, row, record);
    else if (record.state == action_state::started)
        start(call, row.version);
    else
        refuse(call, error_kind::store_unavailable,
               "the attempt was recorded as not run");
}

void action_ledger::judge_other(const attempt_ptr& call, const table_row& row,
                                const action_record& record)
{
    if (record.body_hash != call->request.body_hash)
    {
        refuse(call, error_kind::key_reused,
               "the idempotency key was used with another body");
        return;
    }
    if (record.state == action_state::done)
    {
        answer(call, {.state = begin_state::replay,
                      .response = record.response,
                      .error = {}});
        return;
    }
    if (record.state == action_state::not_run)
    {
        call->version = row.version;
        insert(call);
        return;
    }
    if (node_alive_ && node_alive_(record.node, record.incarnation))
        refuse(call, error_kind::in_progress, "the action is in progress");
    else
        refuse(call, error_kind::outcome_unknown,
               "the node that started the action is no longer running");
}

void action_ledger::start(const attempt_ptr& call, std::int64_t version)
{
    started_[call->row] = {.version = version,
                           .body_hash = call->request.body_hash,
                           .attempt_id = call->request.attempt_id};
    answer(call, {.state = begin_state::started, .response = {}, .error = {}});
}

void action_ledger::refuse(const attempt_ptr& call, error_kind kind,
                           std::string_view message)
{
    answer(call, {.state = begin_state::refused,
                  .response = {},
                  .error = make_error(kind, message)});
}

void action_ledger::answer(const attempt_ptr& call, begin_result result)
{
    calls_.remove(call);
    if (const auto done = std::exchange(call->done, {}))
        done(std::move(result));
}

void action_ledger::finish(const action_key& key, const std::string& attempt_id,
                           recorded_response response, msec timeout,
                           recorded_callback done)
{
    resolution item;
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
    resolve(std::move(item));
}

void action_ledger::mark_not_run(const action_key& key,
                                 const std::string& attempt_id, msec timeout,
                                 recorded_callback done)
{
    resolution item;
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
    resolve(std::move(item));
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

void action_ledger::resolve(resolution item)
{
    item.bytes = item.row.size() + item.record.response.body.size() +
                 item.record.attempt_id.size();
    if (resolutions_.size() >= own_.max_background ||
        background_bytes_ + item.bytes > own_.max_background_bytes)
    {
        ++dropped_;
        if (item.done)
            item.done(make_error(error_kind::store_unavailable,
                                 "too many writes are waiting"));
        return;
    }
    background_bytes_ += item.bytes;
    item.delay = own_.first_retry;
    auto shared = std::make_shared<resolution>(std::move(item));
    resolutions_.push_back(shared);
    if (shared->version)
        write(shared);
    else
        reread(shared);
}

void action_ledger::write(const resolution_ptr& item)
{
    item->busy = true;
    batcher_.add(item->row, *item->version, format_action(item->record),
                 [this, item, guard = std::weak_ptr(alive_)](commit_state state,
                                                             std::int64_t)
                 {
                     if (guard.lock())
                         on_write(item, state);
                 });
}

void action_ledger::on_write(const resolution_ptr& item, commit_state state)
{
    item->busy = false;
    if (state == commit_state::committed)
        settle(item, absl::OkStatus());
    else if (state == commit_state::refused)
        retry_later(item);
    else
    {
        item->version.reset();
        reread(item);
    }
}

void action_ledger::reread(const resolution_ptr& item)
{
    item->busy = true;
    table_.read(item->row, own_.batches.store_timeout,
                [this, item, guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (guard.lock())
                        on_reread(item, row);
                });
}

void action_ledger::on_reread(const resolution_ptr& item,
                              const absl::StatusOr<table_row>& row)
{
    item->busy = false;
    if (!row.ok())
    {
        retry_later(item);
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
    settle(item, written || (record && !mine)
                     ? absl::OkStatus()
                     : make_error(error_kind::internal,
                                  "the action's record has another state"));
}

void action_ledger::retry_later(const resolution_ptr& item)
{
    item->next_try = time_.now() + item->delay;
    item->delay = std::min(item->delay * 2, own_.max_retry);
}

void action_ledger::settle(const resolution_ptr& item,
                           const absl::Status& status)
{
    background_bytes_ -= item->bytes;
    resolutions_.remove(item);
    if (const auto done = std::exchange(item->done, {}))
        done(status);
}

void action_ledger::tick()
{
    const auto now = time_.now();
    advance_calls(now);
    advance_resolutions(now);
    batcher_.tick();
}

void action_ledger::advance_calls(msec now)
{
    const std::vector<attempt_ptr> calls(calls_.begin(), calls_.end());
    for (const auto& it : calls)
    {
        if (now >= it->deadline)
        {
            refuse(it, error_kind::store_unavailable,
                   "the action could not be recorded in time");
            if (!it->busy && it->unresolved)
                withdraw(it, std::nullopt);
        }
        else if (!it->busy && now >= it->next_try)
        {
            if (it->must_read)
                read_back(it);
            else
                insert(it);
        }
    }
}

void action_ledger::advance_resolutions(msec now)
{
    const std::vector<resolution_ptr> items(resolutions_.begin(),
                                            resolutions_.end());
    for (const auto& it : items)
    {
        if (it->done && now >= it->deadline)
            std::exchange(it->done, {})(
                make_error(error_kind::store_unavailable,
                           "the action's record could not be changed in time"));
        if (it->busy || now < it->next_try)
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
    for (const auto& it : calls_)
        consider(it->busy ? it->deadline
                          : std::min(it->deadline, it->next_try));
    for (const auto& it : resolutions_)
    {
        if (!it->busy)
            consider(it->next_try);
        if (it->done)
            consider(it->deadline);
    }
    return due;
}

} // namespace galenapulley
