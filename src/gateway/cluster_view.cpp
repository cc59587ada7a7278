#include "gateway/cluster_view.hpp"

#include "galenapulley/endpoint_registry.hpp"
#include "gateway/event_log.hpp"
#include "node/control_loop.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

/// The number as a field of the log.
std::int64_t number_of(store_version version)
{
    return static_cast<std::int64_t>(version.number);
}

std::string joined(const std::set<std::string>& names)
{
    std::string out;
    for (const auto& it : names)
        out += (out.empty() ? "" : ",") + it;
    return out;
}

} // namespace

cluster_view::cluster_view(ranked_node self, control_loop& loop,
                           row_store& store, const row_codec& codec,
                           peer_link& link, event_log& log, callbacks on_change)
    : loop_(loop)
    , store_(store)
    , codec_(codec)
    , link_(link)
    , log_(log)
    , on_change_(std::move(on_change))
    , relay_role_(std::move(self))
{
}

void cluster_view::start(bool is_bootstrap)
{
    reached_since_ = loop_.now();
    if (is_bootstrap)
        relay_role_.settle(loop_.now());
    query_store(cluster_table::operations);
    query_store(cluster_table::endpoints);
    loop_.call_every(relay_role::heartbeat_period, [this] { check_relays(); });
}

void cluster_view::set_domain_nodes(std::vector<domain_node> nodes)
{
    if (nodes == domain_nodes_)
        return;
    domain_nodes_ = std::move(nodes);
    std::vector<ranked_node> ranks;
    ranks.reserve(domain_nodes_.size());
    for (const auto& it : domain_nodes_)
        ranks.push_back(it.rank);
    relay_role_.set_domain_nodes(ranks);
}

cluster_view::table_state& cluster_view::state(cluster_table table)
{
    return tables_.at(index_of(table));
}

const cluster_view::table_state& cluster_view::state(cluster_table table) const
{
    return tables_.at(index_of(table));
}

bool cluster_view::is_authoritative() const
{
    return store_reached() &&
           loop_.now() - reached_since_ >= endpoint_registry::lapse_grace;
}

bool cluster_view::is_dependable() const
{
    const auto since = state(cluster_table::endpoints).followed_since;
    return is_authoritative() && since &&
           loop_.now() - *since >= endpoint_registry::lapse_grace;
}

store_version cluster_view::version(cluster_table table) const
{
    return state(table).rows.version();
}

bool cluster_view::is_read(cluster_table table) const
{
    return state(table).rows.is_read();
}

msec cluster_view::age(cluster_table table) const
{
    return loop_.now() - state(table).last_response_at;
}

void cluster_view::query_store(cluster_table table)
{
    auto& it = state(table);
    const bool is_outdated = it.rows.version().era < era();
    if (it.needs_read || is_outdated || !it.rows.is_read())
    {
        const store_request request{.table = table, .sent_at = loop_.now()};
        store_.read(table, [this, request](absl::StatusOr<row_batch> response)
                    { handle_response(request, std::move(response)); });
        return;
    }
    if (it.failures == 0 && !relay_role_.must_watch(loop_.now()))
    {
        it.relies_on_relays = true;
        it.followed_since.reset();
        return;
    }
    it.relies_on_relays = false;
    const store_request request{.table = table,
                                .after = it.rows.version().number,
                                .sent_at = loop_.now()};
    // After a failure, a short watch succeeds as soon as the store is back; a
    // long one would return only at the next change.
    const auto wait = it.failures > 0 ? probe_wait : watch_wait;
    store_.watch(table, request.after, wait,
                 [this, request](absl::StatusOr<row_batch> response)
                 { handle_response(request, std::move(response)); });
}

void cluster_view::handle_response(const store_request& request,
                                   absl::StatusOr<row_batch> response)
{
    const auto table = request.table;
    auto& it = state(table);
    if (!response.ok())
    {
        on_store_failure(table, response.status());
        const auto pause = std::min(
            max_retry_pause, min_retry_pause << std::min(it.failures, 3U));
        loop_.call_after(pause, [this, table] { query_store(table); });
        return;
    }
    const auto route = request.after > 0 ? row_route::watch : row_route::read;
    record_arrival(table, {.route = route,
                           .request_time = loop_.now() - request.sent_at,
                           .silent_time = age(table)});
    on_store_response(table);
    const auto batch = *std::move(response);
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
    auto pause = table == pushed_table ? change_pause : 0_ms;
    // A read may return an older state than the known one; it is retried. A
    // watch that shows a new era is followed by a read at once.
    if (!current && !(restored && request.after > 0))
        pause = min_retry_pause;
    loop_.call_after(pause, [this, table] { query_store(table); });
}

bool cluster_view::apply(const store_request& request, row_batch batch,
                         std::uint64_t era)
{
    auto& it = state(request.table);
    const store_version version{.era = era, .number = batch.version};
    const bool whole = request.after == 0;
    const bool current =
        whole ? it.rows.replace(std::move(batch.rows), version)
              : it.rows.apply(batch.rows, request.after, version);
    if (current && (whole || !batch.rows.empty()))
        publish(request.table, is_authoritative());
    return current;
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
                     number_of(version(cluster_table::operations))},
                    {"endpoints_version",
                     number_of(version(cluster_table::endpoints))}});
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

