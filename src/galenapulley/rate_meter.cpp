#include "galenapulley/rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace galenapulley
{

double rate_meter::average::value(msec now, msec time_constant) const
{
    const auto age = static_cast<double>(std::max(now - at, 0_ms));
    return per_second * std::exp(-age / static_cast<double>(time_constant));
}

void rate_meter::average::add(msec now, msec time_constant)
{
    constexpr double ms_per_second = 1000;
    per_second = value(now, time_constant) +
                 ms_per_second / static_cast<double>(time_constant);
    at = now;
}

void rate_meter::on_request(msec now)
{
    fast_.add(now, rise_time);
    slow_.add(now, fall_time);
}

double rate_meter::value(msec now) const
{
    return std::max(fast_.value(now, rise_time), slow_.value(now, fall_time));
}

} // namespace galenapulley
