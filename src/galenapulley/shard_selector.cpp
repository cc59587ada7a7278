#include "galenapulley/shard_selector.hpp"

#include "galenapulley/fleet.hpp"
#include "galenapulley/service.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

/// Free slots assumed for a shard whose digest is missing or expired.
constexpr std::uint32_t unknown_free_slots = 1;
constexpr msec digest_lifetime = 10_sec;
/// An owner that didn't respond is avoided until its next digest, or for this
/// long.
constexpr msec unresponsive_pause = 3_sec;

} // namespace

shard_selector::shard_selector(std::string own_zone)
    : own_zone_(std::move(own_zone))
{
}

void shard_selector::set_service(const service& document)
{
    std::vector<shard_view> views;
    for (const auto& id : document.shards())
    {
        if (const auto* known = find(id))
        {
            views.push_back(*known);
            continue;
        }
        views.emplace_back();
        views.back().shard = id;
        views.back().zone = zone_of_shard(id);
        views.back().withdrawn = withdrawn_zones_.count(views.back().zone) > 0;
    }
    views_ = std::move(views);
}

void shard_selector::set_fleet(const fleet& document)
{
    withdrawn_zones_ = document.withdrawn_zones;
    for (auto& it : views_)
        it.withdrawn = withdrawn_zones_.count(it.zone) > 0;
}

void shard_selector::set_owner_known(const std::string& shard, bool known)
{
    if (auto* it = find(shard))
        it->owner_known = known;
}

void shard_selector::on_capacity(const shard_capacity& digest, msec now)
{
    auto* it = find(digest.shard);
    if (it == nullptr || digest.epoch < it->epoch)
        return;
    it->epoch = digest.epoch;
    it->free_slots = digest.free_slots_by_class;
    it->queued = digest.queued;
    it->reported = true;
    it->reported_at = now;
    it->avoid_until = 0;
}

void shard_selector::on_free_slots(const std::string& shard,
                                   std::size_t length_class,
                                   std::uint32_t free_slots, msec now)
{
    auto* it = find(shard);
    if (it == nullptr)
        return;
    if (it->free_slots.size() <= length_class)
        it->free_slots.resize(length_class + 1, unknown_free_slots);
    it->free_slots[length_class] = free_slots;
    it->reported = true;
    it->reported_at = now;
    it->avoid_until = 0;
}

void shard_selector::on_owner_timeout(const std::string& shard, msec now)
{
    if (auto* it = find(shard))
        it->avoid_until = now + unresponsive_pause;
}

std::optional<std::string>
shard_selector::pick(std::size_t length_class,
                     const std::vector<std::string>& tried, msec now,
                     generator& random)
{
    auto best = tier::unusable;
    candidates_.clear();
    for (std::size_t n = 0; n < views_.size(); ++n)
    {
        const auto it = tier_of(views_[n], length_class, now);
        if (it == tier::unusable || it > best ||
            std::find(tried.begin(), tried.end(), views_[n].shard) !=
                tried.end())
            continue;
        if (it < best)
            candidates_.clear();
        best = it;
        candidates_.push_back(n);
    }
    if (candidates_.empty())
        return std::nullopt;
    const auto first = random() % candidates_.size();
    auto second = first;
    if (candidates_.size() > 1)
        second = (first + 1 + random() % (candidates_.size() - 1)) %
                 candidates_.size();
    auto& a = views_[candidates_[first]];
    auto& b = views_[candidates_[second]];
    auto& chosen = is_better(b, a, length_class, now) ? b : a;
    // Counts the slot as used for this node's next requests until the owner
    // reports its free slots again.
    if (length_class < chosen.free_slots.size() &&
        chosen.free_slots[length_class] > 0)
        --chosen.free_slots[length_class];
    return chosen.shard;
}

shard_selector::shard_view* shard_selector::find(const std::string& shard)
{
    const auto it =
        std::find_if(views_.begin(), views_.end(),
                     [&](const shard_view& v) { return v.shard == shard; });
    return it == views_.end() ? nullptr : &*it;
}

std::uint32_t shard_selector::free_slots(const shard_view& view,
                                         std::size_t length_class,
                                         msec now) const
{
    if (!view.reported || now - view.reported_at > digest_lifetime ||
        length_class >= view.free_slots.size())
        return unknown_free_slots;
    return view.free_slots[length_class];
}

shard_selector::tier shard_selector::tier_of(const shard_view& view,
                                             std::size_t length_class,
                                             msec now) const
{
    if (view.withdrawn || !view.owner_known)
        return tier::unusable;
    if (now < view.avoid_until)
        return tier::unresponsive;
    if (free_slots(view, length_class, now) == 0)
        return tier::full;
    return view.zone == own_zone_ ? tier::own_zone_free : tier::other_zone_free;
}

bool shard_selector::is_better(const shard_view& a, const shard_view& b,
                               std::size_t length_class, msec now) const
{
    const auto free_a = free_slots(a, length_class, now);
    const auto free_b = free_slots(b, length_class, now);
    return free_a != free_b ? free_a > free_b : a.queued < b.queued;
}

} // namespace galenapulley
