#include "galenapulley/admission/admission_control.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

/// Clients return within this share of the time that they are told.
constexpr double return_spread_share = 0.25;
/// A shorter Retry-After costs more attempts than it saves time.
constexpr double min_return_ms = 100;

} // namespace

std::optional<msec>
admission_control::retry_after(const admission_question& item)
{
    const bool may_be_placed_soon =
        item.forecast.has_free_slot && !item.others_wait;
    // The doubt counts in favour of the request.
    const double earliest_ms =
        item.forecast.expected_ms - item.forecast.error_ms;
    if (!item.forecast.is_known || may_be_placed_soon ||
        item.waited_ms + earliest_ms <= item.useful_ms)
        return std::nullopt;
    return return_time(item.forecast, item.jitter);
}

msec admission_control::return_time(const first_token_forecast& forecast,
                                    double jitter)
{
    return static_cast<msec>(std::max(min_return_ms, forecast.wait_ms) *
                             (1 + return_spread_share * jitter));
}

void admission_control::on_refused(std::uint64_t fingerprint, msec deadline,
                                   msec now)
{
    forget(fingerprint);
    while (!deadlines_.empty() && (deadlines_.begin()->first <= now ||
                                   deadlines_.size() >= max_refused))
        forget(deadlines_.begin()->second);
    if (deadline <= now)
        return;
    refused_.emplace(fingerprint, deadline);
    deadlines_.emplace(deadline, fingerprint);
}

bool admission_control::take_returning(std::uint64_t fingerprint, msec now)
{
    const auto it = refused_.find(fingerprint);
    if (it == refused_.end())
        return false;
    const bool in_time = now < it->second;
    forget(fingerprint);
    return in_time;
}

void admission_control::forget(std::uint64_t fingerprint)
{
    const auto it = refused_.find(fingerprint);
    if (it == refused_.end())
        return;
    deadlines_.erase({it->second, fingerprint});
    refused_.erase(it);
}

} // namespace galenapulley
