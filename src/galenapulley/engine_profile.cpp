#include "galenapulley/engine_profile.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

constexpr double million = 1e6;
constexpr double thousand = 1e3;

} // namespace

double engine_profile::read_ms(double prompt_tokens) const
{
    const double pairs = prompt_tokens * prompt_tokens / 2;
    const double steps = prompt_tokens / chunk_tokens;
    return prompt_tokens / read_tokens_per_ms +
           pairs_ms_per_million * pairs / million + steps * step_ms;
}

double engine_profile::pass_ms(std::uint32_t writers,
                               double context_tokens) const
{
    const double step = step_ms + writer_ms * writers +
                        context_ms_per_1k * context_tokens / thousand;
    return step * steps_per_pass;
}

double engine_profile::write_ms(double output_tokens, std::uint32_t writers,
                                double context_tokens) const
{
    return output_tokens * pass_ms(writers, context_tokens) / steps_per_pass;
}

double engine_profile::longest_read_in_pass_ms(double read_ms,
                                               double read_tokens) const
{
    const double most = static_cast<double>(chunk_tokens) * steps_per_pass;
    return read_tokens <= most ? read_ms : read_ms * most / read_tokens;
}

} // namespace galenapulley
