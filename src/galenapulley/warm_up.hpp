#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>

namespace galenapulley
{

struct load_report;

/// Concurrency limit of one back end, which doubles step by step from its cold
/// to its warm slots. Also detects that the back end has become cold.
class warm_up
{
public:
    struct limits
    {
        std::uint32_t slots = 1;
        std::uint32_t cold_slots = 1;
        /// Whether the back end sends load reports; a plain server sends none.
        bool reports = true;
    };

    /// A new back end is cold.
    warm_up(limits bounds, msec now);

    /// Applies changed limits without restarting the ramp.
    void set_limits(limits bounds);

    /// Requests that the back end may run at once.
    std::uint32_t limit(msec now) const;
    bool is_warm(msec now) const;

    /// Restarts the ramp when the report says cold or has a new incarnation.
    void on_report(const load_report& report, msec now);
    /// A connection failed or was lost.
    void on_connection_failure(msec now);
    /// New work is admitted again after a withdrawal. The last report may be
    /// older than the loss of the back end's state, so the ramp restarts.
    void on_readmitted(msec now);
    /// A request failed: the current step is repeated.
    void on_error(msec now);
    /// Records a time to first token. `tokens` counts the prompt and the
    /// prefill work queued before it. Returns true if the time shows a cold
    /// back end.
    bool on_first_token(std::uint64_t tokens, msec took, msec now);
    /// Whether on_first_token() would take the time as a sign of a cold engine.
    bool is_slow(std::uint64_t tokens, msec took) const;

    /// Expected time to the first token behind `tokens` of prefill work.
    msec expected_first_token(std::uint64_t tokens) const;
    /// Whether there are enough samples to predict times.
    bool knows_rate() const;
    double ms_per_token() const { return ms_per_token_; }
    /// Start of the current ramp.
    msec since() const { return since_; }
    /// Number of restarts of the ramp.
    std::uint32_t restarts() const { return restarts_; }

private:
    void restart(msec now);
    std::uint32_t steps(msec now) const;

    limits bounds_;
    /// Start of the ramp; moved forward by errors.
    msec since_;
    /// Whether the ramp may advance.
    bool may_advance_;
    bool reported_ = false;
    std::int64_t incarnation_ = 0;
    double ms_per_token_;
    /// Exponentially decaying sums of prefill time and prefill tokens.
    double prefill_ms_ = 0;
    double prefill_tokens_ = 0;
    std::uint32_t samples_ = 0;
    std::uint32_t restarts_ = 0;
};

} // namespace galenapulley
