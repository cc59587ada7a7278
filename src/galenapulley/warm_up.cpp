#include "galenapulley/warm_up.hpp"

#include "galenapulley/load_report.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

constexpr msec step_time = 2_sec;
constexpr double cold_factor = 4;
/// Part of the time to first token that does not depend on the prompt's length.
/// Keeps network delays of short prompts from indicating a cold back end.
constexpr msec first_token_base = 100_ms;
/// Prefill rate assumed until there is a sample: 4,000 tokens per second.
constexpr double initial_ms_per_token = 0.25;
constexpr std::uint32_t min_samples = 8;
constexpr double sample_weight = 1.0 / 16;
/// Lower for slow samples, so that a cold back end does not become the
/// reference; a back end that stays slow is accepted after some 30 of them.
constexpr double slow_sample_weight = 1.0 / 64;

} // namespace

warm_up::warm_up(limits bounds, msec now)
    : bounds_(bounds)
    , since_(now)
    , may_advance_(!bounds.reports)
    , ms_per_token_(initial_ms_per_token)
{
}

void warm_up::set_limits(limits bounds)
{
    bounds_ = bounds;
    may_advance_ = may_advance_ || !bounds.reports;
}

std::uint32_t warm_up::steps(msec now) const
{
    if (!may_advance_ || now <= since_)
        return 0;
    return static_cast<std::uint32_t>(
        std::min<msec>((now - since_) / step_time, 31));
}

std::uint32_t warm_up::limit(msec now) const
{
    const auto start = std::uint64_t{std::max(1U, bounds_.cold_slots)};
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(bounds_.slots, start << steps(now)));
}

bool warm_up::is_warm(msec now) const
{
    return may_advance_ && limit(now) == bounds_.slots;
}

void warm_up::restart(msec now)
{
    since_ = now;
    ++restarts_;
}

void warm_up::on_report(const load_report& report, msec now)
{
    const bool replaced = reported_ && report.incarnation != incarnation_;
    reported_ = true;
    incarnation_ = report.incarnation;
    if (replaced || (report.cold && may_advance_))
        restart(now);
    if (!report.cold && !may_advance_)
        since_ = now;
    may_advance_ = !report.cold;
}

void warm_up::on_connection_failure(msec now)
{
    restart(now);
    may_advance_ = !bounds_.reports;
}

void warm_up::on_readmitted(msec now)
{
    on_connection_failure(now);
}

void warm_up::on_error(msec now)
{
    if (!is_warm(now))
        since_ = now - msec{steps(now)} * step_time;
}

bool warm_up::is_slow(std::uint64_t tokens, msec took) const
{
    return knows_rate() &&
           static_cast<double>(took) >=
               cold_factor * static_cast<double>(expected_first_token(tokens));
}

bool warm_up::on_first_token(std::uint64_t tokens, msec took, msec now)
{
    if (tokens == 0 || took <= 0)
        return false;
    const auto per_token =
        static_cast<double>(std::max<msec>(0, took - first_token_base)) /
        static_cast<double>(tokens);
    if (is_slow(tokens, took))
    {
        const auto rate = std::min(per_token, cold_factor * ms_per_token_);
        prefill_ms_ +=
            (rate - ms_per_token_) * slow_sample_weight * prefill_tokens_;
        ms_per_token_ = prefill_ms_ / prefill_tokens_;
        restart(now);
        return true;
    }
    ++samples_;
    // The ratio of sums weights samples by prompt length. An average over
    // requests would be near 0, as first_token_base covers the whole time of
    // most short prompts.
    if (samples_ > 1.0 / sample_weight)
    {
        prefill_ms_ *= 1 - sample_weight;
        prefill_tokens_ *= 1 - sample_weight;
    }
    prefill_ms_ += per_token * static_cast<double>(tokens);
    prefill_tokens_ += static_cast<double>(tokens);
    ms_per_token_ = prefill_ms_ / prefill_tokens_;
    return false;
}

bool warm_up::knows_rate() const
{
    return samples_ >= min_samples;
}

msec warm_up::expected_first_token(std::uint64_t tokens) const
{
    return first_token_base +
           static_cast<msec>(ms_per_token_ * static_cast<double>(tokens));
}

} // namespace galenapulley