void cluster_view::on_era(std::uint64_t era)
{
    const auto before = std::exchange(era_, std::max(era, era_.value_or(era)));
    if (!before || era <= *before)
        return;
    log_.write(
        log_event::store_restored,
        {{"era", static_cast<std::int64_t>(era)},
         {"operations_version", number_of(version(cluster_table::operations))},
         {"endpoints_version", number_of(version(cluster_table::endpoints))}});
    on_restored();
}

void cluster_view::on_restored()
{
    // Endpoints have to register again, as after an outage.
    reached_since_ = loop_.now();
    withdrawn_before_restore_ = published_withdrawn_;
    // Kept until rows of the new era show that the store still has it.
    const auto* const configuration =
        codec_.configuration_row(state(cluster_table::operations).rows);
    if (configuration != nullptr && !lost_configuration_)
        lost_configuration_ = *configuration;
    on_change_.store_restored();
    loop_.call_after(endpoint_registry::backup_entry_lifetime,
                     [this, restored_era = era()]
                     {
                         if (restored_era == era())
                             on_backup_entries_expired();
                     });
}

void cluster_view::on_backup_entries_expired()
{
    withdrawn_before_restore_.clear();
    publish_operations();
    publish_endpoints(is_authoritative());
}

void cluster_view::record_arrival(cluster_table table, row_arrival arrival)
{
    auto& it = state(table);
    it.arrival = std::move(arrival);
    if (it.announced > it.rows.last_change())
        it.arrival.announced_time = loop_.now() - it.announced_at;
}

void cluster_view::publish(cluster_table table, bool authoritative)
{
    if (table == cluster_table::endpoints)
        publish_endpoints(authoritative);
    else
        publish_operations();
}

std::set<std::string> cluster_view::read_withdrawn()
{
    auto out = codec_.read_withdrawn(state(cluster_table::operations).rows);
    // What is written again counts like any other row from now on.
    for (const auto& it : out)
        withdrawn_before_restore_.erase(it);
    out.insert(withdrawn_before_restore_.begin(),
               withdrawn_before_restore_.end());
    return out;
}

void cluster_view::publish_operations()
{
    const auto& rows = state(cluster_table::operations).rows;
    const auto& arrival = state(cluster_table::operations).arrival;
    auto withdrawn = read_withdrawn();
    if (withdrawn != published_withdrawn_)
    {
        const auto names = joined(withdrawn);
        log_.write(log_event::domains_withdrawn,
                   {{"domains", std::string_view(names)},
                    {"version", number_of(rows.version())},
                    {"by", name_of(arrival.route)},
                    {"peer", std::string_view(arrival.peer)},
                    {"announced_ms", arrival.announced_time}});
        published_withdrawn_ = withdrawn;
        on_change_.withdrawn(std::move(withdrawn));
    }
    auto routing = codec_.read_routing(rows);
    if (!routing.ok())
    {
        const auto reason = std::string(routing.status().message());
        log_.write(log_event::configuration_rejected,
                   {{"reason", std::string_view(reason)},
                    {"version", number_of(rows.version())}});
        return;
    }
    if (*routing == nullptr || (*routing)->version() < published_routing_)
        return;
    if (rows.version().era == era())
        lost_configuration_.reset();
    if ((*routing)->version() > published_routing_)
        publish_routing(*std::move(routing));
}

void cluster_view::publish_routing(std::shared_ptr<const routing_table> routing)
{
    const auto& rows = state(cluster_table::operations).rows;
    const auto& arrival = state(cluster_table::operations).arrival;
    published_routing_ = routing->version();
    log_.write(log_event::configuration,
               {{"version", static_cast<std::int64_t>(published_routing_)},
                {"row_version", number_of(rows.version())},
                {"store_era", static_cast<std::int64_t>(rows.version().era)},
                {"lost_by_store",
                 static_cast<std::int64_t>(lost_configuration_.has_value())},
                {"by", name_of(arrival.route)},
                {"peer", std::string_view(arrival.peer)},
                {"request_ms", arrival.request_time},
                {"silent_ms", arrival.silent_time},
                {"announced_ms", arrival.announced_time}});
    on_change_.routing(std::move(routing));
}

void cluster_view::adopt_lost_configuration(const std::string& node,
                                            cluster_row row)
{
    cluster_rows rows;
    rows.replace({row}, {.number = row.version});
    auto routing = codec_.read_routing(rows);
    if (!routing.ok() || *routing == nullptr ||
        (*routing)->version() <= published_routing_)
        return;
    lost_configuration_ = std::move(row);
    record_arrival(cluster_table::operations,
                   {.route = row_route::peer, .peer = node});
    publish_routing(*std::move(routing));
}

void cluster_view::publish_endpoints(bool authoritative)
{
    std::size_t invalid = 0;
    auto entries =
        codec_.read_endpoints(state(cluster_table::endpoints).rows, invalid);
    on_change_.endpoints(std::move(entries), authoritative);
}

} // namespace galenapulley
