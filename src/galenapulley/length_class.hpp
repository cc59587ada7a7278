#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <string>

namespace galenapulley
{

/// A range of prompt lengths that shares limits and a deadline.
struct length_class
{
    std::string name;
    /// Longest prompt of the class, in tokens.
    std::uint32_t up_to_tokens = 0;
    /// Time from admission to the end of the response.
    msec deadline = 0;
    /// Share of each back end's slots that is unavailable to longer classes.
    std::uint32_t reserved_percent = 0;
};

} // namespace galenapulley
