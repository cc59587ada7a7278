#include "gateway/client_bounds.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace galenapulley
{

namespace
{

/// Connections for readiness checks and metrics.
constexpr std::size_t operator_connections = 64;
/// Descriptors for listeners, the store, peers and the process itself.
constexpr std::size_t other_descriptors = 64;
/// One descriptor in this many is kept for connections to endpoints.
constexpr std::size_t endpoint_divisor = 4;
/// Parts of the memory limit: one in this many for input that no request has
/// taken, as many for unread responses.
constexpr std::size_t memory_divisor = 8;
constexpr std::size_t kilobyte = 1024;

/// The value that is set; otherwise the default.
std::size_t value_or(std::uint64_t set, std::size_t otherwise)
{
    return set > 0 ? static_cast<std::size_t>(set) : otherwise;
}

} // namespace

std::size_t descriptor_limit()
{
    constexpr std::size_t usual_limit = 1024;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return usual_limit;
    return static_cast<std::size_t>(limit.rlim_cur);
}

client_bounds make_client_bounds(const gateway_settings& settings,
                                 std::size_t descriptors)
{
    const auto& set = settings.clients;
    const auto reserve =
        std::min(descriptors / 2, operator_connections + other_descriptors +
                                      descriptors / endpoint_divisor);
    const auto memory_part =
        static_cast<std::size_t>(settings.memory_mb << 20) / memory_divisor;
    client_bounds out;
    auto& clients = out.clients;
    clients.connections = value_or(set.connections, descriptors - reserve);
    // Thousands of clients may share an address; it may still not have all.
    clients.connections_per_address = value_or(
        set.address_connections, clients.connections - clients.connections / 4);
    clients.unread_bytes = value_or(set.unread_kb * kilobyte, memory_part);
    clients.unread_timeout = set.unread_timeout;
    out.operators = clients;
    out.operators.connections = operator_connections;
    out.operators.connections_per_address = operator_connections;
    out.input_bytes = set.input_kb * kilobyte;
    out.input_bytes_total =
        value_or(set.input_total_kb * kilobyte, memory_part);
    out.empty_lines = set.empty_lines;
    return out;
}

} // namespace galenapulley
