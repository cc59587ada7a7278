// Limits and placement of shard_scheduler.
#include "galenapulley/shard_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace galenapulley
{

namespace
{

/// Classes of prompts above this length are treated as long.
constexpr std::uint32_t long_prompt_tokens = 32'000;
/// Share of prefill work assumed for long prompts until there is any work.
constexpr double initial_long_share = 0.25;
constexpr std::uint32_t no_kv_limit = 0xFFFFFFFF;

} // namespace

std::uint32_t shard_scheduler::kv_need(const permit_query& query) const
{
    return service_.kind == service_kind::plain
               ? 0
               : query.prompt_tokens + query.output_tokens;
}

bool shard_scheduler::is_usable(const back_end_load& load) const
{
    return load.listed && load.admitted && !load.is_unreachable(now_);
}

bool shard_scheduler::is_usable_for(const permit_query& query,
                                    const back_end_load& load) const
{
    return is_usable(load) && allowance(load.ramp().limit(now_)) > 0 &&
           std::find(query.excluded.begin(), query.excluded.end(),
                     load.target().name) == query.excluded.end();
}

bool shard_scheduler::is_long(std::size_t length_class) const
{
    return length_class > 0 &&
           service_.classes[length_class - 1].up_to_tokens >=
               long_prompt_tokens;
}

bool shard_scheduler::is_short(const permit_query& query) const
{
    return placement_->uses_classes()
               ? query.length_class == 0
               : query.prompt_tokens <= service_.classes.front().up_to_tokens;
}

std::size_t shard_scheduler::effective_class(std::uint32_t prompt_tokens,
                                             bool is_segmented) const
{
    if (placement_->uses_classes())
        return service_.class_for(prompt_tokens);
    // Segmented prompts have a queue of their own, because one that waits for
    // memory would block every other request.
    return is_segmented ? classes_.size() - 1 : 0;
}

std::uint32_t shard_scheduler::slots_left(const back_end_load& load,
                                          std::size_t length_class) const
{
    const auto limit = allowance(load.ramp().limit(now_));
    auto left = limit - std::min(limit, load.running());
    std::uint32_t reserved_percent = 0;
    for (std::size_t n = 1; n <= length_class; ++n)
    {
        reserved_percent += service_.classes[n - 1].reserved_percent;
        const auto reserved = static_cast<std::uint32_t>(
            std::uint64_t{limit} * std::min(reserved_percent, 100U) / 100);
        auto share = limit - reserved;
        if (n == length_class && share > 1 && is_yielding(n))
            share /= 2;
        left = std::min(left, share - std::min(share, load.permits_from(n)));
    }
    return left;
}

std::uint32_t shard_scheduler::kv_limit(const back_end_load& load) const
{
    return load.target().kv_tokens == 0 ? no_kv_limit
                                        : allowance(load.kv_tokens());
}

std::uint32_t shard_scheduler::kv_free(const back_end_load& load) const
{
    const auto limit = kv_limit(load);
    return limit == no_kv_limit ? limit
                                : limit - std::min(limit, load.kv_booked());
}

bool shard_scheduler::is_possible(const permit_query& query) const
{
    const auto need = std::uint64_t{kv_need(query)};
    std::uint64_t sum = 0;
    bool any = false;
    for (const auto& it : loads_)
    {
        if (!is_usable_for(query, it))
            continue;
        any = true;
        sum += kv_limit(it);
    }
    return any && sum >= need;
}

bool shard_scheduler::needs_segments(const permit_query& query) const
{
    const auto need = kv_need(query);
    return std::none_of(loads_.begin(), loads_.end(),
                        [&](const back_end_load& it) {
                            return is_usable_for(query, it) &&
                                   kv_limit(it) >= need;
                        });
}

std::uint32_t shard_scheduler::free_slots(std::size_t length_class) const
{
    if (length_class >= classes_.size() || now_ < grants_from_)
        return 0;
    std::uint32_t sum = 0;
    for (const auto& it : loads_)
    {
        if (is_usable(it))
            sum += slots_left(it, length_class);
    }
    return sum;
}

bool shard_scheduler::place(const permit_query& query,
                            std::vector<booked_share>& shares)
{
    return needs_segments(query) ? place_segments(query, shares)
                                 : place_whole(query, shares);
}

back_end_candidate
shard_scheduler::candidate_for(const permit_query& query,
                               const back_end_load& load) const
{
    back_end_candidate it;
    it.eligible = is_usable_for(query, load) &&
                  !(load.reserved && !is_short(query)) &&
                  slots_left(load, query.length_class) > 0 &&
                  kv_free(load) >= kv_need(query);
    if (!it.eligible)
        return it;
    it.running = load.running();
    it.prefill_tokens = load.prefill_tokens(now_);
    it.cached_tokens = cached_tokens(query, load);
    it.takes_long = load.takes_long;
    it.long_prefill = load.has_long_prefill(now_);
    return it;
}

bool shard_scheduler::place_whole(const permit_query& query,
                                  std::vector<booked_share>& shares)
{
    const bool confined =
        is_long(query.length_class) && placement_->confines_long();
    // If no back end for long prompts could ever run this one, it may go to any
    // other.
    const bool has_own =
        !confined || std::any_of(loads_.begin(), loads_.end(),
                                 [&](const back_end_load& it)
                                 {
                                     return it.takes_long &&
                                            is_usable_for(query, it) &&
                                            kv_limit(it) >= kv_need(query);
                                 });
    candidates_.clear();
    for (const auto& it : loads_)
    {
        candidates_.push_back(candidate_for(query, it));
        if (!has_own)
            candidates_.back().takes_long = true;
    }
    const auto n = placement_->choose(candidates_, confined, random_);
    if (n == placement::none)
        return false;
    shares.push_back({.index = n, .tokens = kv_need(query)});
    return true;
}

std::size_t shard_scheduler::segments_needed(const permit_query& query)
{
    order_.clear();
    for (std::size_t n = 0; n < loads_.size(); ++n)
    {
        if (is_usable_for(query, loads_[n]))
            order_.push_back(n);
    }
    std::sort(order_.begin(), order_.end(),
              [&](std::size_t a, std::size_t b)
              { return kv_limit(loads_[a]) > kv_limit(loads_[b]); });
    std::uint64_t sum = 0;
    std::size_t count = 0;
    while (count < order_.size() && sum < kv_need(query))
        sum += kv_limit(loads_[order_[count++]]);
    return count;
}

bool shard_scheduler::place_segments(const permit_query& query,
                                     std::vector<booked_share>& shares)
{
    // One segment more than necessary allows the use of partly filled engines;
    // many small segments would cost more transfers than they save.
    const auto max_segments = segments_needed(query) + 1;
    const bool confined = placement_->confines_long();
    std::erase_if(order_,
                  [&](std::size_t n)
                  {
                      const auto& it = loads_[n];
                      return slots_left(it, query.length_class) == 0 ||
                             kv_free(it) == 0 ||
                             (confined && it.has_long_prefill(now_));
                  });
    std::sort(order_.begin(), order_.end(),
              [&](std::size_t a, std::size_t b)
              { return kv_free(loads_[a]) > kv_free(loads_[b]); });
    auto missing = kv_need(query);
    for (std::size_t n = 0; n < order_.size() && missing > 0; ++n)
    {
        if (n == max_segments)
            break;
        const auto tokens = std::min(missing, kv_free(loads_[order_[n]]));
        shares.push_back({.index = order_[n], .tokens = tokens});
        missing -= tokens;
    }
    if (missing > 0)
        shares.clear();
    return !shares.empty();
}

void shard_scheduler::reserve_back_ends()
{
    for (auto n = classes_.size(); n-- > 0;)
    {
        heads_.clear();
        classes_[n].queue.heads(1, heads_);
        if (heads_.empty() || !may_grant(n))
            continue;
        const auto& query = queued_.at(queued_ids_.at(heads_.front())).query;
        if (needs_segments(query))
            return reserve_back_ends_for(query);
    }
}

void shard_scheduler::reserve_back_ends_for(const permit_query& query)
{
    const auto usable = static_cast<std::size_t>(
        std::count_if(loads_.begin(), loads_.end(),
                      [&](const back_end_load& it) { return is_usable(it); }));
    const auto count =
        std::min(segments_needed(query), std::max<std::size_t>(1, usable / 2));
    std::sort(order_.begin(), order_.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return std::pair(kv_free(loads_[a]), loads_[a].id()) >
                         std::pair(kv_free(loads_[b]), loads_[b].id());
              });
    for (std::size_t n = 0; n < std::min(count, order_.size()); ++n)
        loads_[order_[n]].reserved = true;
}

