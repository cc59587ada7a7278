#include "support/request_load.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace galenapulley::testing
{

using nlohmann::json;

namespace
{

constexpr std::size_t prompt_tokens = 1000;
// Avoids a busy loop of requests to a node that refuses immediately.
constexpr msec pause_after_failure = 100;

} // namespace

request_load::request_load(process_fleet& fleet, load_options options)
    : fleet_(fleet)
    , options_(std::move(options))
    , end_at_(clock_.now() + options_.max_duration)
{
    for (const auto node : options_.nodes)
        for (std::size_t n = 0; n < options_.callers_per_node; ++n)
            threads_.emplace_back([this, node] { run_caller(node); });
}

request_load::~request_load()
{
    stop();
}

void request_load::run_caller(std::size_t node)
{
    while (!stopping_ && clock_.now() < end_at_)
    {
        const auto number = sent_++;
        if (number >= options_.max_requests)
            return;
        const auto prompt = make_prompt(prompt_tokens, number);
        load_outcome outcome{.node = node, .started_at = clock_.now()};
        const auto result = fleet_.complete(node, prompt, options_.max_tokens);
        outcome.ended_at = clock_.now();
        outcome.status = result.status;
        const bool complete = completion_text(result) ==
                              expected_text(prompt, options_.max_tokens);
        if (complete)
            ++completed_;
        else
        {
            outcome.kind = error_field(result, "kind");
            outcome.ran = error_field(result, "ran");
            if (outcome.kind.empty())
                outcome.kind = "no_answer " + result.error_text;
        }
        {
            const std::lock_guard lock(mutex_);
            outcomes_.push_back(std::move(outcome));
        }
        if (!complete)
            process_fleet::wait_until([this] { return stopping_.load(); },
                                      pause_after_failure);
    }
}

void request_load::run_until(msec instant)
{
    process_fleet::wait_until([&] { return clock_.now() >= instant; },
                              options_.max_duration);
}

bool request_load::wait_completed(std::size_t additional, msec timeout)
{
    const auto wanted = completed_ + additional;
    return process_fleet::wait_until([&] { return completed_ >= wanted; },
                                     timeout);
}

std::vector<load_outcome> request_load::stop()
{
    stopping_ = true;
    for (auto& it : threads_)
        it.join();
    threads_.clear();
    return outcomes_;
}

std::string describe_failures(const std::vector<load_outcome>& outcomes)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& it : outcomes)
        if (!it.kind.empty())
            ++counts["node " + std::to_string(it.node) + " " + it.kind + " " +
                     it.ran];
    std::string text;
    for (const auto& [kind, n] : counts)
        text += kind + ": " + std::to_string(n) + "; ";
    return text;
}

std::int64_t zone_starts(process_fleet& fleet, std::size_t zone, msec since)
{
    std::int64_t starts = 0;
    for (std::size_t n = 0; n < fleet.engines(); ++n)
    {
        if (fleet.engine_zone(n) != process_fleet::zone_name(zone))
            continue;
        const auto result =
            fleet.call("GET", fleet.engine_address(n),
                       "/stats?since_ms=" + std::to_string(since));
        starts += json::parse(result.body).at("seen_since").get<std::int64_t>();
    }
    return starts;
}

msec newest_zone_start(process_fleet& fleet, std::size_t zone)
{
    msec newest = 0;
    for (std::size_t n = 0; n < fleet.engines(); ++n)
        if (fleet.engine_zone(n) == process_fleet::zone_name(zone))
            newest = std::max(newest, fleet.stats(fleet.engine_address(n))
                                          .at("last_start_ms")
                                          .get<msec>());
    return newest;
}

std::vector<std::size_t> find_owners(process_fleet& fleet, std::size_t zone,
                                     const std::vector<std::size_t>& queried)
{
    const auto shard = "drafting/" + process_fleet::zone_name(zone);
    std::vector<std::size_t> owners;
    for (const auto node : queried)
    {
        const auto status = fleet.status(node);
        for (const auto& it : status.value("shards", json::array()))
            if (it.at("shard").get<std::string>().starts_with(shard))
                owners.push_back(node);
    }
    return owners;
}

bool all_withdrawn(process_fleet& fleet, const std::vector<std::size_t>& nodes,
                   std::vector<std::string> zones)
{
    std::sort(zones.begin(), zones.end());
    return std::all_of(nodes.begin(), nodes.end(),
                       [&](std::size_t node)
                       {
                           const auto status = fleet.status(node);
                           auto seen = status.value(
                               "withdrawn_zones",
                               std::vector<std::string>{"unknown"});
                           std::sort(seen.begin(), seen.end());
                           return seen == zones;
                       });
}

std::vector<std::size_t> nodes_without(const process_fleet& fleet,
                                       const std::vector<std::size_t>& excluded)
{
    std::vector<std::size_t> nodes;
    for (std::size_t n = 0; n < fleet.nodes(); ++n)
        if (std::find(excluded.begin(), excluded.end(), n) == excluded.end())
            nodes.push_back(n);
    return nodes;
}

std::string change_state(const http_result& result)
{
    const auto body = json::parse(result.body, nullptr, false);
    return body.is_object() ? body.value("state", std::string())
                            : std::string();
}

} // namespace galenapulley::testing
