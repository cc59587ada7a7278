#pragma once

#include "galenapulley/clock.hpp"

#include <algorithm>

namespace galenapulley::standins
{

/// Token bucket. The burst is what the rate allows in 200 ms, at least 1.
class rate_limit
{
public:
    explicit rate_limit(double per_second)
        : per_second_(per_second)
        , burst_(std::max(1.0, per_second / 5))
        , available_(burst_)
    {
    }

    bool try_acquire(msec now)
    {
        const auto elapsed = static_cast<double>(now - last_);
        available_ =
            std::min(burst_, available_ + elapsed * per_second_ / 1000);
        last_ = now;
        if (available_ < 1)
            return false;
        available_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double available_;
    msec last_ = 0;
};

} // namespace galenapulley::standins
