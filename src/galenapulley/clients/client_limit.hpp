#pragma once

#include <cstddef>
#include <string_view>

namespace galenapulley
{

/// Limits of clients' connections for which a client is refused or closed.
enum class client_limit
{
    connections,
    address_connections,
    /// An idle connection is closed to make room for a new one.
    idle_replaced,
    /// So is one whose head has been incomplete for some time.
    slow_head_replaced,
    head_time,
    body_time,
    /// A body that arrives too slowly is given up while others are refused for
    /// lack of memory.
    body_stalled,
    head_size,
    body_size,
    empty_lines,
    /// Bytes that no request has taken yet.
    input_bytes,
    body_memory,
    unread_time,
    unread_bytes
};

constexpr std::size_t client_limit_count =
    static_cast<std::size_t>(client_limit::unread_bytes) + 1;

std::string_view name_of(client_limit limit);

} // namespace galenapulley
