#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Reasons for which a request of a client or an operator fails.
enum class error_kind
{
    bad_request,
    unauthorized,
    forbidden,
    unknown_service,
    unknown_model,
    unknown_route,
    prompt_too_long,
    body_incomplete,
    missing_idempotency_key,
    key_reused,
    invalid_document,
    version_conflict,
    overloaded,
    customer_limit,
    deadline_unreachable,
    no_back_end,
    store_unavailable,
    isolated,
    no_baseline,
    node_leaving,
    request_quarantined,
    in_progress,
    outcome_unknown,
    deadline_exceeded,
    back_end_failed,
    stream_broken,
    cancelled,
    headers_too_large,
    body_too_large,
    request_timeout,
    internal
};

constexpr int error_kind_count = static_cast<int>(error_kind::internal) + 1;

/// Whether a back end has executed a failed request.
enum class execution
{
    not_run,
    may_have_run,
    ran
};

/// HTTP response and status code of an error kind.
struct error_response
{
    error_kind kind;
    std::string_view name;
    int http_status;
    absl::StatusCode code;
    execution ran;
    /// Delay after which a retry may succeed; 0 if no retry of the same request
    /// can succeed.
    msec retry_after;
};

const error_response& error_response_for(error_kind kind);
/// Whether clients take the status as the statement that the request has not
/// run and never will, and therefore repeat what isn't idempotent, too.
bool is_refusal_status(int http_status);
std::string_view name_of(error_kind kind);
std::string_view name_of(execution ran);
std::optional<error_kind> error_kind_from_name(std::string_view name);

/// Makes a status with the error kind as payload.
absl::Status make_error(error_kind kind, std::string_view message);

/// Returns the error kind of a failed status; `internal` if it has none.
error_kind kind_of(const absl::Status& status);

/// JSON body of an error response. `ran` overrides the default of the kind.
std::string error_body(const absl::Status& status,
                       std::optional<execution> ran = std::nullopt);

} // namespace galenapulley
