#include "gateway/gateway_metrics.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <vector>

namespace galenapulley
{

namespace
{

constexpr std::array<std::string_view, request_stage_count> stage_names{
    "placement", "first_event", "pause", "whole"};
constexpr std::array<std::string_view, gauge_count> gauge_names{
    "configuration_version",
    "operations_age_ms",
    "endpoints_age_ms",
    "store_reached",
    "store_era",
    "endpoints_known",
    "endpoints_paused",
    "endpoints_leaving",
    "endpoints_ejected",
    "partitioned",
    "live_nodes",
    "serving_nodes",
    "serving",
    "peer_messages_received",
    "peer_bytes_received",
    "peer_bytes_sent",
    "waiting_requests",
    "placement_longest_ms",
    "placement_most_attempts",
    "placement_unfinished_turns",
    "running_requests",
    "limited_accounts",
    "open_connections",
    "body_bytes",
    "client_input_bytes",
    "client_unread_bytes",
    "log_lines_left_out"};
constexpr double ms_per_second = 1000;

std::vector<std::string> outcome_names()
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < attempt_outcome_count; ++n)
        out.emplace_back(name_of(static_cast<attempt_outcome>(n)));
    return out;
}

/// Rounded to a tenth of a percent.
double in_percent(double part)
{
    return std::round(part * 1000) / 10;
}

std::vector<std::string> limit_names()
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < client_limit_count; ++n)
        out.emplace_back(name_of(static_cast<client_limit>(n)));
    return out;
}

} // namespace

gateway_metrics::gateway_metrics(counters& registry)
    : outcomes_(registry.add("galenapulley_endpoint_calls_total",
                             "Attempts at endpoints by outcome", "outcome",
                             outcome_names()))
    , responses_(registry.add("galenapulley_answers_total",
                              "Responses to clients by status class", "class",
                              {"other", "1xx", "2xx", "3xx", "4xx", "5xx"}))
    , orders_(registry.add("galenapulley_memory_orders_total",
                           "Memory orders to endpoints by result", "answer",
                           {"done", "refused", "unclear"}))
    , handovers_(registry.add("galenapulley_handovers_total",
                              "Requests handed over to other nodes by outcome",
                              "outcome", outcome_names()))
    , prefix_placements_(
          registry.add("galenapulley_prefix_placements_total",
                       "Requests placed at an endpoint that retains a prefix "
                       "of the prompt",
                       "prefix", {"retained"}))
    , prefix_tokens_(registry.add("galenapulley_prefix_tokens_total",
                                  "Prompt tokens that were expected to need no "
                                  "prefill",
                                  "prefix", {"retained"}))
    , client_limits_(registry.add("galenapulley_client_limits_total",
                                  "Clients refused or closed by limit", "limit",
                                  limit_names()))
{
}

void gateway_metrics::observe(request_stage stage, msec elapsed)
{
    auto& it = histograms_.at(static_cast<std::size_t>(stage));
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), elapsed);
    ++it.counts.at(static_cast<std::size_t>(bound - bounds.begin()));
    it.sum_ms += static_cast<std::uint64_t>(std::max(elapsed, 0_ms));
}

void gateway_metrics::set(gauge which, std::int64_t value)
{
    gauges_.at(static_cast<std::size_t>(which)) = value;
}

void gateway_metrics::set_serving_set(
    std::map<std::string, serving_reason> members)
{
    const std::lock_guard lock(serving_set_mutex_);
    serving_set_ = std::move(members);
}

void gateway_metrics::set_endpoints(std::string json)
{
    const std::lock_guard lock(endpoints_mutex_);
    endpoints_ = std::move(json);
}

std::string gateway_metrics::endpoints() const
{
    const std::lock_guard lock(endpoints_mutex_);
    return endpoints_;
}

void gateway_metrics::set_accounts(std::vector<account_report> reports)
{
    const std::lock_guard lock(accounts_mutex_);
    accounts_ = std::move(reports);
}

void gateway_metrics::count(attempt_outcome outcome)
{
    outcomes_.increment(static_cast<std::size_t>(outcome));
}

void gateway_metrics::count(order_result result)
{
    orders_.increment(static_cast<std::size_t>(result));
}

void gateway_metrics::count_handover(attempt_outcome outcome)
{
    handovers_.increment(static_cast<std::size_t>(outcome));
}

void gateway_metrics::count(client_limit cause)
{
    client_limits_.increment(static_cast<std::size_t>(cause));
}

void gateway_metrics::count_response(int status)
{
    const auto group = static_cast<std::size_t>(status / 100);
    responses_.increment(group <= 5 ? group : 0);
}

void gateway_metrics::count_prefix(double tokens)
{
    prefix_placements_.increment(0);
    prefix_tokens_.increment(0, static_cast<std::uint64_t>(tokens));
}

std::string gateway_metrics::status() const
{
    nlohmann::ordered_json out;
    for (std::size_t n = 0; n < gauges_.size(); ++n)
        out[std::string(gauge_names[n])] = gauges_[n].load();
    const std::lock_guard lock(serving_set_mutex_);
    for (const auto& [node, reason] : serving_set_)
        out["serving_set"][node] = name_of(reason);
    return out.dump();
}

std::string gateway_metrics::accounts() const
{
    auto list = nlohmann::ordered_json::array();
    const std::lock_guard lock(accounts_mutex_);
    for (const auto& it : accounts_)
    {
        auto refused = nlohmann::ordered_json::array();
        for (const auto& [kind, n] : it.refused)
            refused.push_back(fmt::format("{}={}", kind, n));
        list.push_back({{"service", it.service},
                        {"account", it.account},
                        {"share_percent", in_percent(it.share)},
                        {"use_percent", in_percent(it.use)},
                        {"use_ms", std::llround(it.use_ms)},
                        {"waiting", it.waiting},
                        {"limited", it.limited},
                        {"refused", std::move(refused)}});
    }
    const nlohmann::ordered_json out{{"accounts", std::move(list)}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string gateway_metrics::expose() const
{
    std::string out;
    auto to = std::back_inserter(out);
    constexpr std::string_view name = "galenapulley_request_seconds";
    fmt::format_to(to,
                   "# HELP {} Duration of a request by stage\n# TYPE {} "
                   "histogram\n",
                   name, name);
    for (std::size_t n = 0; n < histograms_.size(); ++n)
    {
        const auto& it = histograms_[n];
        std::uint64_t total = 0;
        for (std::size_t k = 0; k < bounds.size(); ++k)
        {
            total += it.counts[k];
            fmt::format_to(to, "{}_bucket{{stage=\"{}\",le=\"{}\"}} {}\n", name,
                           stage_names[n],
                           static_cast<double>(bounds[k]) / ms_per_second,
                           total);
        }
        total += it.counts.back();
        fmt::format_to(
            to,
            "{0}_bucket{{stage=\"{1}\",le=\"+Inf\"}} {2}\n"
            "{0}_sum{{stage=\"{1}\"}} {3}\n{0}_count{{stage=\"{1}\"}} {2}\n",
            name, stage_names[n], total,
            static_cast<double>(it.sum_ms) / ms_per_second);
    }
    for (std::size_t n = 0; n < gauges_.size(); ++n)
        fmt::format_to(to,
                       "# TYPE galenapulley_{0} gauge\ngalenapulley_{0} {1}\n",
                       gauge_names[n], gauges_[n].load());
    return out;
}

} // namespace galenapulley
