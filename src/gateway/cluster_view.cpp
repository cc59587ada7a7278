#include "gateway/cluster_view.hpp"

#include "galenapulley/endpoint_registry.hpp"
#include "gateway/event_log.hpp"
#include "node/control_loop.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

std::size_t index_of(cluster_table table)
{
    return static_cast<std::size_t>(table);
}

/// The table whose changes relay nodes send along. A configuration may be large
/// and changes seldom, so nodes pull it once they know that there is a new one.
constexpr cluster_table pushed_table = cluster_table::endpoints;

/// The number as a field of the log.
std::int64_t number_of(store_version version)
{
    return static_cast<std::int64_t>(version.number);
}

/// The newest change of a table that the sender of the message knows.
store_version last_change_of(const wire::gossip& message, std::size_t table)
{
    const auto n = static_cast<int>(table);
    // Earlier builds send no eras.
    return {.era = n < message.table_eras_size() ? message.table_eras(n) : 0,
            .number = message.table_versions(n)};
}

void write_row(const cluster_row& row, wire::table_row& entry)
{
    entry.set_key(row.key);
    entry.set_value(row.value);
    entry.set_version(row.version);
    entry.set_deleted(row.deleted);
}

cluster_row read_row(const wire::table_row& entry)
{
    return {.key = entry.key(),
            .value = entry.value(),
            .version = entry.version(),
            .deleted = entry.deleted()};
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

void cluster_view::check_relays()
{
    if (relay_role_.is_relay() && store_reached())
        send_relay(make_heartbeat());
    if (!relay_role_.must_watch(loop_.now()))
        return;
    for (const auto table :
         {cluster_table::operations, cluster_table::endpoints})
        if (state(table).relies_on_relays)
            query_store(table);
}

wire::rows_relay cluster_view::make_heartbeat() const
{
    wire::rows_relay message;
    const auto endpoints = state(cluster_table::endpoints).rows.last_change();
    message.set_newest(endpoints.number);
    message.set_era(endpoints.era);
    const auto operations = state(cluster_table::operations).rows.last_change();
    message.set_newest_operations(operations.number);
    message.set_operations_era(operations.era);
    message.set_dependable(is_authoritative());
    return message;
}

void cluster_view::send_relay(const wire::rows_relay& message)
{
    for (const auto& it : domain_nodes_)
    {
        wire::peer_message out;
        *out.mutable_rows_relay() = message;
        link_.send(it.peer_address, std::move(out));
    }
}

void cluster_view::relay(cluster_table table, store_version after,
                         const row_batch& batch)
{
    if (!relay_role_.is_relay() || batch.rows.empty())
        return;
    if (table == pushed_table)
        relay_changes(after, batch);
    else
        send_relay(make_heartbeat());
}

void cluster_view::relay_changes(store_version after, const row_batch& batch)
{
    auto message = make_heartbeat();
    message.set_after(after.number);
    message.set_version(batch.version);
    for (const auto& it : batch.rows)
        write_row(it, *message.add_rows());
    send_relay(message);
}

void cluster_view::apply_relayed(const wire::rows_relay& message)
{
    auto& it = state(pushed_table);
    row_batch batch{.version = message.version()};
    for (const auto& entry : message.rows())
        batch.rows.push_back(read_row(entry));
    const auto before = it.rows.last_change();
    if (it.rows.apply(batch.rows, message.after(),
                      {.era = message.era(), .number = batch.version}) &&
        it.rows.last_change() > before)
        publish(pushed_table, message.dependable());
}

void cluster_view::on_relay(const std::string& node,
                            const wire::rows_relay& message)
{
    const auto sender = std::find_if(domain_nodes_.begin(), domain_nodes_.end(),
                                     [&node](const domain_node& it)
                                     { return it.rank.node == node; });
    // A relay of an earlier build doesn't follow the operations, so this node
    // watches the store itself.
    if (sender == domain_nodes_.end() ||
        (message.newest_operations() == 0 && message.operations_era() == 0))
        return;
    relay_role_.on_heartbeat(node, loop_.now());
    if (message.dependable())
        on_dependable_peer(message.era());
    if (message.version() > 0)
        apply_relayed(message);
    const std::array<store_version, cluster_table_count> newest{
        store_version{.era = message.operations_era(),
                      .number = message.newest_operations()},
        store_version{.era = message.era(), .number = message.newest()}};
    for (std::size_t n = 0; n < newest.size(); ++n)
    {
        auto& it = tables_[n];
        if (!it.relies_on_relays)
            continue;
        it.last_response_at = loop_.now();
        if (newest[n] > it.rows.last_change())
            pull(n, sender->peer_address);
    }
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
        store_.read(table, [this, table](absl::StatusOr<row_batch> response)
                    { handle_response(table, 0, std::move(response)); });
        return;
    }
    if (it.failures == 0 && !relay_role_.must_watch(loop_.now()))
    {
        it.relies_on_relays = true;
        return;
    }
    it.relies_on_relays = false;
    const auto after = it.rows.version().number;
    // After a failure, a short watch succeeds as soon as the store is back; a
    // long one would return only at the next change.
    const auto wait = it.failures > 0 ? probe_wait : watch_wait;
    store_.watch(table, after, wait,
                 [this, table, after](absl::StatusOr<row_batch> response)
                 { handle_response(table, after, std::move(response)); });
}

