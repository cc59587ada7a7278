#include "gateway/dispatch_request.hpp"

#include <array>

namespace galenapulley
{

std::string_view name_of(attempt_outcome outcome)
{
    constexpr std::array<std::string_view, attempt_outcome_count> names{
        "completed",        "endpoint_error",
        "unproven_refusal", "not_run",
        "replaced",         "unreachable",
        "memory_refused",   "paused",
        "handover_refused", "broken_before_answer",
        "broken_answer",    "invalid_answer",
        "oversized_answer", "timed_out",
        "stalled",          "client_gone"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace galenapulley
