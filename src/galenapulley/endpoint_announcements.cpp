#include "galenapulley/endpoint_announcements.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

announcement_changes
endpoint_announcements::record(endpoint_key key,
                               const endpoint_announcement& announced, msec at)
{
    const std::lock_guard lock(mutex_);
    announcement_changes out;
    // Most endpoints never name a limit.
    if (announced.rate_limit || known_.contains(key))
        out.rate_limit = set_rate_limit(
            {.endpoint = key, .per_second = announced.rate_limit, .at = at});
    if (announced.retry_after)
        out.pause =
            extend_pause(key, at + std::min(*announced.retry_after, max_pause));
    if (announced.leaving)
        out.leaving = set_leaving(key, at);
    return out;
}

bool endpoint_announcements::set_leaving(endpoint_key key, msec at)
{
    auto& it = known_[key];
    is_empty_ = false;
    const bool is_new = it.leaving_until <= at;
    it.leaving_until = at + leaving_memory;
    return is_new;
}

bool endpoint_announcements::record_pause(endpoint_key key, msec retry_after,
                                          msec at)
{
    const std::lock_guard lock(mutex_);
    return extend_pause(key, at + std::min(retry_after, max_pause));
}

bool endpoint_announcements::record_rate_limit(const rate_limit_report& report)
{
    const std::lock_guard lock(mutex_);
    return set_rate_limit(report);
}

bool endpoint_announcements::set_rate_limit(const rate_limit_report& report)
{
    auto& it = known_[report.endpoint];
    is_empty_ = false;
    if (it.rate_limit_at && report.at <= *it.rate_limit_at)
        return false;
    const bool changed =
        std::exchange(it.rate_limit, report.per_second) != report.per_second;
    // The end of a limit is dated by the first response without one.
    if (changed || it.rate_limit)
        it.rate_limit_at = report.at;
    return changed;
}

bool endpoint_announcements::extend_pause(endpoint_key key, msec until)
{
    auto& it = known_[key];
    is_empty_ = false;
    if (until <= it.paused_until)
        return false;
    it.paused_until = until;
    last_pause_end_ = std::max(last_pause_end_.load(), until);
    return true;
}

endpoint_announcements::known_announcements
endpoint_announcements::find(endpoint_key key) const
{
    if (is_empty_)
        return {};
    const std::lock_guard lock(mutex_);
    const auto it = known_.find(key);
    return it == known_.end() ? known_announcements{} : it->second;
}

std::optional<double> endpoint_announcements::rate_limit(endpoint_key key) const
{
    return find(key).rate_limit;
}

bool endpoint_announcements::is_paused(endpoint_key key, msec now) const
{
    return paused_until(key) > now;
}

bool endpoint_announcements::is_leaving(endpoint_key key, msec now) const
{
    return find(key).leaving_until > now;
}

msec endpoint_announcements::paused_until(endpoint_key key) const
{
    return find(key).paused_until;
}

std::vector<rate_limit_report>
endpoint_announcements::rate_limits(msec now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<rate_limit_report> out;
    for (const auto& [key, it] : known_)
        if (it.rate_limit_at &&
            (it.rate_limit || now - *it.rate_limit_at < limit_end_memory))
            out.push_back({.endpoint = key,
                           .per_second = it.rate_limit,
                           .at = *it.rate_limit_at});
    return out;
}

std::vector<pause_report> endpoint_announcements::pauses(msec now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<pause_report> out;
    for (const auto& [key, it] : known_)
        if (it.paused_until > now)
            out.push_back({.endpoint = key, .until = it.paused_until});
    return out;
}

std::vector<endpoint_key> endpoint_announcements::leaving(msec now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_key> out;
    for (const auto& [key, it] : known_)
        if (it.leaving_until > now)
            out.push_back(key);
    return out;
}

void endpoint_announcements::retain(const std::set<endpoint_key>& known)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(known_, [&known](const auto& it)
                  { return !known.contains(it.first); });
    is_empty_ = known_.empty();
}

} // namespace galenapulley
