#include "galenapulley/admission/wait_forecast.hpp"

#include "galenapulley/fleet_load.hpp"
#include "standins/engine_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace galenapulley;
using standins::engine_simulation;

namespace
{

constexpr std::uint32_t slots = 8;
constexpr double prefill_tokens_per_ms = 20;
constexpr std::int64_t output_tokens = 20;
constexpr std::size_t engine_count = 3;

/// Records when the first token of a job arrives and that it has ended.
struct recording_sink final : standins::job_sink
{
    bool began = false;
    bool ended = false;

    void on_tokens(std::int64_t, std::int64_t) override { began = true; }
    void on_finished() override { ended = true; }
    void on_cancelled() override { ended = true; }
};

struct job
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    std::size_t engine = 0;
    msec arrived_at = 0;
    double expected_ms = 0;
    bool waited = false;
    bool is_known = false;
    bool had_token = false;
    std::shared_ptr<recording_sink> sink = std::make_shared<recording_sink>();

    double prefill_ms() const
    {
        return static_cast<double>(tokens) / prefill_tokens_per_ms;
    }
    forecast_request request() const
    {
        return {.id = id,
                .service = "svc",
                .length = length_of(prefill_ms(), 100),
                .prefill_ms = prefill_ms(),
                .pass_ms = 25};
    }
};

/// Engines behind a queue in order of arrival, in simulated time.
struct simulated_fleet
{
    std::vector<engine_simulation> engines;
    fleet_load load;
    wait_forecast target;
    std::deque<job> waiting;
    std::vector<job> running;
    std::vector<double> errors;
    std::mt19937 random;

    explicit simulated_fleet(unsigned seed) : random(seed)
    {
        for (std::size_t n = 0; n < engine_count; ++n)
            engines.emplace_back(
                standins::engine_options{.slots = static_cast<int>(slots),
                                         .prefill_tokens_per_s =
                                             1000 * prefill_tokens_per_ms,
                                         .decode_tokens_per_s = 40},
                0);
    }

    std::vector<endpoint_room> rooms(msec now) const
    {
        std::vector<endpoint_room> out;
        for (std::size_t n = 0; n < engine_count; ++n)
        {
            const auto it = load.load_of(n + 1, now);
            out.push_back({.slots = slots,
                           .running = it.running,
                           .backlog_ms = it.backlog_ms});
        }
        return out;
    }

    void arrive(std::uint64_t id, msec now)
    {
        job it{.id = id,
               .tokens = std::uniform_int_distribution<std::int64_t>(500, 4000)(
                   random),
               .arrived_at = now};
        const auto made = target.forecast(it.request(), rooms(now));
        it.expected_ms = made.expected_ms;
        it.is_known = made.is_known;
        target.on_waiting(it.request(), made, now);
        waiting.push_back(std::move(it));
    }

    void place(msec now)
    {
        while (!waiting.empty())
        {
            const auto all = rooms(now);
            const auto best =
                std::min_element(all.begin(), all.end(),
                                 [](const auto& a, const auto& b)
                                 { return a.running < b.running; });
            if (best->running >= slots)
                return;
            auto it = std::move(waiting.front());
            waiting.pop_front();
            it.engine = static_cast<std::size_t>(best - all.begin());
            it.waited = now > it.arrived_at;
            engines[it.engine].submit(
                {.prompt_tokens = it.tokens, .max_tokens = output_tokens},
                it.sink, now);
            load.add({.request = it.id,
                      .endpoints = {it.engine + 1},
                      .segment_ms = it.prefill_ms()},
                     now);
            target.on_placed(it.id, "svc", now);
            running.push_back(std::move(it));
        }
    }

    void observe(msec now)
    {
        for (auto& it : running)
        {
            if (it.sink->began && !it.had_token)
            {
                it.had_token = true;
                load.on_first_token(it.id, now);
                target.on_first_token(it.id, now);
                const auto observed = static_cast<double>(now - it.arrived_at);
                if (it.waited && it.is_known)
                    errors.push_back(std::abs(observed - it.expected_ms) /
                                     observed);
            }
            if (it.sink->ended)
            {
                load.remove(it.id, now);
                target.on_ended(it.id, now);
            }
        }
        std::erase_if(running, [](const job& it) { return it.sink->ended; });
    }

    /// Bursts above the capacity alternate with a load below it.
    void run(msec length)
    {
        std::uint64_t id = 0;
        for (msec now = 1; now < length; ++now)
        {
            const double per_second = now / 5000 % 2 == 0 ? 45 : 10;
            if (std::bernoulli_distribution(per_second / 1000)(random))
                arrive(++id, now);
            for (auto& it : engines)
                it.step(now);
            observe(now);
            place(now);
        }
    }
};

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1)));
}

} // namespace

// Guards against forecasts that are far off: requests would be refused that
// could have been served, or held that could not.
BOOST_AUTO_TEST_CASE(forecasts_are_near_the_simulated_engines)
{
    for (const unsigned seed : {1U, 2U, 3U})
    {
        simulated_fleet fleet(seed);
        fleet.run(60'000);
        BOOST_TEST_REQUIRE(fleet.errors.size() > 200U);
        const auto median = quantile(fleet.errors, 0.5);
        const auto p95 = quantile(fleet.errors, 0.95);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << fleet.errors.size()
                                   << " forecasts, error median " << median
                                   << ", p95 " << p95);
        BOOST_TEST(median < 0.25);
        BOOST_TEST(p95 < 1.0);
    }
}

BOOST_AUTO_TEST_CASE(an_idle_endpoint_means_no_wait)
{
    const wait_forecast target;
    const std::vector<endpoint_room> idle{{.slots = 2}};
    const auto made = target.forecast(
        {.service = "svc", .prefill_ms = 40, .pass_ms = 10}, idle);
    BOOST_TEST(made.has_free_slot);
    BOOST_TEST(made.wait_ms == 0);
    BOOST_TEST(made.expected_ms == 50);
}

// Guards against forecasts that ignore the requests that wait already.
BOOST_AUTO_TEST_CASE(requests_ahead_lengthen_the_wait)
{
    wait_forecast target;
    const std::vector<endpoint_room> full{{.slots = 1, .running = 1}};
    target.on_placed(1, "svc", 0);
    target.on_ended(1, 200);
    const forecast_request item{.id = 2, .service = "svc", .prefill_ms = 10};
    const auto alone = target.forecast(item, full);
    target.on_waiting(item, alone, 200);
    const auto behind =
        target.forecast({.id = 3, .service = "svc", .prefill_ms = 10}, full);
    BOOST_TEST(alone.wait_ms == 200);
    BOOST_TEST(behind.wait_ms == 400);
}

// Guards against state that is kept of requests that have ended.
BOOST_AUTO_TEST_CASE(ended_requests_leave_no_state)
{
    wait_forecast target;
    for (std::uint64_t id = 1; id <= 3; ++id)
        target.on_waiting({.id = id, .service = "svc"}, {}, 0);
    target.on_dropped(1);
    target.on_placed(2, "svc", 0);
    target.on_placed(3, "svc", 0);
    target.on_first_token(3, 10);
    target.on_ended(2, 20);
    target.on_ended(3, 20);
    BOOST_TEST(target.size() == 0U);
}
