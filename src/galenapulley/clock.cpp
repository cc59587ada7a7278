#include "galenapulley/clock.hpp"

#include <chrono>
#include <ctime>

namespace galenapulley
{

msec boot_time_clock::now() const
{
    // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME counts the time for which a VM was
    // suspended.
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return static_cast<msec>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
}

msec wall_time()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

} // namespace galenapulley
