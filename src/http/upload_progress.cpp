#include "http/upload_progress.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

/// A body that arrives at one part in this many of the rate that it needs, or
/// slower, is stalled.
constexpr std::uint64_t slow_divisor = 4;

} // namespace

bool upload_progress::is_stalled(std::uint64_t received, msec now)
{
    const auto elapsed = now - window_begin_;
    if (elapsed < window || time_limit_ <= 0)
        return stalled_;
    const auto needed = std::max(length_, received) *
                        static_cast<std::uint64_t>(elapsed) /
                        static_cast<std::uint64_t>(time_limit_);
    stalled_ = received - received_ <= needed / slow_divisor;
    window_begin_ = now;
    received_ = received;
    return stalled_;
}

} // namespace galenapulley
