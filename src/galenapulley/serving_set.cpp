#include "galenapulley/serving_set.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace galenapulley
{

namespace
{

constexpr double ms_per_second = 1000;
constexpr double millicores_per_core = 1000;

// Indexed by serving_reason.
constexpr std::array<std::string_view, 4> reason_names{
    "small_fleet", "domain_minimum", "request_rate", "recent_rate"};

double cores_of(const serving_candidate& it)
{
    return it.rank.capacity / millicores_per_core;
}

} // namespace

std::string_view name_of(serving_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

serving_set::serving_set(serving_set_options options) : options_(options) {}

bool serving_set::update(const std::vector<serving_candidate>& live)
{
    auto ranked = live;
    std::sort(ranked.begin(), ranked.end(),
              [](const serving_candidate& a, const serving_candidate& b)
              { return ranks_before(a.rank, b.rank); });
    request_rate_ = std::accumulate(ranked.begin(), ranked.end(), 0.0,
                                    [](double sum, const auto& it)
                                    { return sum + it.request_rate; });
    const double cores = request_rate_ * options_.processor_ms_per_request /
                         ms_per_second / options_.max_utilization;
    auto chosen = choose(ranked, cores);
    for (const auto& [node, reason] :
         choose(ranked, cores * options_.release_factor))
        if (members_.contains(node))
            chosen.try_emplace(node, serving_reason::recent_rate);
    has_standbys_ = chosen.size() < live.size();
    const bool changed = chosen != members_;
    members_ = std::move(chosen);
    return changed;
}

serving_set::member_map
serving_set::choose(const std::vector<serving_candidate>& ranked,
                    double cores) const
{
    member_map chosen;
    if (ranked.size() <= options_.small_fleet)
    {
        for (const auto& it : ranked)
            chosen.emplace(it.rank.node, serving_reason::small_fleet);
        return chosen;
    }
    std::map<std::string, std::size_t> chosen_of_domain;
    for (const auto& it : ranked)
    {
        if (chosen_of_domain[it.failure_domain] == options_.nodes_per_domain)
            continue;
        ++chosen_of_domain[it.failure_domain];
        chosen.emplace(it.rank.node, serving_reason::domain_minimum);
        cores -= cores_of(it);
    }
    for (const auto& it : ranked)
    {
        if (cores <= 0)
            break;
        if (chosen.emplace(it.rank.node, serving_reason::request_rate).second)
            cores -= cores_of(it);
    }
    return chosen;
}

} // namespace galenapulley
