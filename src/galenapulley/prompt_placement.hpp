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
    /// Tokens at the start of the prompt that are in memory already, so that
    /// only the others are prefilled.
    double retained_tokens = 0;
    double output_tokens = 0;
    /// Longest time to first token that its client accepts.
    double first_token_target_ms = 0;
    /// Longest token gap that its client accepts.
    double token_gap_ms = 0;
    /// Time that has passed since the client sent the request.
    double waited_ms = 0;
    /// Time from the request to its deadline.
    double deadline_ms = 0;
    /// Value of a timely response.
    double value = 1;
    /// Endpoints that may prefill segments of the prompt, the primary one
    /// included.
    std::size_t max_segments = 1;
    /// Whether the prompt's KV cache may be reserved at several endpoints.
    bool may_distribute_kv = false;
};

/// An endpoint that may take the request.
struct placement_candidate
{
    endpoint_load load{};
    std::uint32_t slots = 1;
    bool same_domain = false;
    /// Whether it may get the request, or only prefill a segment for another
    /// endpoint.
    bool may_be_primary = true;
    /// Random number from 0 to 1 for each pair of request and endpoint, so
    /// that nodes that place requests at the same time choose different ones.
    double jitter = 0;
    /// Factor for its expected times; above 1 for an endpoint that has been
    /// slower than others of its service.
    double slowdown = 1;
    /// Tokens at the start of the prompt that it retains in memory; used by
    /// place_prompt_by_prefix() only.
    double retained_tokens = 0;
};

struct placement_choice
{
    /// Indices of the chosen candidates; the first one is the primary endpoint.
    std::vector<std::size_t> chosen{};
    /// KV cache tokens to reserve at each of them; empty if the primary
    /// endpoint holds all.
    std::vector<double> reserved_tokens{};
    /// Prefill time of each segment.
    double segment_ms = 0;
    /// Expected time to first token.
    double first_token_ms = 0;
    /// Expected loss of value, of this request and of the ones it delays.
    double cost = 0;
    /// The part of the cost that falls on other requests.
    double cost_to_others = 0;
    /// Expected loss of value by delays and by slots taken that are the last
    /// ones, without the gain of packing.
    double delay_cost = 0;
    /// Tokens that the primary endpoint doesn't have to prefill.
    double retained_tokens = 0;
};

/// Chooses the engines for a prompt. Meant for loads in which bursts of prompts
/// with seconds of prefill alternate with bursts of short prompts whose
/// decoding must not stall. A long prefill is split into as many segments as it
/// needs to be in time, on engines where it delays few decoding requests; short
/// prompts are packed on few engines, which leaves the others to long prefills.
/// A prompt that exceeds one engine's memory is distributed evenly over those
/// that prefill it. Returns nothing if no candidate has a free slot and enough
/// memory, or if a long prefill would cost others more than it gains, so that
/// it should wait.
std::optional<placement_choice>
place_prompt(const engine_profile& engine, const placement_request& request,
             std::span<const placement_candidate> candidates);

/// Largest request, in tokens, that `endpoints` idle engines can hold together.
double distributed_kv_capacity(const engine_profile& engine,
                               std::size_t endpoints);

/// Chooses an endpoint of a service without a model: the one with the largest
/// share of free slots, preferring the same failure domain. Returns nothing if
/// all slots are taken.
std::optional<placement_choice>
place_plain(std::span<const placement_candidate> candidates);

} // namespace galenapulley
