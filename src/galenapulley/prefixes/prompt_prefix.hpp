#pragma once

#include "galenapulley/prompt_part.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace galenapulley
{

/// The beginning of a prompt, up to the end of one of its parts.
struct prompt_prefix
{
    /// Chained hash of the ids of its parts, from the first one on.
    std::uint64_t hash = 0;
    /// Tokens of all its parts.
    double tokens = 0;
    /// Tokens of its last part, by which it is longer than the next shorter
    /// prefix.
    double added_tokens = 0;
};

/// The prefixes of a prompt, the shortest one first, up to the first part whose
/// number of tokens is unknown.
std::vector<prompt_prefix> prefixes_of(std::span<const prompt_part> parts);

} // namespace galenapulley
