#include "galenapulley/rate_share.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace galenapulley
{

rate_share::rate_share(std::string_view node)
    : seed_(XXH64(node.data(), node.size(), 0))
{
}

std::uint32_t rate_share::placed(endpoint_key key, msec now) const
{
    const auto it = placed_.find(key);
    return it != placed_.end() && it->second.period == period_at(now)
               ? it->second.count
               : 0;
}

bool rate_share::allows(endpoint_key key, std::uint32_t room, std::size_t nodes,
                        msec now) const
{
    const auto own = placed(key, now);
    const auto share = static_cast<double>(room + own) /
                       static_cast<double>(std::max<std::size_t>(1, nodes));
    const std::array<std::uint64_t, 2> draw{
        key, static_cast<std::uint64_t>(period_at(now))};
    const auto rounding =
        std::ldexp(static_cast<double>(XXH64(&draw, sizeof(draw), seed_)), -64);
    return own < std::floor(share + rounding);
}

void rate_share::on_placed(endpoint_key key, msec now)
{
    std::erase_if(placed_, [now](const auto& it)
                  { return it.second.period != period_at(now); });
    auto& own = placed_[key];
    own.period = period_at(now);
    ++own.count;
}

} // namespace galenapulley
