#include "galenapulley/clients/connection_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace galenapulley
{

namespace
{

/// Descriptors for listeners, the store, peers and the process itself.
constexpr std::size_t other_descriptors = 64;
/// One descriptor in this many is kept for connections to endpoints.
constexpr std::size_t endpoint_divisor = 4;
/// One descriptor in this many may be a connection of another node.
constexpr std::size_t peer_divisor = 4;

} // namespace

std::size_t descriptor_limit()
{
    constexpr std::size_t usual_limit = 1024;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return usual_limit;
    return static_cast<std::size_t>(limit.rlim_cur);
}

client_table_options make_connection_limits(std::size_t connections,
                                            std::size_t per_address,
                                            std::size_t descriptors)
{
    const auto reserve =
        std::min(descriptors / 2, operator_connections + other_descriptors +
                                      descriptors / endpoint_divisor);
    client_table_options out;
    out.connections = connections > 0 ? connections : descriptors - reserve;
    // Thousands of clients may share an address; it may still not have all.
    out.connections_per_address =
        per_address > 0 ? per_address : out.connections - out.connections / 4;
    return out;
}

std::size_t make_peer_connections(std::size_t descriptors)
{
    return descriptors / peer_divisor;
}

} // namespace galenapulley
