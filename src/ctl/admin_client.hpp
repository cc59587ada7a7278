#pragma once

#include "ctl/exit_code.hpp"
#include "galenapulley/clock.hpp"
#include "node/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

struct admin_client_options
{
    /// Addresses "IP:PORT", tried in this order.
    std::vector<std::string> nodes;
    std::string token;
    /// Limit for each attempt.
    msec timeout = 5_sec;
};

/// A request that changes state.
struct admin_change
{
    std::string method = "POST";
    std::string path;
    std::string body{};
    /// Sent with every attempt, which makes retries idempotent.
    std::string change_id{};
    std::optional<std::int64_t> expected_version{};
    /// Whether the request may be retried after an unknown outcome.
    bool retryable = true;
};

struct admin_response
{
    exit_code outcome = exit_code::unreachable;
    /// HTTP status; 0 if no node responded.
    int status = 0;
    std::string body{};
    /// Cause of a failure, for the operator.
    std::string reason{};
};

/// Client of the nodes' administration API for operators and teams. Sends each
/// request to the first node that can serve it.
class admin_client
{
public:
    explicit admin_client(admin_client_options options);

    /// Sends a GET; tries the nodes in order until one responds without a
    /// server error.
    admin_response read(const std::string& path);
    /// Tries the next node when the request was not sent, or was refused for a
    /// reason that concerns only that node. After an unknown outcome the same
    /// change is retried in up to two rounds over the nodes; the outcome then
    /// stays unknown unless a retry succeeds.
    admin_response change(const admin_change& request);

private:
    http_result send(const std::string& node, http_call call);

    admin_client_options options_;
    http_client client_;
};

} // namespace galenapulley
