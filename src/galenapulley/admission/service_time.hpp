#pragma once

#include "galenapulley/engine_profile.hpp"

#include <cstddef>

namespace galenapulley
{

/// Usual time from the placement of a prompt on busy engines to its first
/// token. A waiting request with less time left is late however it is placed;
/// ordered by the time that idle engines need, a backlog keeps engines busy
/// with requests that miss their targets by little.
double busy_first_token_ms(const engine_profile& engine, double prompt_tokens,
                           std::size_t segments);

} // namespace galenapulley
