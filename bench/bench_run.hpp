#pragma once

#include "load_generator.hpp"
#include "workload.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenapulley::testing
{
class process_fleet;
}

namespace galenapulley::bench
{

struct run_options
{
    std::string placement;
    std::uint64_t seed = 0;
    /// Only the requests of the first length class.
    bool short_only = false;
    /// Withdraws a zone for the middle third of the measured time and returns
    /// it with cold engines.
    bool withdraw_zone = false;
    /// Number of requests that are abandoned one by one on the idle fleet after
    /// the load, to measure how fast their memory is released.
    std::size_t abandon_probes = 0;
};

/// Counters summed over the engines during the measured time.
struct engine_totals
{
    std::int64_t prefill_tokens = 0;
    std::int64_t wasted_prefill_tokens = 0;
    std::int64_t collapses = 0;
    /// Highest number of concurrent requests on one cold engine.
    std::int64_t peak_on_cold = 0;
    std::int64_t kv_used = 0;
    std::int64_t reservations = 0;
};

struct run_result
{
    run_options options;
    std::vector<request_record> records;
    engine_totals engines;
    /// Whether no KV memory and no reservation was held after the drain time.
    bool memory_all_free = false;
    /// Wall-clock time from the caller's disconnect until its KV memory is
    /// free, one per probe.
    std::vector<double> memory_free_after_ms;
};

/// Runs one placement policy with one arrival list on a fleet of its own.
class bench_run
{
public:
    bench_run(const workload& load, run_options options);
    ~bench_run();

    /// `started` is called between the start of the fleet and the load.
    run_result execute(const std::function<void()>& started = {});

private:
    void start_fleet();
    engine_totals read_engines();
    std::vector<timed_action> actions();
    void return_zone();
    bool wait_memory_free();
    double probe_abandon(std::uint64_t seed);

    const workload& load_;
    run_options options_;
    std::unique_ptr<testing::process_fleet> fleet_;
    engine_totals before_;
};

} // namespace galenapulley::bench
