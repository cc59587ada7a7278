#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>

namespace galenapulley
{

/// Constants of a model engine's batches. An engine works in passes: one step
/// reads at most a chunk of a prompt and lets each writing request produce a
/// token; a pass with writers has a fixed number of steps.
struct engine_profile
{
    std::uint32_t slots = 1;
    std::uint32_t memory_tokens = 0;
    double step_ms = 1;
    /// Added to a step per writing request.
    double writer_ms = 0;
    /// Added to a step per 1,000 tokens of context of a writing request.
    double context_ms_per_1k = 0;
    double read_tokens_per_ms = 100;
    /// Per million pairs of a token and an earlier one.
    double pairs_ms_per_million = 0;
    std::uint32_t chunk_tokens = 2048;
    std::uint32_t steps_per_pass = 1;
    /// Added to a step of a prompt that several engines hold.
    double hop_ms = 0;

    /// Time to read a whole prompt on one engine that does nothing else.
    double read_ms(double prompt_tokens) const;
    /// Length of a pass in which `writers` requests write and no prompt is
    /// read.
    double pass_ms(std::uint32_t writers, double context_tokens) const;
    /// Time to write so many tokens, prompts of others not counted.
    double write_ms(double output_tokens, std::uint32_t writers,
                    double context_tokens) const;
    /// Longest part of a read that one pass with writers holds, given the
    /// read's time and tokens.
    double longest_read_in_pass_ms(double read_ms, double read_tokens) const;
};

} // namespace galenapulley
