#include "galenapulley/admission/service_time.hpp"
#include "galenapulley/placement_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <unordered_map>

using namespace galenapulley;

namespace
{

constexpr engine_profile engine{.slots = 12,
                                .memory_tokens = 400'000,
                                .step_ms = 1,
                                .decode_ms_per_request = 0.005,
                                .context_ms_per_1k = 0.0025,
                                .prefill_tokens_per_ms = 200,
                                .chunk_tokens = 2048,
                                .steps_per_pass = 50};
constexpr double prompt_tokens = 5000;
constexpr msec target = 300;
constexpr msec deadline = 10'000;

/// Replays an interruption during which requests queue up, after which the
/// engines start one request every 8 ms; returns the number of requests whose
/// first token is in time. `min_service_time` is what the queue is told.
int replay(msec min_service_time)
{
    constexpr msec interruption = 700;
    constexpr msec duration = 6'000;
    constexpr msec arrival_period = 10;
    constexpr msec start_period = 8;
    const auto first_token =
        static_cast<msec>(busy_first_token_ms(engine, prompt_tokens, 1));
    placement_queue queue;
    std::unordered_map<std::uint64_t, msec> due;
    std::uint64_t next = 0;
    int in_time = 0;
    for (msec now = 0; now < duration; ++now)
    {
        // Twice the usual requests arrive in the interruption.
        const msec period =
            now < interruption ? arrival_period / 2 : arrival_period;
        if (now % period == 0)
        {
            due.emplace(next, now + target);
            queue.add({.request = next++,
                       .received_at = now,
                       .first_token_due_at = now + target,
                       .deadline = now + deadline,
                       .min_service_time = min_service_time});
        }
        if (now < interruption || now % start_period != 0 || queue.empty())
            continue;
        const auto started = queue.ordered(now).front();
        queue.remove(started);
        in_time += now + first_token <= due.at(started) ? 1 : 0;
    }
    return in_time;
}

} // namespace

BOOST_AUTO_TEST_CASE(busy_engines_take_longer_than_idle_ones)
{
    const auto whole = busy_first_token_ms(engine, prompt_tokens, 1);
    BOOST_TEST(whole > engine.prefill_ms(prompt_tokens));
    BOOST_TEST(busy_first_token_ms(engine, prompt_tokens, 4) < whole);
    BOOST_TEST(busy_first_token_ms(engine, prompt_tokens, 0) == whole);
}

// Load: a backlog after an interruption, then somewhat less than the capacity.
// Guards against an order that keeps engines busy with requests that are late
// by little, while those behind them become late in turn.
BOOST_AUTO_TEST_CASE(a_backlog_does_not_make_later_requests_late)
{
    const auto idle = static_cast<msec>(engine.prefill_ms(prompt_tokens) / 16);
    const auto busy =
        static_cast<msec>(busy_first_token_ms(engine, prompt_tokens, 1));
    const int before = replay(idle);
    const int after = replay(busy);
    BOOST_TEST_MESSAGE("in time: " << before << " before, " << after
                                   << " after");
    // All but a few of the 530 requests that arrive after the interruption.
    constexpr int most_of_them = 500;
    BOOST_TEST(after >= most_of_them);
    BOOST_TEST(before < most_of_them);
}
