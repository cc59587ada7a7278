#include "bench_run.hpp"

#include "node/token_hash.hpp"
#include "support/child_process.hpp"
#include "support/process_fleet.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

namespace galenapulley::bench
{

using nlohmann::json;
using testing::process_fleet;

namespace
{

/// Index of the zone that is withdrawn. Starting the fleet doesn't involve it.
constexpr std::size_t withdrawn_zone = 1;
constexpr msec memory_free_timeout = 3'000;
constexpr std::uint32_t probe_prompt_tokens = 50'000;
constexpr std::uint32_t probe_output_tokens = 2'000;

std::string token_of(std::size_t customer)
{
    return "customer-token-" + std::to_string(customer);
}

msec to_wall(msec model, const workload& load)
{
    return std::max<msec>(
        1, static_cast<msec>(static_cast<double>(model) / load.time_scale));
}

json document_fields(const workload& load)
{
    json classes = json::array();
    for (const auto& it : load.bands)
        classes.push_back({{"name", it.name},
                           {"up_to_tokens", it.to_tokens},
                           {"deadline_ms", to_wall(it.deadline, load)},
                           {"reserved_percent", it.reserved_percent}});
    json customers = json::array();
    for (std::size_t n = 0; n < load.customers(); ++n)
        customers.push_back({{"name", "customer-" + std::to_string(n)},
                             {"token_sha256", token_hash(token_of(n))},
                             {"max_in_flight", load.max_in_flight}});
    return {{"classes", classes}, {"customers", customers}};
}

std::vector<std::string> engine_args(const workload& load)
{
    const auto text = [](auto value)
    {
        return std::to_string(value);
    };
    constexpr double ms_per_s = 1000;
    return {
        "--kv-tokens",
        text(load.kv_tokens),
        "--slots",
        text(load.slots),
        "--cold-slots",
        text(load.cold_slots),
        "--prefill-tokens-per-s",
        text(load.prefill_tokens_per_s),
        "--decode-tokens-per-s",
        text(load.decode_tokens_per_s),
        "--time-scale",
        text(load.time_scale),
        "--warm-after-s",
        text(static_cast<double>(load.warm_after) / load.time_scale / ms_per_s),
        "--workers",
        "1"};
}

} // namespace

bench_run::bench_run(const workload& load, run_options options)
    : load_(load), options_(std::move(options))
{
}

bench_run::~bench_run() = default;

void bench_run::start_fleet()
{
    testing::fleet_options options;
    options.zones = load_.zones;
    options.engines = load_.engines;
    options.plains_per_zone = 0;
    options.nodes_per_zone = load_.nodes_per_zone;
    options.engine_args = engine_args(load_);
    options.slots = load_.slots;
    options.cold_slots = load_.cold_slots;
    options.kv_tokens = load_.kv_tokens;
    options.placement = options_.placement;
    options.drafting = document_fields(load_);
    fleet_ = std::make_unique<process_fleet>(std::move(options));
    fleet_->install();
}

engine_totals bench_run::read_engines()
{
    engine_totals sum;
    for (std::size_t n = 0; n < fleet_->engines(); ++n)
    {
        const auto now = fleet_->stats(fleet_->engine_address(n));
        sum.prefill_tokens += now.value("prefill_tokens", std::int64_t{0});
        sum.wasted_prefill_tokens +=
            now.value("wasted_prefill_tokens", std::int64_t{0});
        sum.collapses += now.value("collapses", std::int64_t{0});
        sum.peak_on_cold =
            std::max(sum.peak_on_cold,
                     now.value("peak_concurrent_while_cold", std::int64_t{0}));
        sum.kv_used += now.value("kv_used", std::int64_t{0});
        sum.reservations += now.value("reservations", std::int64_t{0});
    }
    return sum;
}

void bench_run::return_zone()
{
    // Turn its engines cold: engines that were away have lost their state.
    for (std::size_t n = 0; n < fleet_->engines(); ++n)
    {
        if (fleet_->engine_zone(n) == process_fleet::zone_name(withdrawn_zone))
            fleet_->control(fleet_->engine_address(n), {{"turn_cold", true}});
    }
    fleet_->post_admin(0, "zones/" + process_fleet::zone_name(withdrawn_zone) +
                              "/return");
}

std::vector<timed_action> bench_run::actions()
{
    std::vector<timed_action> list;
    const auto begin = static_cast<double>(load_.warm_up);
    const auto third = static_cast<double>(load_.duration) / 3;
    list.push_back({begin, [this]
                    {
                        before_ = read_engines();
                    }});
    if (!options_.withdraw_zone)
        return list;
    list.push_back({begin + third, [this]
                    {
                        fleet_->post_admin(
                            0, "zones/" +
                                   process_fleet::zone_name(withdrawn_zone) +
                                   "/withdraw");
                    }});
    list.push_back({begin + 2 * third, [this]
                    {
                        return_zone();
                    }});
    return list;
}

bool bench_run::wait_memory_free()
{
    return process_fleet::wait_until(
        [this]
        {
            const auto now = read_engines();
            return now.kv_used == 0 && now.reservations == 0;
        },
        memory_free_timeout);
}

double bench_run::probe_abandon(std::uint64_t seed)
{
    using wall_clock = std::chrono::steady_clock;
    const json body{{"model", "drafter"},
                    {"prompt", testing::make_prompt(probe_prompt_tokens, seed)},
                    {"max_tokens", probe_output_tokens},
                    {"stream", true}};
    const auto call =
        fleet_->start_call("POST", fleet_->node_address(seed % fleet_->nodes()),
                           "/services/drafting/v1/completions", body.dump(),
                           {{"Authorization", "Bearer " + token_of(0)},
                            {"Content-Type", "application/json"}});
    std::string engine;
    const bool started = process_fleet::wait_until(
        [&]
        {
            for (std::size_t n = 0; n < fleet_->engines(); ++n)
            {
                if (fleet_->stats(fleet_->engine_address(n))
                        .value("kv_used", 0) > 0)
                    engine = fleet_->engine_address(n);
            }
            return !engine.empty();
        },
        memory_free_timeout);
    if (!started)
        return -1;
    const auto left = wall_clock::now();
    fleet_->abandon(call);
    const auto end = left + std::chrono::milliseconds(memory_free_timeout);
    while (wall_clock::now() < end)
    {
        if (fleet_->stats(engine).value("kv_used", 1) == 0)
            return std::chrono::duration<double, std::milli>(wall_clock::now() -
                                                             left)
                .count();
    }
    return -1;
}

run_result bench_run::execute(const std::function<void()>& started)
{
    {
        // Fleets allocate free ports, so they are started one at a time.
        static std::mutex starting;
        const std::lock_guard lock(starting);
        start_fleet();
    }
    if (started)
        started();
    std::vector<std::string> nodes;
    for (std::size_t n = 0; n < fleet_->nodes(); ++n)
        nodes.push_back(fleet_->node_address(n));
    std::vector<std::string> tokens;
    for (std::size_t n = 0; n < load_.customers(); ++n)
        tokens.push_back(token_of(n));
    auto arrivals = make_arrivals(load_, options_.seed);
    if (options_.short_only)
        arrivals = only_first_band(arrivals);

    run_result result;
    result.options = options_;
    load_generator generator(load_.time_scale, nodes, tokens);
    result.records = generator.run(arrivals, actions(), load_.drain);
    std::erase_if(
        result.records, [this](const request_record& it)
        { return it.request.at_ms < static_cast<double>(load_.warm_up); });
    result.memory_all_free = wait_memory_free();
    result.engines = read_engines();
    result.engines.prefill_tokens -= before_.prefill_tokens;
    result.engines.wasted_prefill_tokens -= before_.wasted_prefill_tokens;
    for (std::size_t n = 0; n < options_.abandon_probes; ++n)
        result.memory_free_after_ms.push_back(probe_abandon(n));
    fleet_.reset();
    return result;
}

} // namespace galenapulley::bench
