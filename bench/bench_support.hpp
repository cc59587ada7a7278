#pragma once

#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <ctime>

namespace galenapulley::bench
{

/// Processor time of the calling thread, in microseconds.
inline double thread_cpu_us()
{
    timespec it{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
}

/// Processor time of all threads of the process, in microseconds.
inline double process_cpu_us()
{
    timespec it{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
}

/// Bytes of the heap that are in use, large mapped blocks included.
inline std::int64_t heap_bytes()
{
    const auto it = ::mallinfo2();
    return static_cast<std::int64_t>(it.uordblks + it.hblkhd);
}

} // namespace galenapulley::bench
