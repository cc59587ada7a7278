#include "galenapulley/membership.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

// Nothing depends on the early detection of a lost standby.
constexpr msec standby_suspect_factor = 5;

} // namespace

const member* membership::find(const std::string& node) const
{
    const auto it = members_.find(node);
    return it == members_.end() ? nullptr : &it->second;
}

bool membership::is_suspected(const member& it, msec now) const
{
    if (core_.empty())
        return now - it.heartbeat_at > options_.suspect_after * time_scale();
    if (!core_.contains(it.node))
        return it.silent_in_core ||
               now - it.heartbeat_at >
                   standby_suspect_factor * options_.suspect_after;
    const auto since = std::max(it.heartbeat_at, it.core_since);
    return it.silent_in_core || now - since > options_.suspect_after;
}

bool membership::is_fresh(const member& it, msec now) const
{
    return !it.leaving && !is_suspected(it, now) &&
           now - it.heartbeat_at <= options_.suspect_after;
}

std::vector<const member*> membership::live_members(msec now) const
{
    std::vector<const member*> live;
    for (const auto& [node, it] : members_)
        if (!it.leaving && !is_suspected(it, now))
            live.push_back(&it);
    return live;
}

std::set<std::string> membership::known_zones() const
{
    std::set<std::string> zones{options_.zone};
    for (const auto& [node, it] : members_)
        zones.insert(it.zone);
    return zones;
}

std::size_t membership::reachable_peers(msec window, msec now) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [&](const auto& item)
                      {
                          const auto& at = item.second.last_contact;
                          return at && now - *at <= window;
                      }));
}

std::set<std::string> membership::reachable_zones(msec window, msec now) const
{
    std::set<std::string> zones{options_.zone};
    for (const auto& [node, it] : members_)
        if (it.last_contact && now - *it.last_contact <= window)
            zones.insert(it.zone);
    return zones;
}

std::vector<listed_node> membership::list_nodes(std::size_t max, msec now)
{
    std::map<std::string, std::vector<listed_node>> zones;
    if (!leaving_ && serving_)
        zones[options_.zone].push_back({.node = options_.node,
                                        .zone = options_.zone,
                                        .address = options_.listen_address});
    for (const auto* it : live_members(now))
        if (!it->listen_address.empty())
            zones[it->zone].push_back({.node = it->node,
                                       .zone = it->zone,
                                       .address = it->listen_address});
    std::vector<std::vector<listed_node>> order;
    if (auto own = zones.extract(options_.zone))
        order.push_back(std::move(own.mapped()));
    for (auto& [zone, nodes] : zones)
        order.push_back(std::move(nodes));
    // Each call starts at another node, which spreads the clients.
    const auto start = list_cursor_++;
    for (auto& nodes : order)
        std::rotate(nodes.begin(),
                    nodes.begin() +
                        static_cast<std::ptrdiff_t>(start % nodes.size()),
                    nodes.end());
    std::vector<listed_node> listed;
    for (std::size_t n = 0, before = 1; listed.size() != before; ++n)
    {
        before = listed.size();
        for (const auto& nodes : order)
            if (n < nodes.size() && listed.size() < max)
                listed.push_back(nodes[n]);
    }
    return listed;
}

const shard_owner* membership::owner_of(const std::string& shard) const
{
    const auto it = owners_.find(shard);
    return it == owners_.end() ? nullptr : &it->second.owner;
}

} // namespace galenapulley
