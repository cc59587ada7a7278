#include "bench_report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

namespace galenapulley::bench
{

using nlohmann::json;

namespace
{

constexpr double ms_per_s = 1000;
/// Shorter streams are left out of the token gaps: too few gaps to average.
constexpr std::uint32_t min_stream_tokens = 8;

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

json percentiles(const std::vector<double>& values)
{
    return {{"n", values.size()},
            {"p50", std::round(percentile(values, 0.50))},
            {"p95", std::round(percentile(values, 0.95))},
            {"p99", std::round(percentile(values, 0.99))}};
}

/// Requests that were abandoned or unfinished without a token count with the
/// time waited; without them the percentiles would leave out the longest waits.
std::vector<double> first_token_times(const std::vector<request_record>& list)
{
    std::vector<double> times;
    for (const auto& it : list)
    {
        if (it.first_token_ms > 0)
            times.push_back(it.first_token_ms);
        else if (it.end == outcome::abandoned || it.end == outcome::pending)
            times.push_back(it.end_ms);
    }
    return times;
}

std::vector<double> token_gaps(const std::vector<request_record>& list)
{
    std::vector<double> gaps;
    for (const auto& it : list)
    {
        if (it.tokens >= min_stream_tokens)
            gaps.push_back((it.last_token_ms - it.first_token_ms) /
                           (it.tokens - 1));
    }
    return gaps;
}

std::vector<request_record>
select(const std::vector<request_record>& list,
       const std::function<bool(const request_record&)>& wanted)
{
    std::vector<request_record> out;
    std::copy_if(list.begin(), list.end(), std::back_inserter(out), wanted);
    return out;
}

} // namespace

bench_report::bench_report(const workload& load) : load_(load)
{
    document_ = {{"workload", load.name},
                 {"engines", load.engines},
                 {"time_scale", load.time_scale},
                 {"zone_delay_simulated", false},
                 {"requests_per_s", load.requests_per_s},
                 {"prefill_tokens_per_s", load.prefill_tokens_per_s},
                 {"decode_tokens_per_s", load.decode_tokens_per_s},
                 {"duration_ms", load.duration},
                 {"leaver_share", load.abandon_share},
                 {"leaver_mean_ms", load.abandon_mean_ms},
                 {"runs", json::array()}};
}

json bench_report::totals_of(const std::vector<request_record>& list) const
{
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t left = 0;
    std::size_t left_without_token = 0;
    std::size_t unfinished = 0;
    json refused = json::object();
    json failed = json::object();
    double tokens = 0;
    const auto count = [](json& kinds, const std::string& kind)
    {
        kinds[kind] = kinds.value(kind, 0) + 1;
    };
    for (const auto& it : list)
    {
        const auto deadline =
            static_cast<double>(load_.bands[it.request.band].deadline);
        if (it.end == outcome::completed)
        {
            ++(it.end_ms <= deadline ? in_time : late);
            tokens += it.request.prompt_tokens + it.tokens;
        }
        left += it.end == outcome::abandoned ? 1 : 0;
        left_without_token +=
            it.end == outcome::abandoned && it.first_token_ms == 0 ? 1 : 0;
        unfinished += it.end == outcome::pending ? 1 : 0;
        if (it.end == outcome::refused)
            count(refused, it.kind);
        if (it.end == outcome::failed)
            count(failed, it.kind);
    }
    const auto number_of = [](const json& kinds)
    {
        std::size_t sum = 0;
        for (const auto& it : kinds)
            sum += it.get<std::size_t>();
        return sum;
    };
    const auto admitted = list.size() - left - number_of(refused);
    const auto share = admitted == 0 ? 1.0
                                     : static_cast<double>(in_time) /
                                           static_cast<double>(admitted);
    return {{"requests", list.size()},
            {"in_time", in_time},
            {"late", late},
            {"left", left},
            {"left_without_token", left_without_token},
            {"unfinished", unfinished},
            {"refused", refused},
            {"refused_sum", number_of(refused)},
            {"failed", failed},
            {"failed_sum", number_of(failed)},
            {"in_time_of_admitted", share},
            {"completed_tokens", tokens},
            {"between_tokens_ms", percentiles(token_gaps(list))},
            {"first_token_ms", percentiles(first_token_times(list))}};
}

json bench_report::classes_of(const run_result& result) const
{
    json out = json::object();
    for (std::size_t n = 0; n < load_.bands.size(); ++n)
        out[load_.bands[n].name] =
            totals_of(select(result.records, [n](const request_record& it)
                             { return it.request.band == n; }));
    return out;
}

json bench_report::phases_of(const run_result& result) const
{
    json out = json::object();
    if (!result.options.withdraw_zone)
        return out;
    const auto third = static_cast<double>(load_.duration) / 3;
    const auto begin = static_cast<double>(load_.warm_up);
    constexpr const char* names[] = {"before", "away", "returned"};
    for (std::size_t n = 0; n < std::size(names); ++n)
    {
        const auto from = begin + static_cast<double>(n) * third;
        const auto in_phase = [=](const request_record& it)
        {
            return it.request.at_ms >= from && it.request.at_ms < from + third;
        };
        const auto list = select(result.records, in_phase);
        out[names[n]] = {
            {"all", totals_of(list)},
            {"short", totals_of(select(list, [](const request_record& it)
                                       { return it.request.band == 0; }))}};
    }
    return out;
}

void bench_report::add(const run_result& result)
{
    auto total = totals_of(result.records);
    const auto tokens_per_s = total["completed_tokens"].get<double>() /
                              static_cast<double>(load_.duration) * ms_per_s;
    const auto& engines = result.engines;
    auto free = result.memory_free_after_ms;
    std::sort(free.begin(), free.end());
    document_["runs"].push_back(
        {{"placement", result.options.placement},
         {"seed", result.options.seed},
         {"short_only", result.options.short_only},
         {"zone_leaves", result.options.withdraw_zone},
         {"total", total},
         {"completed_tokens_per_s", std::round(tokens_per_s)},
         {"classes", classes_of(result)},
         {"phases", phases_of(result)},
         {"prefill_tokens", engines.prefill_tokens},
         {"wasted_prefill_tokens", engines.wasted_prefill_tokens},
         {"collapses", engines.collapses},
         {"peak_on_cold_engine", engines.peak_on_cold},
         {"memory_all_free_at_end", result.memory_all_free},
         {"free_after_leaving_wall_ms", free}});
}

double bench_report::short_alone_p95(const json& run) const
{
    const auto& first = load_.bands.front().name;
    for (const auto& it : document_["runs"])
    {
        if (it["short_only"] && it["placement"] == run["placement"] &&
            it["seed"] == run["seed"])
            return it["classes"][first]["first_token_ms"]["p95"];
    }
    return 0;
}

std::string bench_report::class_rows(const json& run) const
{
    std::string out;
    const double alone = run["short_only"] ? 0 : short_alone_p95(run);
    for (std::size_t n = 0; n < load_.bands.size(); ++n)
    {
        const auto& it = run["classes"][load_.bands[n].name];
        if (it["requests"] == 0)
            continue;
        const auto& first = it["first_token_ms"];
        const double p95 = first["p95"];
        out += fmt::format(
            "{:<18}{:>5} {:<7}{:>6}{:>8.0f}{:>8.0f}{:>8.0f}{:>7}{:>8}{:>6}{:>6}"
            "{:>6}{:>6}{:>7.1f}\n",
            n == 0 ? run["placement"].get<std::string>() +
                         (run["short_only"] ? " -" : "")
                   : "",
            n == 0 ? std::to_string(run["seed"].get<std::uint64_t>()) : "",
            load_.bands[n].name, it["requests"].get<int>(),
            first["p50"].get<double>(), p95, first["p99"].get<double>(),
            n == 0 && alone > 0 ? fmt::format("{:.2f}", p95 / alone) : "",
            it["in_time"].get<int>(), it["late"].get<int>(),
            it["refused_sum"].get<int>(), it["failed_sum"].get<int>(),
            it["unfinished"].get<int>(),
            it["between_tokens_ms"]["p95"].get<double>());
    }
    out += fmt::format(
        "{:>18} {:.0f} completed tokens/s, wasted prefill {:.0f}%, refused {}, "
        "failed {}, collapses {}, peak on cold {}, memory free {}\n",
        "", run["completed_tokens_per_s"].get<double>(),
        100.0 * run["wasted_prefill_tokens"].get<double>() /
            std::max(1.0, run["prefill_tokens"].get<double>()),
        run["total"]["refused"].dump(), run["total"]["failed"].dump(),
        run["collapses"].get<int>(), run["peak_on_cold_engine"].get<int>(),
        run["memory_all_free_at_end"].get<bool>());
    const auto& free = run["free_after_leaving_wall_ms"];
    if (!free.empty())
        out += fmt::format("{:>18} memory free after leaving (wall, {} probes):"
                           " median {:.1f} ms, longest {:.1f} ms\n",
                           "", free.size(), free[free.size() / 2].get<double>(),
                           free.back().get<double>());
    return out;
}

std::string bench_report::phase_rows(const json& run) const
{
    std::string out;
    for (const auto* name : {"before", "away", "returned"})
    {
        if (!run["phases"].contains(name))
            continue;
        const auto& all = run["phases"][name]["all"];
        const auto& first = run["phases"][name]["short"];
        out += fmt::format(
            "{:>18} zone {:<9} answered in time {:.1f}% of admitted; refused "
            "{}; failed {}; short: p95 {:.0f} ms, refused {}, failed {}\n",
            "", name, 100.0 * all["in_time_of_admitted"].get<double>(),
            all["refused"].dump(), all["failed"].dump(),
            first["first_token_ms"]["p95"].get<double>(),
            first["refused"].dump(), first["failed"].dump());
    }
    return out;
}

std::string bench_report::table() const
{
    auto out = fmt::format(
        "{}: {} engines, {:.1f} requests/s, time scale {} (all times are model "
        "time: wall-clock time x {}); zone delay not simulated\n"
        "{:<18}{:>5} {:<7}{:>6}{:>8}{:>8}{:>8}{:>7}{:>8}{:>6}{:>6}{:>6}{:>6}"
        "{:>7}\n",
        load_.name, load_.engines, load_.requests_per_s, load_.time_scale,
        load_.time_scale, "policy (- alone)", "seed", "class", "n", "p50",
        "p95", "p99", "slow", "in time", "late", "refsd", "faild", "open",
        "gap95");
    for (const auto& it : document_["runs"])
        out += class_rows(it) + phase_rows(it);
    return out;
}

} // namespace galenapulley::bench
