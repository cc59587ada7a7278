#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>

namespace galenapulley::bench
{

using nlohmann::json;

namespace
{

length_band read_band(const json& in)
{
    return {.name = in.at("class"),
            .from_tokens = in.at("from"),
            .to_tokens = in.at("to"),
            .share = in.at("share"),
            .deadline = in.at("deadline_ms"),
            .reserved_percent = in.at("reserved_percent")};
}

void read_engines(const json& in, workload& out)
{
    out.engines = in.at("engines");
    out.time_scale = in.at("time_scale");
    out.prefill_tokens_per_s = in.at("prefill_tokens_per_s");
    out.decode_tokens_per_s = in.at("decode_tokens_per_s");
    out.kv_tokens = in.at("kv_tokens");
    out.slots = in.at("slots");
    out.cold_slots = in.at("cold_slots");
    out.warm_after = in.at("warm_after_ms");
}

void read_callers(const json& in, workload& out)
{
    out.requests_per_s = in.at("requests_per_s");
    out.output_from = in.at("output_tokens").at("from");
    out.output_to = in.at("output_tokens").at("to");
    out.abandon_share = in.at("leavers").at("share");
    out.abandon_mean_ms = in.at("leavers").at("mean_ms");
    const auto& customers = in.at("customers");
    out.large_customers = customers.at("large");
    out.small_customers = customers.at("small");
    out.large_share = customers.at("large_share");
    out.max_in_flight = customers.at("max_in_flight");
}

/// Draws the requests of one arrival list.
class arrival_source
{
public:
    arrival_source(const workload& load, std::uint64_t seed)
        : load_(load), random_(seed)
    {
    }

    double gap_ms()
    {
        constexpr double ms_per_s = 1000;
        return exponential(ms_per_s / load_.requests_per_s);
    }

    arrival draw(double at_ms)
    {
        arrival it;
        it.at_ms = at_ms;
        it.band = draw_band();
        const auto& band = load_.bands[it.band];
        it.prompt_tokens = log_uniform(band.from_tokens, band.to_tokens);
        it.output_tokens = log_uniform(load_.output_from, load_.output_to);
        it.customer = draw_customer();
        it.entry = static_cast<std::uint32_t>(random_() >> 33U);
        it.seed = random_();
        const bool abandons = uniform() < load_.abandon_share;
        const auto abandon_after = exponential(load_.abandon_mean_ms);
        if (abandons)
            it.abandon_after_ms = std::max(1.0, abandon_after);
        return it;
    }

private:
    // The standard distributions differ between libraries: the same seed would
    // give another arrival list elsewhere.
    double uniform()
    {
        constexpr double range = 9007199254740992.0; // 2^53
        return static_cast<double>(random_() >> 11U) / range;
    }

    double exponential(double mean) { return -mean * std::log1p(-uniform()); }

    std::uint32_t log_uniform(double from, double to)
    {
        return static_cast<std::uint32_t>(from *
                                          std::pow(to / from, uniform()));
    }

    std::size_t draw_band()
    {
        auto left = uniform();
        for (std::size_t n = 0; n + 1 < load_.bands.size(); ++n)
        {
            left -= load_.bands[n].share;
            if (left < 0)
                return n;
        }
        return load_.bands.size() - 1;
    }

    std::size_t draw_customer()
    {
        const bool large = uniform() < load_.large_share;
        const auto n = random_();
        return large ? n % load_.large_customers
                     : load_.large_customers + n % load_.small_customers;
    }

    const workload& load_;
    std::mt19937_64 random_;
};

} // namespace

workload read_workload(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    const auto in = json::parse(file);
    workload out;
    out.name = in.at("name");
    out.zones = in.at("zones");
    out.nodes_per_zone = in.at("nodes_per_zone");
    out.one_way_between_zones_ms = in.at("one_way_between_zones_ms");
    out.warm_up = in.at("warm_up_ms");
    out.duration = in.at("duration_ms");
    out.drain = in.at("drain_ms");
    for (const auto& it : in.at("lengths"))
        out.bands.push_back(read_band(it));
    read_engines(in, out);
    read_callers(in, out);
    return out;
}

std::vector<arrival> make_arrivals(const workload& load, std::uint64_t seed)
{
    arrival_source source(load, seed);
    const auto end = static_cast<double>(load.warm_up + load.duration);
    std::vector<arrival> list;
    for (auto at = source.gap_ms(); at < end; at += source.gap_ms())
        list.push_back(source.draw(at));
    return list;
}

std::vector<arrival> only_first_band(const std::vector<arrival>& all)
{
    std::vector<arrival> list;
    std::copy_if(all.begin(), all.end(), std::back_inserter(list),
                 [](const arrival& it) { return it.band == 0; });
    return list;
}

} // namespace galenapulley::bench
