#pragma once

#include "galenapulley/prompt_placement.hpp"

#include <optional>
#include <span>

namespace galenapulley
{

/// Like place_prompt(), but sends the whole prompt to an endpoint that retains
/// a prefix of it (placement_candidate::retained_tokens) if the first token is
/// expected sooner there and the value lost to delays is no higher, or if
/// place_prompt() finds no endpoint. If no candidate retains anything, the
/// choice is that of place_prompt().
std::optional<placement_choice>
place_prompt_by_prefix(const engine_profile& engine,
                       const placement_request& request,
                       std::span<const placement_candidate> candidates);

} // namespace galenapulley
