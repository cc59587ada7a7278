#include "galenapulley/request_memory.hpp"

#include <malloc.h>

#include <algorithm>

namespace galenapulley
{

namespace
{

/// Memory of a process that serves nothing but knows a large fleet.
constexpr std::size_t process_bytes = std::size_t{24} << 20;
/// Under a limit too low for that, requests may still use one part in this
/// many.
constexpr std::size_t least_divisor = 3;

/// Blocks from this size on are mapped one by one. A fixed size keeps glibc
/// from raising it to that of the largest block freed.
constexpr int mapped_block_bytes = 128 * 1024;

} // namespace

std::size_t request_memory(std::uint64_t memory_mb)
{
    const auto limit = static_cast<std::size_t>(memory_mb << 20);
    const auto least = limit / least_divisor;
    return limit > process_bytes ? std::max(limit - process_bytes, least)
                                 : least;
}

void return_freed_memory()
{
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
}

} // namespace galenapulley
