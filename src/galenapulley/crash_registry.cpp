#include "galenapulley/crash_registry.hpp"

#include <algorithm>
#include <tuple>

namespace galenapulley
{

namespace
{

constexpr msec expiry_interval = 10_sec;
/// Long enough that the older of two crashes is still known when the quarantine
/// that both caused ends, also on nodes that receive both reports late.
constexpr msec report_lifetime = 2 * crash_registry::quarantine_time;

bool is_newer(const crash_report& a, const crash_report& b)
{
    return std::tie(a.at, a.crash_id) > std::tie(b.at, b.crash_id);
}

} // namespace

crash_registry::crash_registry(std::size_t capacity, std::size_t crashes)
    : capacity_(std::max<std::size_t>(1, capacity))
    , quarantine_threshold_(std::clamp<std::size_t>(crashes, 2, max_crashes))
{
}

bool crash_registry::add(const crash_report& item, msec now)
{
    expire(now);
    auto added = item;
    added.at = std::min(added.at, now);
    if (added.at + report_lifetime <= now)
        return false;
    auto& [crashes, count] = entries_[added.fingerprint];
    const auto end = crashes.begin() + static_cast<std::ptrdiff_t>(count);
    const auto known = std::find_if(crashes.begin(), end,
                                    [&](const crash_report& it)
                                    { return it.crash_id == added.crash_id; });
    if (known != end)
    {
        // Each gossip hop delays a report, so the earliest time counts.
        known->at = std::min(known->at, added.at);
        std::sort(crashes.begin(), end, is_newer);
        return false;
    }
    if (count == quarantine_threshold_ && !is_newer(added, crashes[count - 1]))
        return false;
    if (count < quarantine_threshold_)
        ++count;
    crashes[count - 1] = added;
    std::sort(crashes.begin(),
              crashes.begin() + static_cast<std::ptrdiff_t>(count), is_newer);
    if (entries_.size() > capacity_)
        evict_oldest();
    return true;
}

bool crash_registry::is_quarantined(std::uint64_t fingerprint, msec now) const
{
    const auto it = entries_.find(fingerprint);
    if (it == entries_.end() || it->second.count < quarantine_threshold_)
        return false;
    const auto& newest = it->second.crashes.front();
    const auto& older = it->second.crashes[quarantine_threshold_ - 1];
    return newest.at - older.at < quarantine_time &&
           now < newest.at + quarantine_time;
}

std::vector<crash_report> crash_registry::recent(std::size_t max,
                                                 msec now) const
{
    std::vector<crash_report> reports;
    for (const auto& [fingerprint, it] : entries_)
    {
        for (std::size_t n = 0; n < it.count; ++n)
        {
            if (it.crashes[n].at + report_lifetime > now)
                reports.push_back(it.crashes[n]);
        }
    }
    std::sort(reports.begin(), reports.end(), is_newer);
    reports.resize(std::min(max, reports.size()));
    return reports;
}

void crash_registry::expire(msec now)
{
    if (now < next_expiry_)
        return;
    next_expiry_ = now + expiry_interval;
    std::erase_if(entries_, [&](const auto& it)
                  { return it.second.crashes[0].at + report_lifetime <= now; });
}

void crash_registry::evict_oldest()
{
    // Fingerprints with fewest crashes are evicted first, so that many
    // different fingerprints can't end a quarantine.
    const auto oldest = std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& a, const auto& b)
        {
            return std::tie(a.second.count, a.second.crashes[0].at) <
                   std::tie(b.second.count, b.second.crashes[0].at);
        });
    entries_.erase(oldest);
}

} // namespace galenapulley
