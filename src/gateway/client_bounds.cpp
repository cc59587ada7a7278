#include "gateway/client_bounds.hpp"

#include "galenapulley/clients/connection_limits.hpp"
#include "galenapulley/request_memory.hpp"

namespace galenapulley
{

namespace
{

// Percentages of the memory for requests. Bodies count twice, as a request is
// copied while it is sent to an endpoint.
/// Bodies of requests and responses.
constexpr std::size_t body_percent = 30;
/// Input that no request has taken.
constexpr std::size_t input_percent = 13;
/// Responses that clients don't read.
constexpr std::size_t unread_percent = 13;
/// Incomplete messages of other nodes.
constexpr std::size_t peer_percent = 13;
static_assert(2 * body_percent + input_percent + unread_percent +
                  peer_percent <=
              100);

constexpr std::size_t kilobyte = 1024;

/// The value that is set; otherwise the default.
std::size_t value_or(std::uint64_t set, std::size_t otherwise)
{
    return set > 0 ? static_cast<std::size_t>(set) : otherwise;
}

} // namespace

client_bounds make_client_bounds(const gateway_settings& settings,
                                 std::size_t descriptors)
{
    const auto& set = settings.clients;
    const auto memory = request_memory(settings.memory_mb);
    const auto part = [&](std::size_t percent)
    {
        return memory * percent / 100;
    };
    client_bounds out;
    out.clients = make_connection_limits(set.connections,
                                         set.address_connections, descriptors);
    auto& clients = out.clients;
    clients.unread_bytes =
        value_or(set.unread_kb * kilobyte, part(unread_percent));
    clients.unread_timeout = set.unread_timeout;
    out.operators = clients;
    out.operators.connections = operator_connections;
    out.operators.connections_per_address = operator_connections;
    out.input_bytes = set.input_kb * kilobyte;
    out.input_bytes_total =
        value_or(set.input_total_kb * kilobyte, part(input_percent));
    out.empty_lines = set.empty_lines;
    out.body_bytes = part(body_percent);
    out.peer_bytes = part(peer_percent);
    out.peer_connections =
        value_or(settings.peer_connections, make_peer_connections(descriptors));
    return out;
}

} // namespace galenapulley
