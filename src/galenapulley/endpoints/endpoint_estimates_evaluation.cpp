#include "galenapulley/endpoints/endpoint_estimates.hpp"

#include <algorithm>
#include <cmath>

// Decisions on ejection and on the slowdown.

namespace galenapulley
{

namespace
{

/// Added to the weighted number of times that an endpoint became unreachable,
/// so that three of them shortly after one another eject it and two don't.
constexpr double prior_flaps = 7;
/// Endpoints with observed speeds that a median needs.
constexpr std::size_t min_compared = 3;
constexpr double min_speed_attempts = 0.5;
constexpr double prior_speed_attempts = 1;
/// Smaller differences between endpoints don't change placements.
constexpr double min_slowdown = 1.25;

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    // The lower one of the two in the middle.
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void endpoint_estimates::add_peers(const entry& it, tally& to, msec now)
{
    tally sum;
    for (const auto& [peer, item] : it.peers)
    {
        const double weight =
            peer_share *
            std::min(item.weight * weight_at(now - item.at), max_peer_attempts);
        sum.attempts += weight;
        sum.failures += weight * item.failure_rate;
        sum.speed += weight * std::log(item.slowdown);
    }
    if (sum.attempts <= 0)
        return;
    const double limit = std::max(to.attempts, max_peer_weight);
    const double factor = std::min(1.0, limit / sum.attempts);
    to.attempts += factor * sum.attempts;
    to.failures += factor * sum.failures;
    to.speed += factor * sum.speed;
    to.speed_attempts += factor * sum.attempts;
}

double endpoint_estimates::failure_rate_of(const entry& it, msec now)
{
    auto sum = it.own.aged(now);
    const double flapping = sum.flaps / (sum.flaps + prior_flaps);
    add_peers(it, sum, now);
    return std::max(sum.failures / (sum.attempts + prior_attempts), flapping);
}

double endpoint_estimates::median_speed(const entry_list& members, msec now)
{
    std::vector<double> speeds;
    for (const auto* const it : members)
    {
        const auto own = it->second.own.aged(now);
        if (own.speed_attempts >= min_speed_attempts)
            speeds.push_back(own.speed / own.speed_attempts);
    }
    return speeds.size() < min_compared ? std::nan("") : median(speeds);
}

double endpoint_estimates::slowdown_of(const tally& sum)
{
    return std::exp(sum.speed / (sum.speed_attempts + prior_speed_attempts));
}

void endpoint_estimates::set_slowdowns(const entry_list& members, msec now)
{
    const double usual = median_speed(members, now);
    for (auto* const it : members)
    {
        auto sum = it->second.own.aged(now);
        if (std::isnan(usual))
            sum.speed = sum.speed_attempts = 0;
        else
            sum.speed -= usual * sum.speed_attempts;
        it->second.own_slowdown = slowdown_of(sum);
        add_peers(it->second, sum, now);
        const double factor = slowdown_of(sum);
        it->second.slowdown =
            factor < min_slowdown ? 1 : std::min(factor, max_slowdown);
    }
}

bool endpoint_estimates::may_return(const entry& it, double excess, msec now)
{
    if (now < it.trials_from || excess > reinstate_rate)
        return false;
    const auto peers =
        std::count_if(it.peers.begin(), it.peers.end(),
                      [&it](const auto& peer)
                      {
                          return peer.second.at >= it.trials_from &&
                                 peer.second.failure_rate <= reinstate_rate;
                      });
    return it.trials + static_cast<std::uint32_t>(peers) >= min_trials;
}

ejection_change endpoint_estimates::eject(endpoint_key key, entry& it, msec now)
{
    const auto recovered = static_cast<std::uint32_t>(
        std::min((now - it.reinstated_at) / recovery_period,
                 static_cast<msec>(it.ejections)));
    it.ejections -= recovered;
    auto time_out = first_time_out;
    for (auto n = it.ejections; n > 0 && time_out < max_time_out; --n)
        time_out *= 2;
    time_out = std::min(time_out, max_time_out);
    if (time_out < max_time_out)
        ++it.ejections;
    it.ejected_at = now;
    it.trials_from = now + time_out;
    it.trials = 0;
    return {.key = key,
            .ejected = true,
            .failure_rate = it.failure_rate,
            .attempts = it.own.aged(now).attempts,
            .time_out = time_out};
}

ejection_change endpoint_estimates::reinstate(endpoint_key key, entry& it,
                                              msec now)
{
    it.ejected_at.reset();
    it.ejected_rate = 0;
    it.reinstated_at = now;
    return {.key = key,
            .ejected = false,
            .failure_rate = it.failure_rate,
            .attempts = it.own.aged(now).attempts};
}

void endpoint_estimates::evaluate_service(const entry_list& members, msec now,
                                          std::vector<ejection_change>& changes)
{
    set_slowdowns(members, now);
    std::vector<double> rates;
    for (auto* const it : members)
    {
        it->second.failure_rate = failure_rate_of(it->second, now);
        rates.push_back(it->second.failure_rate);
    }
    const double usual = median(rates);
    entry_list worst;
    for (auto* const it : members)
    {
        auto& known = it->second;
        const double excess = known.failure_rate - usual;
        const bool bad = known.ejected_at ? !may_return(known, excess, now)
                                          : excess >= eject_rate;
        if (!bad)
            continue;
        // The evidence of an ejected endpoint ages for lack of work.
        known.ejected_rate = std::max(known.ejected_rate, known.failure_rate);
        worst.push_back(it);
    }
    std::stable_sort(worst.begin(), worst.end(),
                     [](const auto* a, const auto* b) {
                         return a->second.ejected_rate > b->second.ejected_rate;
                     });
    auto limit = members.size() / ejected_divisor;
    if (members.size() - limit < min_remaining)
        limit = 0;
    worst.resize(std::min(worst.size(), limit));
    for (auto* const it : members)
    {
        const bool ejected =
            std::find(worst.begin(), worst.end(), it) != worst.end();
        if (!ejected)
            it->second.ejected_rate = 0;
        if (ejected == it->second.ejected_at.has_value())
            continue;
        changes.push_back(ejected ? eject(it->first, it->second, now)
                                  : reinstate(it->first, it->second, now));
    }
}

std::vector<ejection_change> endpoint_estimates::evaluate(msec now)
{
    if (evaluated_at_ && now - *evaluated_at_ < evaluation_period)
        return {};
    evaluated_at_ = now;
    std::map<std::string, entry_list> services;
    for (auto& it : all_)
        services[it.second.service].push_back(&it);
    std::vector<ejection_change> changes;
    for (const auto& [service, members] : services)
        evaluate_service(members, now, changes);
    return changes;
}

} // namespace galenapulley
