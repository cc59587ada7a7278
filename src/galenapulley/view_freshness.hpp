#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <optional>

namespace galenapulley
{

struct view_options
{
    /// Greatest age of the newest read of config_head.
    msec max_age = 5000;
    /// Peers to hear directly while nobody reaches the store.
    std::size_t min_peers = 3;
    /// Period of `tick`, and the delay from which a tick counts as late.
    msec tick_period = 1000;
    msec late_after = 2000;
};

/// What the gossip says at this moment.
struct peer_summary
{
    /// Other nodes known, and zones including the own one.
    std::size_t known_peers = 0;
    std::size_t known_zones = 1;
    /// The same, heard directly within `heard_window`.
    std::size_t heard_peers = 0;
    std::size_t heard_zones = 1;
};

/// Whether this node's view is recent enough to give out new work.
class view_freshness
{
public:
    explicit view_freshness(view_options options = {}) : options_(options) {}

    /// A successful read of config_head by this node, by its sending time.
    void note_own_read(msec sent_at);
    /// A peer's `store_read_age_ms`; `proven_at` as by
    /// membership::proven_time. A negative age says that it knows of no read.
    void note_peer_age(msec proven_at, msec age);

    /// Call it every `tick_period`. A late tick forgets everything heard.
    void tick(msec now, const peer_summary& peers);

    bool is_fresh(msec now) const;
    /// Whether the node is fresh although the store has not been reached.
    bool in_outage_mode(msec now) const;
    /// Whether the view has been fresh at every tick for the duration.
    bool fresh_for(msec duration, msec now) const;
    /// Age of the newest read known; -1 if none. For `store_read_age_ms`.
    msec store_read_age(msec now) const;
    /// Window for membership::heard_peers and heard_zones: `max_age`, or less
    /// after a late tick.
    msec heard_window(msec now) const;
    /// Number of late ticks so far.
    std::size_t resets() const { return resets_; }

private:
    void note_read(msec at, msec proven_at);
    bool hears_enough() const;
    bool is_late(msec now) const;
    bool read_is_recent(msec now) const;

    view_options options_;
    std::optional<msec> newest_read_;
    std::optional<msec> last_tick_;
    std::optional<msec> fresh_since_;
    /// Evidence from before this instant does not count.
    std::optional<msec> reset_at_;
    peer_summary peers_;
    std::size_t resets_ = 0;
};

} // namespace galenapulley
