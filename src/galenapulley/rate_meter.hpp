#pragma once

#include "galenapulley/clock.hpp"

namespace galenapulley
{

/// Smoothed rate of a node's requests. Follows a rise within seconds and
/// forgets it more slowly, so that capacity added for a burst is kept over the
/// pauses between bursts.
class rate_meter
{
public:
    void on_request(msec now);
    /// Requests per second.
    double value(msec now) const;

    /// Time constants of the two averages; the larger average counts.
    static constexpr msec rise_time = 2'000_ms;
    static constexpr msec fall_time = 15'000_ms;

private:
    struct average
    {
        double per_second = 0;
        msec at = 0;

        double value(msec now, msec time_constant) const;
        void add(msec now, msec time_constant);
    };

    average fast_;
    average slow_;
};

} // namespace galenapulley
