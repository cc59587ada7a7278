#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/routing_table.hpp"
#include "gateway/wire_format.hpp"
#include "http/client_request.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace galenapulley
{

/// A request that matches a route and carries a valid API key if one is
/// required.
struct admitted_request
{
    client_request received;
    request_metadata metadata;
    std::shared_ptr<const routing_table> table;
    const route* matched_route = nullptr;
    std::string service;
    /// Empty if the route needs no key.
    std::string account;
    int priority = 0;
    msec deadline = 0;
    std::uint64_t fingerprint = 0;
};

} // namespace galenapulley
