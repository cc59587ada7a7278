#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <optional>

namespace galenapulley
{

struct view_options
{
    /// Age up to which the newest known read of config_head counts as recent.
    msec max_age = 5000;
    /// Peers that have to be in direct contact while no node reaches the store.
    std::size_t min_peers = 3;
    /// Period of tick(), and the delay beyond which a tick counts as late.
    msec tick_period = 1000;
    msec late_after = 2000;
};

/// Current numbers of nodes and zones according to gossip.
struct peer_summary
{
    /// Other nodes, and zones including the own one.
    std::size_t known_peers = 0;
    std::size_t known_zones = 1;
    /// The same, limited to nodes heard from directly within contact_window().
    std::size_t reachable_peers = 0;
    std::size_t reachable_zones = 1;
};

/// Decides whether this node's view of the fleet is recent enough to admit new
/// work: some node has read the store recently, or enough peers are in contact.
class view_freshness
{
public:
    explicit view_freshness(view_options options = {}) : options_(options) {}

    /// Records a successful read of config_head by this node. Its age counts
    /// from the sending time of the request.
    void note_own_read(msec sent_at);
    /// Records a peer's `store_read_age_ms`, negative if the peer knows of no
    /// read. `proven_at` is the result of membership::proven_time().
    void note_peer_age(msec proven_at, msec age);

    /// Call it every `tick_period`. A late tick means that the process was
    /// paused; it discards all earlier evidence.
    void tick(msec now, const peer_summary& peers);

    bool is_fresh(msec now) const;
    /// Whether the view is fresh although no known read of the store is recent.
    bool in_outage_mode(msec now) const;
    /// Whether the view has been fresh at every tick of the last `duration`.
    bool fresh_for(msec duration, msec now) const;
    /// Age of the newest known read, -1 if there is none; sent to peers as
    /// `store_read_age_ms`.
    msec store_read_age(msec now) const;
    /// Window for membership::reachable_peers() and reachable_zones():
    /// `max_age`, or the time since the last late tick if that is shorter.
    msec contact_window(msec now) const;
    /// Number of late ticks so far.
    std::size_t resets() const { return resets_; }

private:
    void note_read(msec at, msec proven_at);
    bool reaches_enough_peers() const;
    bool is_late(msec now) const;
    bool read_is_recent(msec now) const;

    view_options options_;
    std::optional<msec> newest_read_;
    std::optional<msec> last_tick_;
    std::optional<msec> fresh_since_;
    /// Time of the last late tick; evidence from before it is ignored.
    std::optional<msec> reset_at_;
    peer_summary peers_;
    std::size_t resets_ = 0;
};

} // namespace galenapulley
