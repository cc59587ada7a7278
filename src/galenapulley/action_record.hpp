#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace galenapulley
{

/// Identifies a non-idempotent action of a client account.
struct action_key
{
    std::string service;
    std::string customer;
    std::string idempotency_key;
};

/// The response of a back end, recorded for retries of the request.
struct recorded_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// The body exceeded max_recorded_body_bytes; only its hash was recorded.
    bool too_large = false;
    std::uint64_t body_hash = 0;
};

enum class action_state
{
    started,
    done,
    not_run
};

/// Value of a row actions/<service>/<customer>/<key>.
struct action_record
{
    action_state state = action_state::started;
    std::string attempt_id;
    /// Hash of the request body.
    std::uint64_t body_hash = 0;
    /// Node process that made the attempt.
    std::string node;
    std::int64_t incarnation = 0;
    recorded_response response;
};

/// Largest response body stored in the table service.
constexpr std::size_t max_recorded_body_bytes = 65'536;

/// Row key of an action. The parts are escaped, so that keys are unique.
std::string row_key(const action_key& key);
std::string format_action(const action_record& record);
std::optional<action_record> parse_action(const std::string& value);

/// Replaces a body above max_recorded_body_bytes by its hash.
recorded_response limit_response(recorded_response response);

} // namespace galenapulley