void cluster_view::handle_response(cluster_table table, std::uint64_t after,
                                   absl::StatusOr<row_batch> response)
{
    auto& it = state(table);
    if (!response.ok())
    {
        on_store_failure(table, response.status());
        const auto pause = std::min(
            max_retry_pause, min_retry_pause << std::min(it.failures, 3U));
        loop_.call_after(pause, [this, table] { query_store(table); });
        return;
    }
    on_store_response(table);
    const auto batch = *std::move(response);
    const auto era = batch.era.value_or(it.rows.version().era);
    const bool restored = era > it.rows.version().era;
    on_era(era);
    const auto last_change = it.rows.last_change();
    const bool current = !batch.history_lost && apply(table, after, batch, era);
    // The versions in the message include the change.
    if (current && after > 0)
        relay(table, last_change, batch);
    else if (current && restored && relay_role_.is_relay())
        send_relay(make_heartbeat());
    it.needs_read = !current;
    // A read may return an older state than the known one; it is retried.
    const auto pause = !current && restored    ? 0_ms
                       : !current              ? min_retry_pause
                       : table == pushed_table ? change_pause
                                               : 0_ms;
    loop_.call_after(pause, [this, table] { query_store(table); });
}

bool cluster_view::apply(cluster_table table, std::uint64_t after,
                         row_batch batch, std::uint64_t era)
{
    auto& it = state(table);
    const store_version version{.era = era, .number = batch.version};
    const bool whole = after == 0;
    const bool current = whole ? it.rows.replace(std::move(batch.rows), version)
                               : it.rows.apply(batch.rows, after, version);
    if (current && (whole || !batch.rows.empty()))
        publish(table, is_authoritative());
    return current;
}

