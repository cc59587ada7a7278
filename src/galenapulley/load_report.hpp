#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>

namespace galenapulley
{

/// Load reported by an engine, as of `age` ago.
struct load_report
{
    std::int64_t incarnation = 0;
    bool cold = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t kv_used = 0;
    std::uint32_t kv_capacity = 0;
    /// Prompt tokens accepted and not yet processed.
    std::uint32_t prefill_backlog = 0;
    msec age = 0;
};

} // namespace galenapulley
