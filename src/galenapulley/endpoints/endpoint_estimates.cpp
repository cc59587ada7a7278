#include "galenapulley/endpoints/endpoint_estimates.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace galenapulley
{

namespace
{

/// Part of a failure that counts at once if the request may have caused it.
constexpr double possible_crash_weight = 0.25;
/// Connections that break within this time are one failure: an endpoint that
/// ends breaks all of them.
constexpr msec occasion_interval = 150;
/// Limits of a single observed over expected time, so that one request behind
/// an unknown queue doesn't decide.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 16;
/// Time for transport and scheduling that is part of both times.
constexpr double transport_ms = 10;
/// Attempts in a peer's estimate above which it can't be true.
constexpr double max_plausible_attempts = 100'000;
/// Estimates with fewer attempts than this are not reported.
constexpr double min_reported_attempts = 0.25;

/// False for NaN as well.
bool is_within(double value, double low, double high)
{
    return value >= low && value <= high;
}

bool is_valid(const endpoint_estimate& it, msec now)
{
    return is_within(it.slowdown, 1 / max_ratio, max_ratio) &&
           is_within(it.failure_rate, 0, 1) &&
           is_within(it.weight, 0, max_plausible_attempts) && it.weight > 0 &&
           it.at <= now && now - it.at <= endpoint_estimates::max_age;
}

} // namespace

double endpoint_estimates::weight_at(msec age)
{
    return std::exp2(-static_cast<double>(std::max(age, 0_ms)) /
                     static_cast<double>(aging_period));
}

endpoint_estimates::tally endpoint_estimates::tally::aged(msec now) const
{
    const double factor = weight_at(now - at);
    return {.attempts = attempts * factor,
            .failures = failures * factor,
            .flaps = flaps * factor,
            .speed = speed * factor,
            .speed_attempts = speed_attempts * factor,
            .at = now};
}

endpoint_estimates::entry* endpoint_estimates::find(endpoint_key key)
{
    const auto it = all_.find(key);
    return it == all_.end() ? nullptr : &it->second;
}

const endpoint_estimates::entry*
endpoint_estimates::find(endpoint_key key) const
{
    const auto it = all_.find(key);
    return it == all_.end() ? nullptr : &it->second;
}

void endpoint_estimates::set_members(const std::vector<member>& members)
{
    std::set<endpoint_key> kept;
    service_sizes_.clear();
    for (const auto& it : members)
    {
        kept.insert(it.key);
        all_[it.key].service = it.service;
        ++service_sizes_[it.service];
    }
    std::erase_if(all_,
                  [&kept](const auto& it) { return !kept.contains(it.first); });
    // The number of endpoints that may be ejected has changed.
    evaluated_at_.reset();
}

void endpoint_estimates::count_withheld(entry& it)
{
    const double failed = std::exchange(it.withheld, 0);
    it.own.attempts += failed;
    it.own.failures += failed;
}

void endpoint_estimates::on_success(endpoint_key key, msec now)
{
    auto* const it = find(key);
    if (it == nullptr)
        return;
    it->own = it->own.aged(now);
    it->own.attempts += 1;
    count_withheld(*it);
    it->has_served = true;
    if (it->ejected_at && now >= it->trials_from)
        ++it->trials;
}

void endpoint_estimates::on_failure(endpoint_key key, failure_evidence evidence,
                                    msec now)
{
    auto* const it = find(key);
    if (it == nullptr)
        return;
    it->own = it->own.aged(now);
    it->trials = 0;
    double weight = 1;
    if (evidence == failure_evidence::broken)
    {
        const bool same_occasion =
            it->broken_at && now - *it->broken_at < occasion_interval;
        it->broken_at = now;
        if (same_occasion)
            return;
        count_withheld(*it);
        weight = possible_crash_weight;
        it->withheld = 1 - possible_crash_weight;
    }
    it->own.attempts += weight;
    it->own.failures += weight;
    if (evidence == failure_evidence::unreachable &&
        std::exchange(it->has_served, false))
        it->own.flaps += 1;
}

void endpoint_estimates::on_first_token(endpoint_key key, double observed_ms,
                                        double expected_ms, msec now)
{
    auto* const it = find(key);
    if (it == nullptr || !(expected_ms > 0) || !(observed_ms >= 0))
        return;
    it->own = it->own.aged(now);
    const double ratio =
        (observed_ms + transport_ms) / (expected_ms + transport_ms);
    it->own.speed += std::log(std::clamp(ratio, min_ratio, max_ratio));
    it->own.speed_attempts += 1;
}

bool endpoint_estimates::on_peer_estimate(const std::string& peer,
                                          const endpoint_estimate& item,
                                          msec now)
{
    auto* const it = find(item.endpoint);
    if (it == nullptr || !is_valid(item, now))
        return false;
    std::erase_if(it->peers, [now](const auto& known)
                  { return now - known.second.at > max_age; });
    const auto known = it->peers.find(peer);
    if (known != it->peers.end() ? known->second.at > item.at
                                 : it->peers.size() >= max_peers)
        return false;
    it->peers[peer] = item;
    return true;
}

void endpoint_estimates::forget_own_results()
{
    for (auto& [key, it] : all_)
    {
        it.own = {};
        it.withheld = 0;
        it.has_served = false;
    }
}

bool endpoint_estimates::is_ejected(endpoint_key key) const
{
    const auto* const it = find(key);
    return it != nullptr && it->ejected_at.has_value();
}

std::size_t endpoint_estimates::ejected() const
{
    return static_cast<std::size_t>(std::count_if(
        all_.begin(), all_.end(),
        [](const auto& it) { return it.second.ejected_at.has_value(); }));
}

bool endpoint_estimates::is_trial_due(endpoint_key key, double draw,
                                      msec now) const
{
    const auto* const it = find(key);
    if (it == nullptr || !it->ejected_at || now < it->trials_from)
        return false;
    const auto members = static_cast<double>(service_sizes_.at(it->service));
    return draw < trial_share * (1 + it->trials) / members;
}

double endpoint_estimates::slowdown(endpoint_key key) const
{
    const auto* const it = find(key);
    return it == nullptr ? 1 : it->slowdown;
}

std::vector<endpoint_estimate> endpoint_estimates::own(msec now) const
{
    std::vector<endpoint_estimate> out;
    for (const auto& [key, it] : all_)
    {
        if (it.own.aged(now).attempts < min_reported_attempts ||
            now - it.own.at > max_age)
            continue;
        out.push_back(
            {.endpoint = key,
             .slowdown = std::clamp(it.own_slowdown, 1 / max_ratio, max_ratio),
             .failure_rate = it.own.failures / it.own.attempts,
             .weight = it.own.attempts,
             .at = it.own.at});
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b)
                     { return a.failure_rate > b.failure_rate; });
    out.resize(std::min(out.size(), max_reported));
    return out;
}

std::vector<estimate_view> endpoint_estimates::all(msec now) const
{
    std::vector<estimate_view> out;
    for (const auto& [key, it] : all_)
    {
        tally peers;
        add_peers(it, peers, now);
        out.push_back({.key = key,
                       .slowdown = it.slowdown,
                       .failure_rate = failure_rate_of(it, now),
                       .attempts = it.own.aged(now).attempts,
                       .peer_attempts = peers.attempts,
                       .ejected_at = it.ejected_at,
                       .trials_from = it.trials_from});
    }
    return out;
}

} // namespace galenapulley
