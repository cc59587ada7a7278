#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/engine_profile.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// What may be repeated without the client's consent.
enum class request_kind
{
    idempotent,
    non_idempotent,
    streaming
};

std::string_view name_of(request_kind kind);

struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// One route of the configuration in force.
struct route
{
    std::string name;
    std::string host;
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time until the final answer.
    msec timeout = 10'000;
    /// Time to the answer, for streams to the first event, that users expect.
    msec target_latency = 1000;
    /// Longest pause between two events that users accept.
    msec gap_target = 0;
    int priority = 0;
    std::vector<weighted_service> services;
    std::uint32_t max_attempts = 1;
    /// Needs no API key.
    bool open_access = false;
    /// A broken stream may go on at another endpoint.
    bool resumable = false;

    /// Whether a second run of a request does no harm.
    bool repeatable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && resumable);
    }
};

struct service_profile
{
    std::string name;
    /// Requests per second that one endpoint bears while it is cold; 0 if it
    /// has no cold phase.
    double cold_rate = 0;
    /// Absent for services that run no model.
    std::optional<engine_profile> engine;
};

struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
};

/// Bounds on what a client may send.
struct client_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = std::size_t{4} << 20;
    msec header_timeout = 3000;
    msec idle_timeout = 15'000;
};

/// An accepted configuration. It is never changed after it was built, so
/// threads may share it.
class routing_table
{
public:
    routing_table(std::uint64_t version, std::vector<route> routes,
                  std::vector<service_profile> services,
                  std::vector<client_account> accounts, client_limits limits);

    std::uint64_t version() const { return version_; }
    const client_limits& limits() const { return limits_; }
    /// Whether requests need an API key.
    bool has_accounts() const { return !accounts_.empty(); }

    /// The route of the host with the longest prefix of the path; nullptr if
    /// there is none. The query is not part of the path.
    const route* find(std::string_view host, std::string_view path) const;
    /// nullptr for an unknown key.
    const client_account* account_of(const std::string& key) const;
    const service_profile* service(const std::string& name) const;
    /// The service for a request, chosen by weight with a hash of the
    /// request, so that a repeat of the same request goes the same way.
    static const std::string& pick_service(const route& value,
                                           std::uint64_t request_hash);

private:
    std::uint64_t version_;
    std::vector<route> routes_;
    /// Routes by host and prefix.
    std::unordered_map<std::string, std::map<std::string, std::size_t>> hosts_;
    std::unordered_map<std::string, service_profile> services_;
    std::vector<client_account> accounts_;
    std::unordered_map<std::string, std::size_t> keys_;
    client_limits limits_;
};

} // namespace galenapulley
