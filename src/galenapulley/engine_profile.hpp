#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>

namespace galenapulley
{

/// Cost model of a model engine's batches. An engine works in passes of steps:
/// a step prefills at most one chunk of a prompt and decodes one token of each
/// decoding request; a pass with decoding requests has a fixed number of steps.
struct engine_profile
{
    std::uint32_t slots = 1;
    std::uint32_t memory_tokens = 0;
    double step_ms = 1;
    /// Added to a step per decoding request.
    double decode_ms_per_request = 0;
    /// Added to a step per 1,000 context tokens of a decoding request.
    double context_ms_per_1k = 0;
    double prefill_tokens_per_ms = 100;
    /// Attention cost per million pairs of a prompt token and an earlier one.
    double attention_ms_per_million_pairs = 0;
    std::uint32_t chunk_tokens = 2048;
    std::uint32_t steps_per_pass = 1;
    /// Added to a step of a prompt whose KV cache several engines hold.
    double cross_engine_step_ms = 0;

    /// Prefill time of a whole prompt on one otherwise idle engine.
    double prefill_ms(double prompt_tokens) const;
    /// Length of a pass that decodes `decoding_requests` and prefills no
    /// prompt.
    double pass_ms(std::uint32_t decoding_requests,
                   double context_tokens) const;
    /// Decode time of an output, without prefills that interrupt it.
    double decode_ms(double output_tokens, std::uint32_t decoding_requests,
                     double context_tokens) const;
    /// Longest part of a prefill that a pass with decoding requests holds,
    /// given the prefill's time and tokens.
    double max_prefill_in_pass_ms(double prefill_ms,
                                  double prefill_tokens) const;
};

} // namespace galenapulley