void cluster_view::on_store_failure(cluster_table table,
                                    const absl::Status& status)
{
    ++state(table).failures;
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
    // Until the operations' rows show that the store still has it.
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

void cluster_view::add_versions(wire::gossip& message) const
{
    for (const auto& it : tables_)
    {
        const auto last_change = it.rows.last_change();
        message.add_table_versions(last_change.number);
        message.add_table_eras(last_change.era);
    }
    message.set_dependable(is_authoritative());
    if (lost_configuration_)
        message.set_lost_configuration(published_routing_);
}

void cluster_view::on_dependable_peer(std::uint64_t era)
{
    // A peer that hasn't noticed the latest restore doesn't count.
    if (era == this->era())
        reached_since_ = std::min(reached_since_,
                                  loop_.now() - endpoint_registry::lapse_grace);
}

void cluster_view::pull(std::size_t table, const std::string& peer_address)
{
    auto& it = tables_[table];
    if (loop_.now() - it.pulled_at < pull_interval)
        return;
    it.pulled_at = loop_.now();
    wire::peer_message message;
    auto& request = *message.mutable_rows_pull();
    request.set_table(static_cast<std::uint32_t>(table));
    request.set_version(it.rows.last_change().number);
    request.set_era(it.rows.last_change().era);
    request.set_configuration(published_routing_);
    link_.send(peer_address, std::move(message));
}

void cluster_view::pull_if_behind(std::size_t table, store_version last_change,
                                  const std::string& peer_address)
{
    if (tables_[table].rows.last_change() < last_change)
        pull(table, peer_address);
}

void cluster_view::on_gossip(const std::string& peer_address,
                             const wire::gossip& message)
{
    const auto known = std::min<std::size_t>(
        tables_.size(),
        static_cast<std::size_t>(message.table_versions_size()));
    const auto now = loop_.now();
    if (message.dependable() && known == tables_.size())
        on_dependable_peer(
            last_change_of(message, index_of(cluster_table::endpoints)).era);
    if (message.lost_configuration() > published_routing_)
        pull(index_of(cluster_table::operations), peer_address);
    for (std::size_t n = 0; n < known; ++n)
    {
        auto& it = tables_[n];
        const auto last_change = last_change_of(message, n);
        if (last_change <= it.rows.last_change())
        {
            it.behind_since = 0;
            continue;
        }
        if (it.relies_on_relays)
        {
            loop_.call_after(relay_pull_delay,
                             [this, n, last_change, peer_address]
                             { pull_if_behind(n, last_change, peer_address); });
            continue;
        }
        if (it.behind_since == 0)
            it.behind_since = now;
        const bool waits = store_reached() && it.rows.is_read() &&
                           now - it.behind_since < pull_delay;
        if (!waits)
            pull(n, peer_address);
    }
}

void cluster_view::on_pull(const std::string& peer_address,
                           const wire::rows_pull& message)
{
    if (message.table() >= tables_.size())
        return;
    const auto& it = tables_[message.table()];
    const store_version known{.era = message.era(),
                              .number = message.version()};
    const bool wants_configuration =
        lost_configuration_ && message.configuration() < published_routing_;
    if (it.rows.last_change() <= known && !wants_configuration)
        return;
    wire::peer_message response;
    auto& push = *response.mutable_rows_push();
    push.set_table(message.table());
    push.set_version(it.rows.version().number);
    push.set_changed(it.rows.last_change().number);
    push.set_era(it.rows.version().era);
    push.set_dependable(is_authoritative());
    for (const auto& [key, row] : it.rows.rows())
        write_row(row, *push.add_rows());
    if (wants_configuration)
        write_row(*lost_configuration_, *push.mutable_lost_configuration());
    link_.send(peer_address, std::move(response));
}

void cluster_view::on_push(const wire::rows_push& message)
{
    if (message.table() >= tables_.size())
        return;
    if (message.has_lost_configuration())
        adopt_lost_configuration(read_row(message.lost_configuration()));
    auto& it = tables_[message.table()];
    const store_version changed{.era = message.era(),
                                .number = message.changed()};
    if (changed <= it.rows.last_change())
        return;
    it.rows.record_change(changed);
    const store_version version{.era = message.era(),
                                .number = message.version()};
    if (version <= it.rows.version())
        return;
    on_era(version.era);
    std::vector<cluster_row> rows;
    for (const auto& entry : message.rows())
        rows.push_back(read_row(entry));
    if (!it.rows.replace(std::move(rows), version))
        return;
    it.rows.record_change(changed);
    publish(static_cast<cluster_table>(message.table()), message.dependable());
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
    auto withdrawn = read_withdrawn();
    if (withdrawn != published_withdrawn_)
    {
        const auto names = joined(withdrawn);
        log_.write(log_event::domains_withdrawn,
                   {{"domains", std::string_view(names)},
                    {"version", number_of(rows.version())}});
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
    lost_configuration_.reset();
    if ((*routing)->version() > published_routing_)
        publish_routing(*std::move(routing));
}

void cluster_view::publish_routing(std::shared_ptr<const routing_table> routing)
{
    const auto& rows = state(cluster_table::operations).rows;
    published_routing_ = routing->version();
    log_.write(log_event::configuration,
               {{"version", static_cast<std::int64_t>(published_routing_)},
                {"row_version", number_of(rows.version())},
                {"store_era", static_cast<std::int64_t>(rows.version().era)},
                {"lost_by_store",
                 static_cast<std::int64_t>(lost_configuration_.has_value())}});
    on_change_.routing(std::move(routing));
}

void cluster_view::adopt_lost_configuration(cluster_row row)
{
    cluster_rows rows;
    rows.replace({row}, {.number = row.version});
    auto routing = codec_.read_routing(rows);
    if (!routing.ok() || *routing == nullptr ||
        (*routing)->version() <= published_routing_)
        return;
    lost_configuration_ = std::move(row);
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
