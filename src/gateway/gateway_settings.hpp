#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
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
    /// Listener for clients' requests.
    std::string traffic;
    /// Listener for readiness checks.
    std::string ready;
    /// Listener for clients' queries for node addresses.
    std::string directory;
    /// Listener for messages of other nodes.
    std::string peer;
    /// Listener for metrics; empty for none.
    std::string metrics;
    std::string store;
    std::vector<std::string> seeds;

    /// Time from SIGTERM until the process is killed.
    msec stop_grace = 8000;
    /// How long a client may use a response of the directory.
    msec directory_ttl = 2000;
    /// Retries allowed to all nodes together in ten seconds: a fixed number
    /// plus a share of the requests.
    std::uint32_t retry_base = 100;
    double retry_ratio = 0.1;
    /// Time after the end of a request within which the memory reserved for it
    /// has to be free again.
    msec memory_release = 4000;
    std::uint64_t memory_mb = 128;
    /// Share of a processor core that the process may use, and the speed of
    /// the core relative to those of the other nodes.
    double processor_share = 1;
    double processor_speed = 1;
    /// Optional decisions under load. One that isn't set follows the contracts
    /// of the deployment, and is off where none asks for it.
    struct load_decisions
    {
        /// Whether waiting requests are late, or refused, is decided by the
        /// time to first token that busy engines need, rather than the least
        /// possible one.
        std::optional<bool> admission_forecast{};
        /// Client accounts share endpoints fairly while requests wait.
        std::optional<bool> account_shares{};
        /// Endpoints are chosen by their observed speed and reliability.
        std::optional<bool> endpoint_estimates{};
    };
    load_decisions decisions{};
    /// Limits of clients' connections; 0 where they are derived from the limits
    /// of descriptors and memory (client_bounds).
    struct client_settings
    {
        std::uint64_t connections = 0;
        std::uint64_t address_connections = 0;
        /// Input that no request has taken, of one connection and of all.
        std::uint64_t input_kb = 64;
        std::uint64_t input_total_kb = 0;
        std::uint64_t empty_lines = 8;
        /// Bytes of responses that clients don't read.
        std::uint64_t unread_kb = 0;
        /// Time without progress after which an unread response is given up.
        msec unread_timeout = 8000;
    };
    client_settings clients{};
    /// Connections of other nodes; 0 where it is derived from the limit of
    /// descriptors.
    std::uint64_t peer_connections = 0;
    /// What the deployment asks for, in the platform's words.
    std::vector<std::string> contracts;
    /// The whole fleet starts, not only this node.
    bool is_bootstrap = false;
    std::string log_level = "info";
};

/// Processor capacity in thousandths of a core.
std::uint32_t capacity_of(const gateway_settings& settings);

/// Parses and checks a settings file; errors as for parse_service.
absl::StatusOr<gateway_settings> parse_gateway_settings(std::string_view text);

} // namespace galenapulley
