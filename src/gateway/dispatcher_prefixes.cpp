#include "gateway/dispatcher.hpp"

#include "galenapulley/prefixes/prefix_placement.hpp"
#include "gateway/work_message.hpp"
#include "peer.pb.h"

// Prompt prefixes that endpoints retain.

namespace galenapulley
{

namespace
{

/// Most prefixes in an announcement of all work, and most that are read of any
/// announcement.
constexpr std::size_t max_announced_prefixes = 64;
constexpr int max_reported_prefixes = 256;

/// Outcomes after which an endpoint may have lost what it retained.
bool loses_prefixes(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::not_run:
    case attempt_outcome::unproven_refusal:
    case attempt_outcome::memory_refused:
    case attempt_outcome::replaced:
    case attempt_outcome::unreachable:
    case attempt_outcome::broken_before_response:
    case attempt_outcome::broken_response:
    case attempt_outcome::invalid_response:
    case attempt_outcome::oversized_response:
    case attempt_outcome::stalled:
        return true;
    case attempt_outcome::completed:
    case attempt_outcome::endpoint_error:
    case attempt_outcome::paused:
    case attempt_outcome::handover_refused:
    case attempt_outcome::timed_out:
    case attempt_outcome::client_gone:
        return false;
    }
    return true;
}

} // namespace

std::optional<placement_choice> dispatcher::place_on_engines(
    const dispatch_request& item, const engine_profile& engine,
    const placement_request& request, const candidate_list& list) const
{
    if (!prefixes_.has_holders() || item.shared_parts.empty())
        return place_prompt(engine, request, list.load);
    const auto now = clock_.now();
    const auto prefixes = prefixes_of(item.shared_parts);
    auto candidates = list.load;
    for (std::size_t n = 0; n < candidates.size(); ++n)
        candidates[n].retained_tokens =
            prefixes_.retained_tokens(list.endpoints[n]->key, prefixes, now);
    return place_prompt_by_prefix(engine, request, candidates);
}

void dispatcher::set_prefix_holders()
{
    std::vector<prefix_holder> holders;
    for (const auto& [id, it] : registry_.all())
        if (it.description.retention)
            holders.push_back({.endpoint = it.key,
                               .retention = *it.description.retention,
                               .weights = it.description.weights});
    prefixes_.set_holders(holders);
}

void dispatcher::record_prefixes(std::uint64_t id, const running_request& work,
                                 const attempt_result& result)
{
    if (!prefixes_.has_holders())
        return;
    const auto now = clock_.now();
    if (loses_prefixes(result.outcome))
    {
        prefixes_.forget(failed_endpoint(work, result), now);
        return;
    }
    const auto* const placed = load_.find(id);
    // Without events the response may be an error of the endpoint's, and with
    // reserved memory no endpoint holds the whole prompt.
    if (result.outcome != attempt_outcome::completed || !result.began() ||
        placed == nullptr || !placed->reserved_tokens.empty())
        return;
    wire::work_update update;
    for (const auto& it :
         prefixes_.on_served(work.primary, prefixes_of(work.shared_parts), now))
        write_prefix(it, now, *update.add_prefixes());
    if (update.prefixes_size() > 0)
        announce(std::move(update));
}

void dispatcher::record_peer_prefixes(const wire::work_update& message)
{
    const auto now = clock_.now();
    const auto n = std::min(message.prefixes_size(), max_reported_prefixes);
    for (int k = 0; k < n; ++k)
        prefixes_.on_report(read_prefix(message.prefixes(k), now), now);
}

void dispatcher::write_prefixes(wire::work_update& update) const
{
    const auto now = clock_.now();
    for (const auto& it : prefixes_.own(max_announced_prefixes, now))
        write_prefix(it, now, *update.add_prefixes());
}

} // namespace galenapulley
