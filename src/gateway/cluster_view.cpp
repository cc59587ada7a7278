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
    loop_.call_every(verify_period, [this] { verify_watches(); });
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
    // They may wait for a number of the former era.
    for (const auto table :
         {cluster_table::operations, cluster_table::endpoints})
        if (state(table).open_watch)
            renew_watch(table);
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
    else if (lost_configuration_)
        // A peer sent what the former era had last.
        lost_configuration_ = *codec_.configuration_row(rows);
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
