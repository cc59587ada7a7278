#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>

namespace galenapulley
{

/// Tells whether a body arrives too slowly to be complete in time. Such a body
/// need not be kept while others are refused for lack of memory.
class upload_progress
{
public:
    /// Shorter pauses are no sign of a stalled client.
    static constexpr msec window = 1000;

    upload_progress() = default;
    /// `length`: the body's length, 0 if it is not known; `time_limit`: the
    /// time in which it has to arrive.
    upload_progress(std::uint64_t length, msec time_limit, msec now)
        : length_(length), time_limit_(time_limit), window_begin_(now)
    {
    }

    /// Whether the bytes received in the last complete window were too few.
    bool is_stalled(std::uint64_t received, msec now);

private:
    std::uint64_t length_ = 0;
    msec time_limit_ = 0;
    msec window_begin_ = 0;
    /// Bytes that had arrived when the window began.
    std::uint64_t received_ = 0;
    bool stalled_ = false;
};

} // namespace galenapulley
