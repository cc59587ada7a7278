#include "galenapulley/error_kind.hpp"

#include <absl/strings/cord.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace galenapulley
{

namespace
{

constexpr std::string_view payload_url = "galenapulley/error_kind";

using enum error_kind;
using code = absl::StatusCode;

constexpr auto not_run = execution::not_run;
constexpr auto may_have_run = execution::may_have_run;

constexpr std::array<error_response, error_kind_count> error_responses{{
    {bad_request, "bad_request", 400, code::kInvalidArgument, not_run, 0},
    {unauthorized, "unauthorized", 401, code::kUnauthenticated, not_run, 0},
    {forbidden, "forbidden", 403, code::kPermissionDenied, not_run, 0},
    {unknown_service, "unknown_service", 404, code::kNotFound, not_run, 0},
    {unknown_model, "unknown_model", 404, code::kNotFound, not_run, 0},
    {unknown_route, "unknown_route", 404, code::kNotFound, not_run, 0},
    {prompt_too_long, "prompt_too_long", 413, code::kOutOfRange, not_run, 0},
    {body_incomplete, "body_incomplete", 400, code::kInvalidArgument, not_run,
     0},
    {missing_idempotency_key, "missing_idempotency_key", 400,
     code::kInvalidArgument, not_run, 0},
    {key_reused, "key_reused", 422, code::kAlreadyExists, not_run, 0},
    {invalid_document, "invalid_document", 422, code::kInvalidArgument, not_run,
     0},
    {version_conflict, "version_conflict", 409, code::kAborted, not_run, 0},
    {overloaded, "overloaded", 429, code::kResourceExhausted, not_run, 1000},
    {customer_limit, "customer_limit", 429, code::kResourceExhausted, not_run,
     1000},
    {deadline_unreachable, "deadline_unreachable", 503, code::kUnavailable,
     not_run, 2000},
    {no_back_end, "no_back_end", 503, code::kUnavailable, not_run, 2000},
    {store_unavailable, "store_unavailable", 503, code::kUnavailable, not_run,
     5000},
    {isolated, "isolated", 503, code::kUnavailable, not_run, 1000},
    {no_baseline, "no_baseline", 503, code::kUnavailable, not_run, 1000},
    {node_leaving, "node_leaving", 503, code::kUnavailable, not_run, 1},
    {request_quarantined, "request_quarantined", 422, code::kFailedPrecondition,
     not_run, 600'000},
    {in_progress, "in_progress", 409, code::kAborted, may_have_run, 1000},
    {outcome_unknown, "outcome_unknown", 502, code::kUnknown, may_have_run, 0},
    {deadline_exceeded, "deadline_exceeded", 504, code::kDeadlineExceeded,
     may_have_run, 1000},
    {back_end_failed, "back_end_failed", 502, code::kUnavailable, may_have_run,
     1000},
    {stream_broken, "stream_broken", 502, code::kDataLoss, may_have_run, 1000},
    {cancelled, "cancelled", 499, code::kCancelled, may_have_run, 0},
    {headers_too_large, "headers_too_large", 431, code::kOutOfRange, not_run,
     0},
    {body_too_large, "body_too_large", 413, code::kOutOfRange, not_run, 0},
    {request_timeout, "request_timeout", 408, code::kDeadlineExceeded, not_run,
     100},
    {internal, "internal", 500, code::kInternal, may_have_run, 1000},
}};

} // namespace

const error_response& error_response_for(error_kind kind)
{
    return error_responses.at(static_cast<std::size_t>(kind));
}

bool is_refusal_status(int http_status)
{
    constexpr std::array<int, 4> refusals{408, 421, 429, 503};
    return std::find(refusals.begin(), refusals.end(), http_status) !=
           refusals.end();
}

std::string_view name_of(error_kind kind)
{
    return error_response_for(kind).name;
}

std::string_view name_of(execution ran)
{
    constexpr std::array<std::string_view, 3> names{"not_run", "may_have_run",
                                                    "ran"};
    return names.at(static_cast<std::size_t>(ran));
}

std::optional<error_kind> error_kind_from_name(std::string_view name)
{
    for (const auto& it : error_responses)
        if (it.name == name)
            return it.kind;
    return std::nullopt;
}

absl::Status make_error(error_kind kind, std::string_view message)
{
    absl::Status status(error_response_for(kind).code,
                        absl::string_view(message.data(), message.size()));
    const auto name = name_of(kind);
    status.SetPayload({payload_url.data(), payload_url.size()},
                      absl::Cord({name.data(), name.size()}));
    return status;
}

error_kind kind_of(const absl::Status& status)
{
    const auto payload =
        status.GetPayload({payload_url.data(), payload_url.size()});
    if (!payload)
        return error_kind::internal;
    return error_kind_from_name(std::string(*payload))
        .value_or(error_kind::internal);
}

std::string error_body(const absl::Status& status, std::optional<execution> ran)
{
    const auto& response = error_response_for(kind_of(status));
    const nlohmann::json body{{"error",
                               {{"kind", response.name},
                                {"message", std::string(status.message())},
                                {"ran", name_of(ran.value_or(response.ran))},
                                {"retry_after_ms", response.retry_after}}}};
    // Messages may quote bytes of a request, which need not be valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace galenapulley
