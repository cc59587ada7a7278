#include "galenapulley/node_rank.hpp"

#include <xxhash.h>

#include <tuple>

namespace galenapulley
{

bool ranks_before(const ranked_node& a, const ranked_node& b)
{
    const auto hash = [](const ranked_node& it)
    {
        return XXH64(it.node.data(), it.node.size(), 0);
    };
    return std::tuple(b.capacity, hash(a), a.node) <
           std::tuple(a.capacity, hash(b), b.node);
}

} // namespace galenapulley
