#pragma once

#include "gossip_fleet.hpp"

namespace galenapulley
{

/// 350 nodes that know each other, the first 16 of them the core. A round of
/// the simulation is one gossip period, half a second of a gateway.
struct large_gossip_fleet
{
    static constexpr std::size_t nodes = 350;
    static constexpr std::size_t core = 16;
    static constexpr msec suspect_after = 6000;

    gossip_fleet fleet{nodes, 8, 3, 128, suspect_after};

    large_gossip_fleet()
    {
        fleet.rounds(12);
        fleet.set_core(core);
        fleet.rounds(60);
    }

    /// Pairs of running nodes of which the first one suspects the second one.
    std::size_t suspected_core_nodes()
    {
        std::size_t n = 0;
        for (std::size_t k = 0; k < nodes; ++k)
            for (std::size_t c = 0; c < core; ++c)
                n += k != c && !fleet[k].down && !fleet[c].down &&
                     !is_fresh(k, c);
        return n;
    }

    bool is_fresh(std::size_t at, std::size_t node)
    {
        const auto& gossip = fleet[at].gossip;
        const auto* const it = gossip.find(fleet[node].name);
        return it != nullptr && gossip.is_fresh(*it, fleet.now());
    }
};

} // namespace galenapulley
