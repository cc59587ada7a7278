#pragma once

#include "galenapulley/clients/client_table.hpp"

#include <cstddef>

namespace galenapulley
{

/// Connections for readiness checks and metrics of a gateway.
constexpr std::size_t operator_connections = 64;

/// Limits of the connections of clients. A limit of 0 is derived from the
/// number of descriptors that the process may have.
client_table_options make_connection_limits(std::size_t connections,
                                            std::size_t per_address,
                                            std::size_t descriptors);

/// Limit of the connections of other nodes.
std::size_t make_peer_connections(std::size_t descriptors);

/// The number of descriptors that this process may have.
std::size_t descriptor_limit();

} // namespace galenapulley
