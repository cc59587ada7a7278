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

/// Determines whether the gateway may retry a request on its own.
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

/// A route of the configuration: the services for a host and a path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Time limit for the complete response.
    msec timeout = 10'000;
    /// Target for the time to the response; for a stream, to its first event.
    msec target_latency = 1000;
    /// Target for the longest time between two events of a stream.
    msec gap_target = 0;
    int priority = 0;
    std::vector<weighted_service> services;
    std::uint32_t max_attempts = 1;
    /// Requests need no API key.
    bool open_access = false;
    /// A broken stream may be resumed at another endpoint.
    bool resumable = false;

    /// Whether a request may be executed more than once.
    bool retryable() const
    {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && resumable);
    }
};

struct service_profile
{
    std::string name;
    /// Requests per second that one cold endpoint can serve; 0 if endpoints
    /// have no warm-up.
    double cold_rate = 0;
    /// Absent for services without a model.
    std::optional<engine_profile> engine;
};

struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
};

/// Size limits and timeouts of client requests.
struct client_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = std::size_t{4} << 20;
    msec header_timeout = 3000;
    msec idle_timeout = 15'000;
};

/// An accepted configuration of the gateway. It is immutable, so threads can
/// share it.
class routing_table
{
public:
    routing_table(std::uint64_t version, std::vector<route> routes,
                  std::vector<service_profile> services,
                  std::vector<client_account> accounts, client_limits limits);

    std::uint64_t version() const { return version_; }
    const client_limits& limits() const { return limits_; }
    /// Whether routes without open access need an API key.
    bool has_accounts() const { return !accounts_.empty(); }

    /// Returns the route of the host with the longest matching path prefix;
    /// nullptr if there is none. `path` does not include the query.
    const route* find(std::string_view host, std::string_view path) const;
    const std::vector<client_account>& accounts() const { return accounts_; }
    /// Returns nullptr for an unknown key.
    const client_account* account_of(const std::string& key) const;
    const service_profile* service(const std::string& name) const;
    /// Selects a service of the route by weight and by a hash of the request,
    /// so that a retry of the same request selects the same service.
    static const std::string& pick_service(const route& value,
                                           std::uint64_t request_hash);

private:
    std::uint64_t version_;
    std::vector<route> routes_;
    /// Index of the route by host and prefix.
    std::unordered_map<std::string, std::map<std::string, std::size_t>> hosts_;
    std::unordered_map<std::string, service_profile> services_;
    std::vector<client_account> accounts_;
    std::unordered_map<std::string, std::size_t> keys_;
    client_limits limits_;
};

} // namespace galenapulley
