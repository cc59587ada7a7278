#include "gateway/cluster_view.hpp"

#include "gateway/event_log.hpp"
#include "node/control_loop.hpp"

#include <algorithm>
#include <utility>

// Requests of this node to the store. For each table there is one at a time,
// which is repeated for as long as the node follows the store itself, and the
// polls that verify an open watch.

namespace galenapulley
{

namespace
{

std::string_view name_of(cluster_table table)
{
    return table == cluster_table::operations ? "operations" : "endpoints";
}

} // namespace

bool cluster_view::must_read(const table_state& table) const
{
    const bool is_outdated = table.rows.version().era < era();
    return table.needs_read || is_outdated || !table.rows.is_read();
}

void cluster_view::query_store(cluster_table table)
{
    auto& it = state(table);
    it.request_id = ++last_request_id_;
    store_request request{
        .table = table, .id = it.request_id, .sent_at = loop_.now()};
    if (must_read(it))
    {
        store_.read(table, read_timeout(it), response_handler(request));
        return;
    }
    if (it.failures == 0 && !relay_role_.must_watch(loop_.now()))
    {
        it.relies_on_relays = true;
        it.followed_since.reset();
        return;
    }
    it.relies_on_relays = false;
    request.after = it.rows.version().number;
    // A poll succeeds as soon as the store is back; a watch would return only
    // at the next change.
    if (it.failures > 0 || std::exchange(it.needs_poll, false))
    {
        request.route = row_route::poll;
        store_.poll(table, request.after, poll_timeout,
                    response_handler(request));
        return;
    }
    request.route = row_route::watch;
    it.open_watch = request;
    store_.watch(table, request.after, watch_wait, response_handler(request));
}

row_store::batch_callback
cluster_view::response_handler(const store_request& request)
{
    return [this, request](absl::StatusOr<row_batch> response)
    {
        handle_response(request, std::move(response));
    };
}

void cluster_view::handle_response(const store_request& request,
                                   absl::StatusOr<row_batch> response)
{
    const auto table = request.table;
    auto& it = state(table);
    if (request.id != it.request_id)
        return;
    it.open_watch.reset();
    if (!response.ok())
    {
        retry_query(request, response.status());
        return;
    }
    const bool restored =
        response->era.value_or(0) > it.rows.version().era && request.after > 0;
    const bool current = accept(request, *response);
    auto pause = table == pushed_table ? change_pause : 0_ms;
    // A read may return an older state than the known one; it is retried.
    // Changes that show a new era are followed by a read at once.
    if (!current && !restored)
        pause = min_retry_pause;
    loop_.call_after(pause, [this, table] { query_store(table); });
}

msec cluster_view::read_timeout(const table_state& table)
{
    return std::min(max_read_timeout,
                    min_read_timeout << std::min(table.late_reads, 2U));
}

void cluster_view::retry_query(const store_request& request,
                               const absl::Status& status)
{
    const auto table = request.table;
    auto& it = state(table);
    const auto elapsed = loop_.now() - request.sent_at;
    on_store_failure(table, status);
    if (request.route == row_route::read && elapsed >= read_timeout(it))
        ++it.late_reads;
    const auto pause =
        std::min(max_retry_pause, min_retry_pause << std::min(it.failures, 3U));
    // A timeout has taken its time already.
    loop_.call_after(std::max(pause - elapsed, 0_ms),
                     [this, table] { query_store(table); });
}

bool cluster_view::accept(const store_request& request, const row_batch& batch)
{
    const auto table = request.table;
    auto& it = state(table);
    record_arrival(table, {.route = request.route,
                           .request_time = loop_.now() - request.sent_at,
                           .silent_time = age(table)});
    on_store_response(table);
    if (request.route == row_route::read)
        it.late_reads = 0;
    const auto era = batch.era.value_or(it.rows.version().era);
    const bool restored = era > it.rows.version().era;
    on_era(era);
    const auto last_change = it.rows.last_change();
    const bool current = !batch.history_lost && apply(request, batch, era);
    // The versions in the message include the change.
    if (current && request.after > 0)
        relay(table, last_change, batch);
    else if (current && restored && relay_role_.is_relay())
        send_heartbeat();
    it.needs_read = !current;
    return current;
}

bool cluster_view::apply(const store_request& request, const row_batch& batch,
                         std::uint64_t era)
{
    auto& it = state(request.table);
    const store_version version{.era = era, .number = batch.version};
    const bool whole = request.after == 0;
    const bool current =
        whole ? it.rows.replace(batch.rows, version)
              : it.rows.apply(batch.rows, request.after, version);
    if (current && (whole || !batch.rows.empty()))
        publish(request.table, is_authoritative());
    return current;
}

void cluster_view::verify_watches()
{
    for (const auto table :
         {cluster_table::operations, cluster_table::endpoints})
        if (state(table).open_watch)
        {
            verify_watch(table);
            return;
        }
}

void cluster_view::verify_watch(cluster_table table)
{
    const auto& it = state(table);
    const store_request request{.table = table,
                                .route = row_route::poll,
                                .id = it.request_id,
                                .after = it.rows.version().number,
                                .sent_at = loop_.now()};
    store_.poll(table, request.after, poll_timeout,
                [this, request](absl::StatusOr<row_batch> response)
                { on_verified(request, std::move(response)); });
}

void cluster_view::on_verified(const store_request& request,
                               absl::StatusOr<row_batch> response)
{
    const auto table = request.table;
    auto& it = state(table);
    if (response.ok() && table == cluster_table::operations)
        verify_endpoints(*response);
    // Otherwise the watch has returned meanwhile, which proves as much.
    if (!it.open_watch || it.open_watch->id != request.id)
        return;
    if (!response.ok())
    {
        if (age(table) < poll_timeout)
            return;
        close_watch(table);
        retry_query(request, response.status());
        return;
    }
    const auto last_change = it.rows.last_change();
    const bool current = accept(request, *response);
    const bool is_silent = !current || it.rows.last_change() > last_change;
    if (is_silent && it.open_watch)
        renew_watch(table);
}

void cluster_view::verify_endpoints(const row_batch& operations)
{
    auto& it = state(cluster_table::endpoints);
    if (!it.open_watch || operations.history_lost)
        return;
    const store_version newest{
        .era = operations.era.value_or(it.rows.version().era),
        .number = operations.version};
    if (newest == it.rows.version())
        it.last_response_at = loop_.now();
    else if (newest > it.rows.version())
        verify_watch(cluster_table::endpoints);
}

void cluster_view::close_watch(cluster_table table)
{
    auto& it = state(table);
    it.open_watch.reset();
    it.request_id = ++last_request_id_;
    store_.end_watch(table);
}

void cluster_view::renew_watch(cluster_table table)
{
    log_.write(log_event::watch_renewed,
               {{"table", name_of(table)},
                {"watch_ms", loop_.now() - state(table).open_watch->sent_at},
                {"version", static_cast<std::int64_t>(version(table).number)}});
    close_watch(table);
    query_store(table);
}

void cluster_view::on_store_failure(cluster_table table,
                                    const absl::Status& status)
{
    ++state(table).failures;
    state(table).followed_since.reset();
    if (failures_++ == 0)
        log_.write(log_event::store_lost,
                   {{"reason", std::string_view(status.message().data(),
                                                status.message().size())},
                    {"operations_version",
                     static_cast<std::int64_t>(
                         version(cluster_table::operations).number)},
                    {"endpoints_version",
                     static_cast<std::int64_t>(
                         version(cluster_table::endpoints).number)}});
}

void cluster_view::on_store_response(cluster_table table)
{
    auto& it = state(table);
    it.failures = 0;
    it.last_response_at = loop_.now();
    it.followed_since = it.followed_since.value_or(loop_.now());
    if (failures_ == 0)
        return;
    failures_ = 0;
    reached_since_ = loop_.now();
    log_.write(log_event::store_regained, {});
}

} // namespace galenapulley
