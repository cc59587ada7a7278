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

/// A call that changes something.
struct admin_change
{
    std::string method = "POST";
    std::string path;
    std::string body{};
    /// Sent with every attempt, which makes repeats idempotent.
    std::string change_id{};
    std::optional<std::int64_t> expected_version{};
    /// Whether the call may be sent again after an unknown outcome.
    bool repeatable = true;
};

struct admin_answer
{
    exit_code outcome = exit_code::unreachable;
    /// 0 if no node answered.
    int status = 0;
    std::string body{};
    /// What went wrong, for the operator.
    std::string reason{};
};

/// Calls of operators and teams, sent to the first node that can serve them.
class admin_client
{
public:
    explicit admin_client(admin_client_options options);

    /// A GET; tries the next node until one answers without a server error.
    admin_answer read(const std::string& path);
    /// Tries the next node when a call was not sent, or was refused for a
    /// reason of that node alone. After an unknown outcome the same change is
    /// sent again, in up to two rounds over the nodes. From then on only a
    /// success is certain.
    admin_answer change(const admin_change& request);

private:
    http_result send(const std::string& node, http_call call);

    admin_client_options options_;
    http_client client_;
};

} // namespace galenapulley
