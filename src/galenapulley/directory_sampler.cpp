#include "galenapulley/directory_sampler.hpp"

#include <algorithm>
#include <cmath>

namespace galenapulley
{

namespace
{

std::size_t listed_count(const std::vector<listed_node>& nodes)
{
    const bool equal =
        std::all_of(nodes.begin(), nodes.end(),
                    [&nodes](const listed_node& it)
                    { return it.capacity == nodes.front().capacity; });
    if (equal)
        return std::min(nodes.size(), directory_sampler::max_listed);
    const auto part = static_cast<std::size_t>(std::ceil(
        directory_sampler::listed_share * static_cast<double>(nodes.size())));
    return std::min({std::max(part, directory_sampler::min_listed),
                     nodes.size(), directory_sampler::max_listed});
}

struct drawn_node
{
    double key = 0;
    const listed_node* node = nullptr;
};

} // namespace

std::vector<listed_node>
directory_sampler::choose(const std::vector<listed_node>& nodes)
{
    // Weighted sampling without replacement: the smallest values of
    // exponentially distributed numbers whose rates are the weights.
    std::vector<drawn_node> drawn;
    drawn.reserve(nodes.size());
    for (const auto& it : nodes)
    {
        std::exponential_distribution<double> draw(std::max(1U, it.capacity));
        drawn.push_back({.key = draw(random_), .node = &it});
    }
    std::sort(drawn.begin(), drawn.end(),
              [](const drawn_node& a, const drawn_node& b)
              { return a.key < b.key; });
    drawn.resize(listed_count(nodes));
    std::vector<listed_node> out;
    out.reserve(drawn.size());
    for (const auto& it : drawn)
        out.push_back(*it.node);
    return out;
}

} // namespace galenapulley
