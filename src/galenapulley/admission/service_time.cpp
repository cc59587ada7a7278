#include "galenapulley/admission/service_time.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

/// The prefill begins with the next pass, so the first token comes with the
/// pass after half of the current one.
constexpr double passes_to_first_token = 1.5;
/// Part of the memory that the contexts of a busy engine's requests take.
constexpr double busy_memory_share = 0.5;

} // namespace

double busy_first_token_ms(const engine_profile& engine, double prompt_tokens,
                           std::size_t segments)
{
    const double prefill =
        engine.prefill_ms(prompt_tokens) /
        static_cast<double>(std::max<std::size_t>(1, segments));
    const double pass =
        engine.pass_ms(engine.slots, busy_memory_share * engine.memory_tokens);
    return prefill + passes_to_first_token * pass;
}

} // namespace galenapulley
