#include "galenapulley/view_freshness.hpp"

#include <algorithm>

namespace galenapulley
{

void view_freshness::note_own_read(msec sent_at)
{
    note_read(sent_at, sent_at);
}

void view_freshness::note_peer_age(msec proven_at, msec age)
{
    if (age >= 0)
        note_read(proven_at - age, proven_at);
}

void view_freshness::note_read(msec at, msec proven_at)
{
    if (reset_at_ && proven_at < *reset_at_)
        return;
    if (!newest_read_ || at > *newest_read_)
        newest_read_ = at;
}

void view_freshness::tick(msec now, const peer_summary& peers)
{
    const bool late = last_tick_ && is_late(now);
    last_tick_ = now;
    if (late)
    {
        newest_read_.reset();
        reset_at_ = now;
        ++resets_;
    }
    auto next = peers;
    if (late)
    {
        next.reachable_peers = 0;
        next.reachable_zones = 1;
    }
    // While the store is unreachable, the known numbers never decrease:
    // otherwise an isolated node that has dropped all its peers would consider
    // itself the whole fleet.
    if (!read_is_recent(now))
    {
        next.known_peers = std::max(next.known_peers, peers_.known_peers);
        next.known_zones = std::max(next.known_zones, peers_.known_zones);
    }
    peers_ = next;
    if (!is_fresh(now))
        fresh_since_.reset();
    else if (!fresh_since_)
        fresh_since_ = now;
}

bool view_freshness::is_fresh(msec now) const
{
    if (!last_tick_ || is_late(now))
        return false;
    return read_is_recent(now) || reaches_enough_peers();
}

bool view_freshness::in_outage_mode(msec now) const
{
    return is_fresh(now) && !read_is_recent(now);
}

bool view_freshness::fresh_for(msec duration, msec now) const
{
    return is_fresh(now) && fresh_since_ && now - *fresh_since_ >= duration;
}

msec view_freshness::store_read_age(msec now) const
{
    return newest_read_ ? std::max<msec>(now - *newest_read_, 0) : -1;
}

msec view_freshness::contact_window(msec now) const
{
    return reset_at_ ? std::min(options_.max_age, now - *reset_at_)
                     : options_.max_age;
}

bool view_freshness::is_late(msec now) const
{
    return now - *last_tick_ > options_.tick_period + options_.late_after;
}

bool view_freshness::read_is_recent(msec now) const
{
    return newest_read_ && now - *newest_read_ <= options_.max_age;
}

bool view_freshness::reaches_enough_peers() const
{
    const auto needed = std::min(options_.min_peers, peers_.known_peers);
    return peers_.reachable_peers >= needed &&
           (peers_.known_zones < 2 || peers_.reachable_zones >= 2);
}

} // namespace galenapulley
