#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace galenapulley
{

/// Identifies one incarnation of an endpoint within the cluster.
using endpoint_key = std::uint64_t;

/// What an endpoint declares of the prompt prefixes that it retains in memory
/// after a request.
struct prefix_retention
{
    double tokens = 0;
    /// Time since the last request that used a prefix.
    msec time = 0;
};

/// Self-description of one incarnation of an endpoint.
struct endpoint
{
    /// Identifies the incarnation; its responses carry the id as well.
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Remaining cold phase at the time the description was written.
    msec cold_remaining = 0;
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    /// Distinguishes incarnations, as an endpoint may restart under its old id.
    std::int64_t started_at = 0;
    /// Absent if it retains nothing.
    std::optional<prefix_retention> retention{};
    /// Identifies the version of its weights; 0 if unknown.
    std::uint64_t weights = 0;
};

} // namespace galenapulley