std::uint32_t shard_scheduler::cached_tokens(const permit_query& query,
                                             const back_end_load& load) const
{
    const auto& slot = prefixes_[query.prefix % prefixes_.size()];
    if (query.prefix == 0 || slot.prefix != query.prefix ||
        slot.back_end != load.id())
        return 0;
    // The owner knows only the prefix's hash, so half of the prompt is assumed.
    return query.prompt_tokens / 2;
}

void shard_scheduler::choose_long_back_ends()
{
    order_.clear();
    for (std::size_t n = 0; n < loads_.size(); ++n)
    {
        loads_[n].takes_long = false;
        if (is_usable(loads_[n]))
            order_.push_back(n);
    }
    const auto share = all_prefill_tokens_ > 0
                           ? long_prefill_tokens_ / all_prefill_tokens_
                           : initial_long_share;
    const auto usable = order_.size();
    const auto wanted = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(usable)));
    const auto count = std::clamp<std::size_t>(
        wanted, 1, std::max<std::size_t>(1, usable / 2));
    std::sort(order_.begin(), order_.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return std::pair(kv_limit(loads_[a]), loads_[a].id()) >
                         std::pair(kv_limit(loads_[b]), loads_[b].id());
              });
    for (std::size_t n = 0; n < std::min(count, usable); ++n)
        loads_[order_[n]].takes_long = true;
}

