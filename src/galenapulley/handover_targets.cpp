#include "galenapulley/handover_targets.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace galenapulley
{

namespace
{

std::uint64_t weight_of(const peer_gateway& it)
{
    return std::max<std::uint64_t>(it.capacity, 1);
}

} // namespace

void handover_targets::set_peers(std::map<std::string, peer_gateway> peers)
{
    peers_ = std::move(peers);
    std::erase_if(reports_, [this](const auto& it)
                  { return !peers_.contains(it.first); });
}

void handover_targets::on_report(const std::string& node,
                                 std::optional<msec> contact_at,
                                 bool partitioned)
{
    reports_[node] = {.contact_at = contact_at, .partitioned = partitioned};
}

void handover_targets::on_refused(const std::string& node)
{
    reports_[node].contact_at.reset();
}

std::vector<const handover_targets::peer*>
handover_targets::candidates(msec partitioned_at, msec now) const
{
    const auto needed =
        std::max(partitioned_at - detection_time, now - recent_contact);
    std::vector<const peer*> recent;
    std::vector<const peer*> others;
    for (const auto& it : peers_)
    {
        const auto known = reports_.find(it.first);
        const auto last = known == reports_.end() ? report{} : known->second;
        if (last.partitioned)
            continue;
        const bool is_recent = last.contact_at && *last.contact_at >= needed;
        (is_recent ? recent : others).push_back(&it);
    }
    return recent.empty() ? others : recent;
}

const std::pair<const std::string, peer_gateway>*
handover_targets::choose(msec partitioned_at, msec now,
                         std::uint64_t draw) const
{
    const auto all = candidates(partitioned_at, now);
    const auto total = std::accumulate(all.begin(), all.end(), std::uint64_t{0},
                                       [](std::uint64_t sum, const peer* it)
                                       { return sum + weight_of(it->second); });
    if (total == 0)
        return nullptr;
    auto left = draw % total;
    auto it = all.begin();
    for (; left >= weight_of((*it)->second); ++it)
        left -= weight_of((*it)->second);
    return *it;
}

} // namespace galenapulley
