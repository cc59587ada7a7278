#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/node_rank.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// Decides whether this node is a relay node of its failure domain, and whether
/// it watches the store itself. The strongest nodes of a failure domain are its
/// relay nodes, as rows for all the others pass their network links. They watch
/// the store and forward its changes; the other nodes watch it only while they
/// receive heartbeats of no relay node. This keeps the number of store requests
/// per change small in a large cluster.
class relay_role
{
public:
    explicit relay_role(ranked_node self);

    /// All nodes of the fleet start now and don't know each other yet.
    void settle(msec now) { settling_since_ = now; }
    bool is_settling(msec now) const;

    /// Sets the live nodes of the own failure domain, without this one.
    void set_domain_nodes(const std::vector<ranked_node>& nodes);
    /// A node has announced that it watches the store, and that the store has
    /// confirmed its rows at this time.
    void on_heartbeat(const std::string& node, msec confirmed_at);

    /// Whether this node is a relay node of its failure domain.
    bool is_relay() const { return is_relay_; }
    /// Whether this node has to watch the store itself.
    bool must_watch(msec now) const;

    /// Relay nodes per failure domain. With two, changes are forwarded without
    /// interruption when one of them fails.
    static constexpr std::size_t relays_per_domain = 2;
    /// Interval between the heartbeats of a relay node.
    static constexpr msec heartbeat_period = 300;
    /// Time after the store's last confirmation to a relay node after which a
    /// node watches the store itself. Relay nodes ask for one twice a second;
    /// the rest is for heartbeats and a slow store. It is short compared with
    /// the time within which changes have to take effect.
    static constexpr msec heartbeat_timeout = 1200;
    /// Time from the start of the fleet within which its nodes learn of each
    /// other and relay nodes send heartbeats. Until then no node watches the
    /// store: all of them would get every registration of an endpoint from it.
    static constexpr msec settling_time = 1500;

private:
    ranked_node self_;
    bool is_relay_ = true;
    std::optional<msec> settling_since_;
    std::map<std::string, msec> confirmed_at_;
};

} // namespace galenapulley
