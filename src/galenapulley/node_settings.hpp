#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Account of a team or an operator for the admin API.
struct admin_account
{
    std::string name;
    /// Hex SHA-256 of its bearer token.
    std::string token_sha256;
};

/// Settings of one node process.
struct node_settings
{
    std::string node;
    std::string zone;
    std::string machine;
    /// All addresses have the form IP:port.
    std::string listen;
    std::string peer;
    std::string platform;
    std::vector<std::string> seeds;
    std::uint32_t workers = 2;
    std::vector<admin_account> teams;
    std::vector<admin_account> operators;
    msec lease_ttl = 6000;
    msec lease_renew = 2000;
    std::string log_level = "info";
    msec engine_poll = 500;
    msec drain = 12'000;
    msec view_max_age = 5000;
    /// Memory of the process; bodies of requests may use a part of it.
    std::uint32_t memory_mb = 512;
    /// Limits of clients' connections; 0 where they are derived from the limit
    /// of descriptors.
    std::uint32_t client_connections = 0;
    std::uint32_t client_connections_per_address = 0;
};

/// Parses and validates a settings file; errors as for parse_service.
absl::StatusOr<node_settings> parse_node_settings(std::string_view text);

std::string format_node_settings(const node_settings& value);

} // namespace galenapulley
