#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace galenapulley
{

/// How rows of the store reach a node.
enum class row_route
{
    /// The node's own watch of the table.
    watch,
    /// The node's own read of the whole table.
    read,
    /// The node's own poll for changes.
    poll,
    /// A peer, after the node asked it.
    peer,
    /// A relay node, unasked.
    relay
};

constexpr int row_route_count = static_cast<int>(row_route::relay) + 1;

std::string_view name_of(row_route route);

/// How the newest rows of a table reached the node, for the log.
struct row_arrival
{
    row_route route = row_route::read;
    /// Empty if they came from the store.
    std::string peer{};
    /// Time from the request for them to the response; 0 if there was none.
    msec request_time = 0;
    /// Time without any response about the table before this one.
    msec silent_time = 0;
    /// Time since a peer first announced a change that the node lacked; 0 if
    /// none did.
    msec announced_time = 0;
};

} // namespace galenapulley
