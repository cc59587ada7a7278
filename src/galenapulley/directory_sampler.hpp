#pragma once

#include "galenapulley/membership.hpp"

#include <cstddef>
#include <random>
#include <vector>

namespace galenapulley
{

/// Chooses the nodes of a response of the directory. Clients pick among the
/// nodes of a response at random, so stronger nodes are listed in more
/// responses than weaker ones.
class directory_sampler
{
public:
    explicit directory_sampler(std::uint64_t seed) : random_(seed) {}

    /// All nodes if they have the same capacity and fit into a response;
    /// otherwise a part of them, drawn without replacement with probabilities
    /// proportional to their capacities.
    std::vector<listed_node> choose(const std::vector<listed_node>& nodes);

    /// Most nodes in a response.
    static constexpr std::size_t max_listed = 64;
    /// With nodes of different capacity, the share of them in a response, but
    /// no fewer than a client needs as alternatives.
    static constexpr double listed_share = 0.34;
    static constexpr std::size_t min_listed = 4;

private:
    std::mt19937_64 random_;
};

} // namespace galenapulley
