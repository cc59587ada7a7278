#pragma once

#include <cstdint>

namespace galenapulley
{

/// A part of a prompt that other prompts may share.
struct prompt_part
{
    std::uint64_t id = 0;
    /// Number of parts before it.
    std::uint32_t position = 0;
    /// 0 if unknown.
    std::uint32_t tokens = 0;
};

} // namespace galenapulley
