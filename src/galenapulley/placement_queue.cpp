#include "galenapulley/placement_queue.hpp"

#include <algorithm>
#include <tuple>

namespace galenapulley
{

void placement_queue::add(placement_queue_entry entry)
{
    entries_.push_back(entry);
}

void placement_queue::remove(std::uint64_t request)
{
    std::erase_if(entries_, [request](const placement_queue_entry& it)
                  { return it.request == request; });
}

void placement_queue::set_over_share(
    const std::unordered_set<std::uint64_t>& requests)
{
    for (auto& it : entries_)
        it.over_share = requests.contains(it.request);
}

std::vector<std::uint64_t> placement_queue::ordered(msec now) const
{
    auto sorted = entries_;
    std::sort(
        sorted.begin(), sorted.end(),
        [now](const placement_queue_entry& a, const placement_queue_entry& b)
        {
            const auto rank = [now](const placement_queue_entry& it)
            {
                const bool late =
                    now + it.min_service_time > it.first_token_due_at;
                return std::tuple(it.priority, it.over_share, late,
                                  it.first_token_due_at, it.request);
            };
            return rank(a) < rank(b);
        });
    std::vector<std::uint64_t> out;
    out.reserve(sorted.size());
    for (const auto& it : sorted)
        out.push_back(it.request);
    return out;
}

std::vector<std::uint64_t> placement_queue::unservable(msec now) const
{
    std::vector<std::uint64_t> out;
    for (const auto& it : entries_)
    {
        const auto limit = static_cast<msec>(
            max_wait_share * static_cast<double>(it.deadline - it.received_at));
        if (now - it.received_at >= limit ||
            now + it.min_service_time >= it.deadline)
            out.push_back(it.request);
    }
    return out;
}

} // namespace galenapulley
