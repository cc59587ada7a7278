#include "galenapulley/placement_queue.hpp"

#include <algorithm>

namespace galenapulley
{

namespace
{

std::optional<placement_rank>
rank_at(const std::set<placement_rank>& order,
        std::set<placement_rank>::const_iterator it)
{
    return it == order.end() ? std::nullopt : std::optional(*it);
}

} // namespace

void placement_queue::add(const placement_queue_entry& entry)
{
    remove(entry.request);
    const auto max_wait = static_cast<msec>(
        max_wait_share *
        static_cast<double>(entry.deadline - entry.received_at));
    const waiting_entry added{
        .rank = {.priority = entry.priority,
                 .over_share = entry.over_share,
                 .first_token_due_at = entry.first_token_due_at,
                 .request = entry.request},
        .late_at = entry.first_token_due_at - entry.min_service_time + 1,
        .unservable_at = std::min(entry.received_at + max_wait,
                                  entry.deadline - entry.min_service_time)};
    order_.insert(added.rank);
    late_at_.emplace(added.late_at, entry.request);
    unservable_at_.emplace(added.unservable_at, entry.request);
    entries_.emplace(entry.request, added);
}

void placement_queue::remove(std::uint64_t request)
{
    const auto it = entries_.find(request);
    if (it == entries_.end())
        return;
    order_.erase(it->second.rank);
    late_at_.erase({it->second.late_at, request});
    unservable_at_.erase({it->second.unservable_at, request});
    entries_.erase(it);
}

void placement_queue::set_over_share(
    const std::unordered_set<std::uint64_t>& requests)
{
    for (auto& [request, it] : entries_)
    {
        const bool over_share = requests.contains(request);
        if (it.rank.over_share == over_share)
            continue;
        order_.erase(it.rank);
        it.rank.over_share = over_share;
        order_.insert(it.rank);
    }
}

void placement_queue::advance(msec now)
{
    while (!late_at_.empty() && late_at_.begin()->first <= now)
    {
        auto& rank = entries_.at(late_at_.begin()->second).rank;
        late_at_.erase(late_at_.begin());
        order_.erase(rank);
        rank.late = true;
        order_.insert(rank);
    }
}

std::optional<placement_rank>
placement_queue::at_or_after(const placement_rank& it) const
{
    return rank_at(order_, order_.lower_bound(it));
}

std::optional<placement_rank>
placement_queue::after(const placement_rank& it) const
{
    return rank_at(order_, order_.upper_bound(it));
}

std::optional<placement_rank> placement_queue::first() const
{
    return rank_at(order_, order_.begin());
}

std::vector<std::uint64_t> placement_queue::ordered(msec now)
{
    advance(now);
    std::vector<std::uint64_t> out;
    out.reserve(order_.size());
    for (const auto& it : order_)
        out.push_back(it.request);
    return out;
}

std::vector<std::uint64_t> placement_queue::unservable(msec now,
                                                       std::size_t most) const
{
    std::vector<std::uint64_t> out;
    for (const auto& [at, request] : unservable_at_)
    {
        if (at > now || out.size() == most)
            break;
        out.push_back(request);
    }
    return out;
}

} // namespace galenapulley
