#include "galenapulley/relay_role.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

/// Position of a node in an order that is the same on all nodes.
std::uint64_t rank_of(const std::string& node)
{
    return XXH64(node.data(), node.size(), 0);
}

} // namespace

relay_role::relay_role(std::string node) : node_(std::move(node)) {}

void relay_role::set_domain_nodes(const std::vector<std::string>& nodes)
{
    const auto own = rank_of(node_);
    const auto before = std::count_if(nodes.begin(), nodes.end(),
                                      [own](const std::string& it)
                                      { return rank_of(it) < own; });
    is_relay_ = static_cast<std::size_t>(before) < relays_per_domain;
    std::erase_if(last_heartbeat_at_,
                  [&nodes](const auto& it) {
                      return std::find(nodes.begin(), nodes.end(), it.first) ==
                             nodes.end();
                  });
}

void relay_role::on_heartbeat(const std::string& node, msec now)
{
    last_heartbeat_at_[node] = now;
}

bool relay_role::must_watch(msec now) const
{
    return is_relay_ ||
           std::none_of(last_heartbeat_at_.begin(), last_heartbeat_at_.end(),
                        [now](const auto& it)
                        { return now - it.second < heartbeat_timeout; });
}

} // namespace galenapulley
