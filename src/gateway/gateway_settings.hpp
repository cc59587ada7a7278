#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Settings of one gateway process. Addresses are IP:port.
struct gateway_settings
{
    std::string node;
    std::string region;
    std::string failure_domain;
    /// Clients' requests.
    std::string traffic;
    /// Readiness checks.
    std::string ready;
    /// Clients' questions for addresses.
    std::string directory;
    /// Messages of other nodes.
    std::string peer;
    /// Counters and histograms; empty for none.
    std::string metrics;
    std::string store;
    std::vector<std::string> seeds;

    /// Time from SIGTERM until the process is killed.
    msec stop_grace = 8000;
    /// How long a client may use an answer of the directory.
    msec directory_ttl = 2000;
    /// Retries of all nodes in ten seconds: a fixed number and a part of the
    /// requests.
    std::uint32_t retry_base = 100;
    double retry_ratio = 0.1;
    /// Time in which endpoints have the memory back that was set aside for a
    /// request, after its end.
    msec memory_return = 4000;
    std::uint64_t memory_mb = 128;
    std::string log_level = "info";
};

/// Parses and checks a settings file; errors as for parse_service.
absl::StatusOr<gateway_settings> parse_gateway_settings(std::string_view text);

} // namespace galenapulley
