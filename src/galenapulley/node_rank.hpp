#pragma once

#include <cstdint>
#include <string>

namespace galenapulley
{

/// A node as far as roles are distributed by its strength.
struct ranked_node
{
    std::string node;
    /// Processor capacity in thousandths of a core; 0 if unknown.
    std::uint32_t capacity = 0;

    bool operator==(const ranked_node&) const = default;
};

/// Order in which nodes take on roles, the same on all nodes: the strongest
/// first, and nodes of the same strength in the order of a hash of their names.
bool ranks_before(const ranked_node& a, const ranked_node& b);

} // namespace galenapulley
