#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/memory_budget.hpp"
#include "galenapulley/routing_table.hpp"
#include "gateway/wire_format.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace galenapulley
{

/// A complete request of a client, as received.
struct client_request
{
    std::string method;
    std::string target;
    std::string host;
    header_list headers;
    std::string body;
    /// Accounts for the body as long as the request exists.
    memory_share body_memory;
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    unsigned http_version = 11;
    bool keep_alive = true;
    /// When its first bytes were read.
    msec received_at = 0;

    /// The target without its query.
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

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
