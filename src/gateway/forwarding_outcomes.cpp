#include "gateway/forwarding.hpp"

#include <algorithm>

// What the end of an attempt means, and what follows it.

namespace galenapulley
{

namespace
{

/// Most attempts of one request, including those that an endpoint refused.
constexpr std::uint32_t max_total_attempts = 4;
/// Before the first event, an attempt fails as stalled after this time plus so
/// many target latencies of the route.
constexpr msec first_event_margin = 3500;
constexpr msec stall_targets = 2;
/// The same for a prefill that is expected to take long: a multiple of the
/// expected time to the first event.
constexpr double expected_event_factor = 1.6;
/// A started stream is continued at another endpoint after this time without
/// an event, or after a multiple of the route's target gap if that is longer.
constexpr msec min_stall_timeout = 1000;
constexpr msec stall_gaps = 3;

/// An attempt's time limit ends after the request's deadline, so that a passed
/// deadline is not taken for a stalled endpoint.
constexpr msec deadline_margin = 50;

} // namespace

attempt_outcome forwarding::outcome_of_status(int status)
{
    constexpr int first_server_error = 500;
    if (is_refusal_status(status))
        return attempt_outcome::unproven_refusal;
    return status >= first_server_error ? attempt_outcome::endpoint_error
                                        : attempt_outcome::completed;
}

bool forwarding::may_relay(attempt_outcome failure) const
{
    if (may_retry(failure))
        return false;
    // The client would repeat what may have run.
    return failure != attempt_outcome::unproven_refusal ||
           request_.matched_route->retryable();
}

attempt_outcome forwarding::outcome_of(connection_result result) const
{
    if (end_ == end_reason::client_gone)
        return attempt_outcome::client_gone;
    if (end_ != end_reason::none)
        return attempt_outcome::timed_out;
    if (result == connection_result::timed_out)
        return attempt_outcome::stalled;
    if (result == connection_result::invalid)
        return attempt_outcome::invalid_response;
    return head_sent_ ? attempt_outcome::broken_response
                      : attempt_outcome::broken_before_response;
}

msec forwarding::until_deadline() const
{
    return std::max(time_left(), 0_ms) + deadline_margin;
}

msec forwarding::read_timeout() const
{
    const auto left = until_deadline();
    if (!request_.matched_route->retryable() ||
        runs_ + 1 >= request_.matched_route->max_attempts)
        return left;
    if (events_sent_ > 0)
        return std::min(
            left, std::max(min_stall_timeout,
                           stall_gaps * request_.matched_route->gap_target));
    // A busy engine sends nothing either, and a retry would add to its load.
    const auto usual = std::min(
        left / 2, first_event_margin +
                      stall_targets * request_.matched_route->target_latency);
    const auto expected =
        static_cast<msec>(expected_event_factor * expected_first_token_ms_);
    return std::min(left, std::max(usual, expected));
}

bool forwarding::may_retry(attempt_outcome outcome) const
{
    const auto& matched_route = *request_.matched_route;
    const bool runs_left = runs_ < matched_route.max_attempts;
    if (end_ != end_reason::none || time_left() <= 0 ||
        attempts_ >= max_total_attempts)
        return false;
    switch (outcome)
    {
    case attempt_outcome::unreachable:
    case attempt_outcome::memory_refused:
    case attempt_outcome::paused:
    case attempt_outcome::handover_refused:
    case attempt_outcome::replaced:
        return !may_have_run_ || (matched_route.retryable() && runs_left);
    case attempt_outcome::not_run:
        // The client is told "not run" only once no attempt is left.
        return matched_route.max_attempts > 1 && runs_left;
    case attempt_outcome::endpoint_error:
    case attempt_outcome::unproven_refusal:
    case attempt_outcome::broken_before_response:
    case attempt_outcome::broken_response:
    case attempt_outcome::invalid_response:
    case attempt_outcome::oversized_response:
    case attempt_outcome::stalled:
        return matched_route.retryable() && runs_left;
    case attempt_outcome::completed:
    case attempt_outcome::timed_out:
    case attempt_outcome::client_gone:
        return false;
    }
    return false;
}

forwarding::next_action forwarding::action_after(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::completed || response_sent_)
        return next_action::finished;
    return may_retry(outcome) ? next_action::retry : next_action::fail;
}

} // namespace galenapulley