permit_decision shard_scheduler::grant(const permit_query& query,
                                       std::vector<booked_share>&& shares)
{
    const bool long_prompt = is_long(query.length_class);
    auto left = query.prompt_tokens;
    for (auto& it : shares)
    {
        const auto prompt = std::min(left, it.tokens);
        left -= prompt;
        auto& load = loads_[it.index];
        const auto work = prompt - std::min(prompt, cached_tokens(query, load));
        it.ended_tokens = load.ended_tokens();
        it.prefill_tokens = load.add_prefill(work, long_prompt, now_);
    }
    all_prefill_tokens_ += query.prompt_tokens;
    if (long_prompt)
        long_prefill_tokens_ += query.prompt_tokens;
    if (query.prefix != 0)
        prefixes_[query.prefix % prefixes_.size()] = {
            .prefix = query.prefix,
            .back_end = loads_[shares.back().index].id()};
    running_permit permit{.customer = query.customer,
                          .length_class = query.length_class,
                          .prompt_tokens = query.prompt_tokens,
                          .granted_at = now_,
                          .expires_at = query.deadline + release_grace,
                          .registered = false,
                          .shares = std::move(shares)};
    auto decision = decision_for(query.key, permit);
    book(query.key, std::move(permit));
    return decision;
}

permit_decision
shard_scheduler::decision_for(const permit_key& key,
                              const running_permit& permit) const
{
    permit_decision decision;
    decision.key = key;
    decision.state = permit_state::granted;
    decision.shares.reserve(permit.shares.size());
    for (const auto& it : permit.shares)
        decision.shares.push_back(
            {.back_end = loads_[it.index].target().name, .tokens = it.tokens});
    return decision;
}

} // namespace galenapulley
