#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace galenapulley
{

/// Identifies a non-idempotent action of a customer.
struct action_key
{
    std::string service;
    std::string customer;
    std::string idempotency_key;
};

/// The answer of a back end as it is kept for repeats.
struct recorded_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// The body was above the size kept; only its hash was recorded.
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
    /// The node process that made the attempt.
    std::string node;
    std::int64_t incarnation = 0;
    recorded_answer answer;
};

/// Largest answer body kept in the table service.
constexpr std::size_t max_recorded_body_bytes = 65'536;

/// The row's key. Each part is escaped, so no two actions share a row.
std::string row_key(const action_key& key);
std::string format_action(const action_record& record);
std::optional<action_record> parse_action(const std::string& value);

/// Replaces a body above max_recorded_body_bytes by its hash.
recorded_answer limit_answer(recorded_answer answer);

} // namespace galenapulley
