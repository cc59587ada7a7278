#include "galenapulley/placement_history.hpp"

#include <algorithm>
#include <cmath>

namespace galenapulley
{

namespace
{

/// More requests than any endpoint gets; keeps absurd limits in range.
constexpr double max_room = 1e9;

} // namespace

void placement_history::add(endpoint_key key, msec now)
{
    expire(now);
    placed_at_[key].push_back(now);
}

std::uint32_t placement_history::count(endpoint_key key, msec window,
                                       msec now) const
{
    const auto it = placed_at_.find(key);
    if (it == placed_at_.end())
        return 0;
    const auto first =
        std::upper_bound(it->second.begin(), it->second.end(), now - window);
    return static_cast<std::uint32_t>(it->second.end() - first);
}

std::uint32_t placement_history::room(endpoint_key key, double per_second,
                                      msec now) const
{
    // An endpoint with a limit of 0 still gets a request now and then, or its
    // recovery would go unnoticed.
    const auto in_memory =
        std::max(1.0, std::ceil(per_second * static_cast<double>(memory) /
                                static_cast<double>(1_sec)));
    const auto placed = static_cast<double>(count(key, memory, now));
    return static_cast<std::uint32_t>(
        std::clamp(in_memory - placed, 0.0, max_room));
}

void placement_history::expire(msec now)
{
    if (now < next_expiry_)
        return;
    next_expiry_ = now + memory;
    for (auto& [key, times] : placed_at_)
        times.erase(times.begin(),
                    std::upper_bound(times.begin(), times.end(), now - memory));
    std::erase_if(placed_at_, [](const auto& it) { return it.second.empty(); });
}

} // namespace galenapulley
