#include "galenapulley/row_arrival.hpp"

#include <array>

namespace galenapulley
{

std::string_view name_of(row_route route)
{
    static constexpr std::array<std::string_view, row_route_count> names{
        "watch", "read", "poll", "peer", "relay"};
    return names.at(static_cast<std::size_t>(route));
}

} // namespace galenapulley
