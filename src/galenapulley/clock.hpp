#pragma once

#include <cstdint>

namespace galenapulley
{

/// Durations and times in milliseconds. Times count from an arbitrary start.
using msec = std::int64_t;

constexpr msec operator""_ms(unsigned long long n)
{
    return static_cast<msec>(n);
}

constexpr msec operator""_sec(unsigned long long n)
{
    return static_cast<msec>(n) * 1000;
}

/// Source of the current time.
class clock
{
public:
    virtual ~clock() = default;

    virtual msec now() const = 0;
};

/// The machine's monotonic clock. It advances while the process is stopped and
/// while the machine is suspended.
class boot_time_clock final : public clock
{
public:
    msec now() const override;
};

/// A clock that tests advance explicitly.
class manual_clock final : public clock
{
public:
    explicit manual_clock(msec start = 0) : now_(start) {}

    msec now() const override { return now_; }
    void advance(msec n) { now_ += n; }

private:
    msec now_;
};

/// Milliseconds since the Unix epoch, for incarnation numbers only.
msec wall_time();

} // namespace galenapulley
