#pragma once

#include "galenapulley/engine_profile.hpp"
#include "galenapulley/fleet_load.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace galenapulley
{

struct placement_request
{
    double prompt_tokens = 0;
    double output_tokens = 0;
    /// Time to the first event that its client accepts.
    double target_ms = 0;
    /// Longest pause between events that its client accepts.
    double gap_ms = 0;
    /// Time already spent since the client sent the request.
    double waited_ms = 0;
    /// Time from the request until its client gives up.
    double limit_ms = 0;
    /// Worth of a timely answer.
    double value = 1;
    /// Endpoints that may read parts of the prompt, the first one included.
    std::size_t max_parts = 1;
    /// The prompt's memory may be set aside at several endpoints.
    bool may_share_memory = false;
};

/// An endpoint that may take the request.
struct placement_candidate
{
    endpoint_load load{};
    std::uint32_t slots = 1;
    bool same_domain = false;
    /// From 0 to 1, of its own for each request and endpoint: nodes that
    /// choose at the same moment don't all choose alike.
    double chance = 0;
};

struct placement_choice
{
    /// Positions of the chosen candidates; the first one runs the request.
    std::vector<std::size_t> chosen{};
    /// Tokens that each of them holds; empty if the first one holds all.
    std::vector<double> held_tokens{};
    /// Time that each of them reads.
    double part_ms = 0;
    /// Expected time to the first event.
    double first_event_ms = 0;
    /// Expected loss of worth, of this request and of the ones it disturbs.
    double loss = 0;
    /// The part of it that others lose.
    double others_loss = 0;
};

/// Chooses the engines for a prompt. It answers a load in which bursts of
/// prompts that take seconds to read alternate with bursts of short ones that
/// must not pause: a long read is split so far that it is in time, over
/// engines on which it delays few writers, and short prompts are packed on few
/// engines, which leaves the others to the long reads. A prompt above one
/// engine's memory is shared evenly by those that read it. Empty if no
/// candidate has a free slot and enough memory, or if a long read would cost
/// others more than it gains and should wait.
std::optional<placement_choice>
place_prompt(const engine_profile& engine, const placement_request& request,
             std::span<const placement_candidate> candidates);

/// Most tokens of one request that `endpoints` empty engines hold together.
double shared_memory_tokens(const engine_profile& engine,
                            std::size_t endpoints);

/// Chooses an endpoint of a service that runs no model: the one with the
/// largest free part of its slots, the own failure domain first. Empty if all
/// slots are taken.
std::optional<placement_choice>
place_plain(std::span<const placement_candidate> candidates);

} // namespace galenapulley
