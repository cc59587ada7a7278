#include "galenapulley/relay_role.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

relay_role::relay_role(ranked_node self) : self_(std::move(self)) {}

void relay_role::set_domain_nodes(const std::vector<ranked_node>& nodes)
{
    const auto before = std::count_if(nodes.begin(), nodes.end(),
                                      [this](const ranked_node& it)
                                      { return ranks_before(it, self_); });
    is_relay_ = static_cast<std::size_t>(before) < relays_per_domain;
    std::erase_if(confirmed_at_,
                  [&nodes](const auto& heard)
                  {
                      return std::none_of(nodes.begin(), nodes.end(),
                                          [&heard](const ranked_node& it)
                                          { return it.node == heard.first; });
                  });
}

void relay_role::on_heartbeat(const std::string& node, msec confirmed_at)
{
    auto& it = confirmed_at_[node];
    it = std::max(it, confirmed_at);
}

bool relay_role::is_settling(msec now) const
{
    return settling_since_ && now - *settling_since_ < settling_time;
}

bool relay_role::must_watch(msec now) const
{
    if (is_settling(now))
        return false;
    return is_relay_ ||
           std::none_of(confirmed_at_.begin(), confirmed_at_.end(),
                        [now](const auto& it)
                        { return now - it.second < heartbeat_timeout; });
}

} // namespace galenapulley
