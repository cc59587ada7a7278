#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/memory_budget.hpp"
#include "http/header_list.hpp"

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

} // namespace galenapulley
