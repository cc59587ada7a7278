#include "galenapulley/prefixes/prefix_placement.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

/// Whether the first token is expected sooner and less value is lost to delays.
bool is_better(const placement_choice& it, const placement_choice& other)
{
    return it.first_token_ms < other.first_token_ms &&
           it.delay_cost <= other.delay_cost;
}

} // namespace

std::optional<placement_choice>
place_prompt_by_prefix(const engine_profile& engine,
                       const placement_request& request,
                       std::span<const placement_candidate> candidates)
{
    auto found = place_prompt(engine, request, candidates);
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        auto rest = request;
        rest.retained_tokens =
            std::min(candidates[n].retained_tokens, request.prompt_tokens);
        if (!(rest.retained_tokens > 0))
            continue;
        auto whole = place_prompt(engine, rest, candidates.subspan(n, 1));
        if (!whole || (found && !is_better(*whole, *found)))
            continue;
        whole->chosen = {n};
        whole->retained_tokens = rest.retained_tokens;
        found = std::move(whole);
    }
    return found;
}

} // namespace galenapulley
