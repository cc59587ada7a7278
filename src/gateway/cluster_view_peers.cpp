#include "gateway/cluster_view.hpp"

#include "galenapulley/endpoint_registry.hpp"
#include "gateway/event_log.hpp"
#include "node/control_loop.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

// Rows that nodes pass to each other: relay nodes to their failure domain, and
// any node to a peer that is behind.

namespace galenapulley
{

namespace
{

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

} // namespace

void cluster_view::check_relays()
{
    if (relay_role_.is_relay() && store_reached())
        send_heartbeat();
    if (!relay_role_.must_watch(loop_.now()))
        return;
    for (const auto table :
         {cluster_table::operations, cluster_table::endpoints})
        if (state(table).relies_on_relays)
        {
            state(table).needs_poll = true;
            query_store(table);
        }
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
    const bool watches = !relay_role_.is_settling(loop_.now());
    message.set_store_age_ms(watches ? std::max(age(cluster_table::operations),
                                                age(cluster_table::endpoints))
                                     : 0);
    return message;
}

void cluster_view::send_heartbeat()
{
    send_relay(make_heartbeat());
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
        send_heartbeat();
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

void cluster_view::apply_relayed(const std::string& node,
                                 const wire::rows_relay& message)
{
    auto& it = state(pushed_table);
    row_batch batch{.version = message.version()};
    for (const auto& entry : message.rows())
        batch.rows.push_back(read_row(entry));
    const auto before = it.rows.last_change();
    record_arrival(pushed_table, {.route = row_route::relay, .peer = node});
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
    const auto confirmed_at =
        loop_.now() - std::max<msec>(message.store_age_ms(), 0);
    relay_role_.on_heartbeat(node, confirmed_at);
    if (message.dependable())
        on_dependable_peer(message.era());
    if (message.version() > 0)
        apply_relayed(node, message);
    const std::array<store_version, cluster_table_count> newest{
        store_version{.era = message.operations_era(),
                      .number = message.newest_operations()},
        store_version{.era = message.era(), .number = message.newest()}};
    for (std::size_t n = 0; n < newest.size(); ++n)
    {
        note_announced(n, newest[n], node, "relay");
        auto& it = tables_[n];
        if (it.relies_on_relays)
            it.last_response_at = std::max(it.last_response_at, confirmed_at);
        if (it.relies_on_relays || !expects_change(n))
            pull_if_behind(n, newest[n], sender->peer_address);
    }
}

void cluster_view::add_versions(wire::gossip& message) const
{
    for (const auto& it : tables_)
    {
        const auto last_change = it.rows.last_change();
        message.add_table_versions(last_change.number);
        message.add_table_eras(last_change.era);
    }
    message.set_dependable(is_dependable());
    if (lost_configuration_)
        message.set_lost_configuration(published_routing_);
}

void cluster_view::on_dependable_peer(std::uint64_t era)
{
    // A peer that hasn't noticed the latest restore doesn't count, and this
    // node needs current endpoints of its own first.
    if (era == this->era() && state(cluster_table::endpoints).failures == 0)
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

bool cluster_view::expects_change(std::size_t table) const
{
    const auto& it = tables_[table];
    return store_reached() && !must_read(it) &&
           loop_.now() - it.announced_at < pull_delay;
}

void cluster_view::pull_if_behind(std::size_t table, store_version last_change,
                                  const std::string& peer_address)
{
    if (tables_[table].rows.last_change() < last_change)
        pull(table, peer_address);
}

void cluster_view::note_announced(std::size_t table, store_version last_change,
                                  const std::string& node, std::string_view by)
{
    auto& it = tables_[table];
    if (last_change <= std::max(it.announced, it.rows.last_change()))
        return;
    if (it.announced <= it.rows.last_change())
        it.announced_at = loop_.now();
    it.announced = last_change;
    // Endpoints change too often for a line each.
    if (table != index_of(cluster_table::operations))
        return;
    log_.write(log_event::operations_announced,
               {{"peer", std::string_view(node)},
                {"by", by},
                {"row_version", static_cast<std::int64_t>(last_change.number)},
                {"store_era", static_cast<std::int64_t>(last_change.era)}});
}

void cluster_view::on_gossip(const message_sender& sender,
                             const wire::gossip& message)
{
    const auto& peer_address = sender.peer_address;
    const auto known = std::min<std::size_t>(
        tables_.size(),
        static_cast<std::size_t>(message.table_versions_size()));
    if (message.dependable() && known == tables_.size())
        on_dependable_peer(
            last_change_of(message, index_of(cluster_table::endpoints)).era);
    if (message.lost_configuration() > published_routing_)
        pull(index_of(cluster_table::operations), peer_address);
    for (std::size_t n = 0; n < known; ++n)
    {
        const auto last_change = last_change_of(message, n);
        note_announced(n, last_change, sender.node, "gossip");
        if (tables_[n].relies_on_relays)
            loop_.call_after(relay_pull_delay,
                             [this, n, last_change, peer_address]
                             { pull_if_behind(n, last_change, peer_address); });
        else if (!expects_change(n))
            pull_if_behind(n, last_change, peer_address);
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

void cluster_view::on_push(const std::string& node,
                           const wire::rows_push& message)
{
    if (message.table() >= tables_.size())
        return;
    if (message.has_lost_configuration())
        adopt_lost_configuration(node, read_row(message.lost_configuration()));
    auto& it = tables_[message.table()];
    const store_version changed{.era = message.era(),
                                .number = message.changed()};
    if (changed <= it.rows.last_change())
        return;
    const auto table = static_cast<cluster_table>(message.table());
    record_arrival(table, {.route = row_route::peer,
                           .peer = node,
                           .request_time = loop_.now() - it.pulled_at,
                           .silent_time = age(table)});
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
    publish(table, message.dependable());
}

} // namespace galenapulley
