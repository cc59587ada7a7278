#include "galenapulley/engine_profile.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

constexpr double million = 1e6;
constexpr double thousand = 1e3;

} // namespace

double engine_profile::prefill_ms(double prompt_tokens) const
{
    const double attention_pairs = prompt_tokens * prompt_tokens / 2;
    const double steps = prompt_tokens / chunk_tokens;
    return prompt_tokens / prefill_tokens_per_ms +
           attention_ms_per_million_pairs * attention_pairs / million +
           steps * step_ms;
}

double engine_profile::pass_ms(std::uint32_t decoding_requests,
                               double context_tokens) const
{
    const double step = step_ms + decode_ms_per_request * decoding_requests +
                        context_ms_per_1k * context_tokens / thousand;
    return step * steps_per_pass;
}

double engine_profile::decode_ms(double output_tokens,
                                 std::uint32_t decoding_requests,
                                 double context_tokens) const
{
    return output_tokens * pass_ms(decoding_requests, context_tokens) /
           steps_per_pass;
}

double engine_profile::max_prefill_in_pass_ms(double prefill_ms,
                                              double prefill_tokens) const
{
    const double max_tokens =
        static_cast<double>(chunk_tokens) * steps_per_pass;
    return prefill_tokens <= max_tokens
               ? prefill_ms
               : prefill_ms * max_tokens / prefill_tokens;
}

} // namespace galenapulley
