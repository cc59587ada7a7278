#pragma once

#include "galenapulley/clients/client_table.hpp"
#include "gateway/gateway_settings.hpp"

#include <cstddef>

namespace galenapulley
{

/// Limits of connections from outside as they are in force.
struct client_bounds
{
    /// Connections for requests and for the directory.
    client_table_options clients;
    /// Connections for readiness checks and metrics, which clients can't use
    /// up.
    client_table_options operators;
    /// Memory for input that no request has taken, of one connection and of
    /// all.
    std::size_t input_bytes = 0;
    std::size_t input_bytes_total = 0;
    std::size_t empty_lines = 0;
    /// Memory for the bodies of requests and responses.
    std::size_t body_bytes = 0;
    /// Memory for incomplete messages of other nodes, and their connections.
    std::size_t peer_bytes = 0;
    std::size_t peer_connections = 0;
};

/// Fills in the limits that the settings leave open. `descriptors`: the limit
/// of the process.
client_bounds make_client_bounds(const gateway_settings& settings,
                                 std::size_t descriptors);

} // namespace galenapulley
