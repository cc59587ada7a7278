#include "standins/engine_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace galenapulley;
using namespace galenapulley::standins;

namespace
{

struct recording_sink final : job_sink
{
    std::int64_t next = 0;
    bool in_order = true;
    bool finished = false;
    bool cancelled = false;

    void on_tokens(std::int64_t begin, std::int64_t end) override
    {
        in_order = in_order && begin == next;
        next = end;
    }
    void on_finished() override { finished = true; }
    void on_cancelled() override { cancelled = true; }
};

struct fixture
{
    static constexpr msec step_ms = 4;

    explicit fixture(engine_options options = small_engine())
        : engine(std::move(options), 0)
    {
    }

    static engine_options small_engine()
    {
        engine_options options;
        options.kv_tokens = 1000;
        options.slots = 4;
        options.prefill_tokens_per_s = 1000;
        options.decode_tokens_per_s = 100;
        return options;
    }

    static job_request request(std::int64_t prompt_tokens,
                               std::int64_t max_tokens,
                               const std::string& id = "r")
    {
        job_request job;
        job.request_id = id;
        job.prompt_tokens = prompt_tokens;
        job.max_tokens = max_tokens;
        return job;
    }

    engine_simulation::job_id submit(const job_request& job)
    {
        sink = std::make_shared<recording_sink>();
        return engine.submit(job, sink, now);
    }

    void run(msec duration)
    {
        for (const auto end = now + duration; now < end;)
        {
            now += step_ms;
            engine.step(now);
        }
    }

    msec now = 0;
    engine_simulation engine;
    std::shared_ptr<recording_sink> sink;
};

} // namespace

// Guards against tokens lost or repeated between steps, and against memory
// that stays allocated after a job finished.
BOOST_AUTO_TEST_CASE(completion_delivers_all_tokens_and_frees_memory)
{
    fixture f;
    f.submit(fixture::request(100, 20));
    BOOST_TEST(f.engine.memory().used() == 120);
    f.run(1000);
    BOOST_TEST(f.sink->finished);
    BOOST_TEST(f.sink->in_order);
    BOOST_TEST(f.sink->next == 20);
    BOOST_TEST(f.engine.memory().used() == 0);
}

// Guards against a cancelled or disconnected request that keeps its memory:
// tests for memory leaked by a node rely on the engine itself not leaking. The
// HTTP layer maps a disconnect to cancel().
BOOST_AUTO_TEST_CASE(cancel_frees_memory_at_once)
{
    fixture f;
    const auto id = f.submit(fixture::request(500, 100));
    f.run(100);
    BOOST_TEST(f.engine.cancel(id));
    BOOST_TEST(f.sink->cancelled);
    BOOST_TEST(f.engine.memory().used() == 0);
    BOOST_TEST(f.engine.counts().wasted_prefill_tokens > 0);
    BOOST_TEST(!f.engine.cancel(id));

    f.submit(fixture::request(500, 100, "other"));
    BOOST_TEST(f.engine.cancel_request("r") == 0);
    BOOST_TEST(f.engine.cancel_request("other") == 1);
    BOOST_TEST(f.engine.memory().used() == 0);
}

// Guards against a request that runs without memory, and against one that
// waits forever although memory became free.
BOOST_AUTO_TEST_CASE(request_without_memory_waits)
{
    fixture f;
    const auto first = f.submit(fixture::request(700, 100));
    f.submit(fixture::request(300, 10));
    const auto second = f.sink;
    f.run(400);
    BOOST_TEST(second->next == 0);
    BOOST_TEST(f.engine.current_load(f.now).waiting == 1);
    f.engine.cancel(first);
    f.run(1000);
    BOOST_TEST(second->finished);
    BOOST_TEST(f.submit(fixture::request(1000, 1)) == 0);
}

// Guards against reservations that expire by themselves: the tests of the
// nodes' reservation sweeper would then pass without a sweeper.
BOOST_AUTO_TEST_CASE(reservation_stays_until_released)
{
    fixture f;
    auto& memory = f.engine.memory();
    BOOST_TEST(memory.reserve("n1.1.1", 600, 100, f.now));
    BOOST_TEST(!memory.reserve("n1.1.2", 600, 100, f.now));
    f.run(60'000);
    BOOST_TEST(memory.used() == 600);
    BOOST_TEST(f.engine.release("n1.1.1"));
    BOOST_TEST(!f.engine.release("n1.1.1"));
    BOOST_TEST(memory.used() == 0);
}

// Guards against a job that continues after its reservation was released.
BOOST_AUTO_TEST_CASE(release_ends_the_jobs_of_the_reservation)
{
    fixture f;
    f.engine.memory().reserve("s", 600, 100, f.now);
    auto job = fixture::request(500, 0);
    job.reservation = "s";
    f.submit(job);
    f.run(100);
    f.engine.release("s");
    BOOST_TEST(f.sink->cancelled);
    BOOST_TEST(f.engine.idle());
    BOOST_TEST(f.engine.memory().used() == 0);
    BOOST_TEST(f.submit(job) == 0);
}

// Guards against a segment that is reported as prefilled before import and
// prefill have ended.
BOOST_AUTO_TEST_CASE(segment_is_prefilled_after_import_and_prefill)
{
    fixture f;
    f.engine.memory().reserve("s", 600, 100, f.now);
    auto job = fixture::request(500, 0);
    job.reservation = "s";
    job.import_tokens = 1000;
    f.submit(job);
    // 1000 tokens of import at 10,000/s and 500 of prefill at 1,000/s.
    f.run(580);
    BOOST_TEST(!f.engine.memory().find("s")->prefilled);
    f.run(40);
    BOOST_TEST(f.engine.memory().find("s")->prefilled);
    BOOST_TEST(f.engine.memory().find("s")->prefilled_tokens == 500);
    BOOST_TEST(f.engine.memory().used() == 600);
}

// Guards against a cold engine that sustains any load: tests of the load limit
// for cold engines could then not fail.
BOOST_AUTO_TEST_CASE(cold_engine_collapses_above_its_limit)
{
    auto options = fixture::small_engine();
    options.start_cold = true;
    options.cold_slots = 2;
    fixture f(options);
    f.submit(fixture::request(10, 50));
    f.submit(fixture::request(10, 50));
    f.run(100);
    BOOST_TEST(f.engine.counts().collapses == 0);
    f.submit(fixture::request(10, 50));
    BOOST_TEST(f.engine.counts().collapses == 1);
    BOOST_TEST(f.engine.counts().peak_concurrent_while_cold == 3);
    const auto last = f.sink;
    // At full speed 50 tokens take 0.5 s.
    f.run(3000);
    BOOST_TEST(!last->finished);
    f.run(4000);
    BOOST_TEST(last->finished);
    BOOST_TEST(f.engine.idle());

    // Once the engine was idle, it runs at full speed again.
    f.submit(fixture::request(10, 50));
    f.run(700);
    BOOST_TEST(f.sink->finished);
    BOOST_TEST(f.engine.counts().collapses == 1);
}

// Guards against an engine that never warms up, or warms up without work.
BOOST_AUTO_TEST_CASE(cold_engine_warms_up_under_light_load)
{
    auto options = fixture::small_engine();
    options.start_cold = true;
    options.warm_after_ms = 1000;
    fixture f(options);
    f.run(5000);
    BOOST_TEST(f.engine.current_load(f.now).cold);
    f.submit(fixture::request(10, 200));
    f.run(1100);
    BOOST_TEST(!f.engine.current_load(f.now).cold);
    f.engine.turn_cold();
    BOOST_TEST(f.engine.current_load(f.now).cold);
}

// Guards against a load report without lag: a node that wrongly relies on
// current reports would pass its tests.
BOOST_AUTO_TEST_CASE(load_report_lags)
{
    fixture f;
    f.run(1000);
    f.submit(fixture::request(900, 10));
    f.run(100);
    BOOST_TEST(f.engine.reported_load(f.now).running == 0);
    f.run(200);
    const auto load = f.engine.reported_load(f.now);
    BOOST_TEST(load.running == 1);
    BOOST_TEST(f.now - load.at >= 200);
    BOOST_TEST(f.now - load.at < 260);
}

// Guards against prefill that ignores priorities and goes by arrival only.
BOOST_AUTO_TEST_CASE(higher_priority_is_prefilled_first)
{
    fixture f;
    auto low = fixture::request(600, 10);
    low.priority = 2;
    f.submit(low);
    const auto low_sink = f.sink;
    f.run(50);
    f.submit(fixture::request(100, 10));
    const auto high_sink = f.sink;
    f.run(400);
    BOOST_TEST(high_sink->finished);
    BOOST_TEST(low_sink->next == 0);
}

// Guards against a resumed stream that repeats events the client already has.
BOOST_AUTO_TEST_CASE(resume_skips_events)
{
    fixture f;
    auto job = fixture::request(10, 20);
    job.resume_from = 12;
    f.submit(job);
    f.sink->next = 12;
    f.run(500);
    BOOST_TEST(f.sink->in_order);
    BOOST_TEST(f.sink->next == 20);
    BOOST_TEST(f.sink->finished);
}

// Guards against a prefix cache without effect, without a size limit, or
// without gaps in its events.
BOOST_AUTO_TEST_CASE(cached_prefix_makes_prefill_cheaper)
{
    prefix_cache cache(16 * 4096 / 5 + 1);
    const std::string prompt(std::size_t{10} * 4096, 'a');
    const auto keys = prefix_cache::block_keys(prompt);
    BOOST_TEST(keys.size() == 10);
    BOOST_TEST(cache.cached_tokens(keys) == 0);
    cache.insert(keys, 0);
    BOOST_TEST(cache.cached_tokens(keys) == 8192);

    auto other = prompt;
    other[4096] = 'b';
    const auto other_keys = prefix_cache::block_keys(other);
    BOOST_TEST(cache.cached_tokens(other_keys) == 819);
    cache.insert(other_keys, 0);
    BOOST_TEST(cache.cached_tokens(keys) < 8192);

    BOOST_TEST(cache.events(0, prefix_cache::event_delay_ms - 1).empty());
    const auto events = cache.events(0, prefix_cache::event_delay_ms);
    BOOST_TEST(!events.empty());
    BOOST_TEST(events.back().sequence > events.size());
}

// Guards against a crashing prompt that crashes the engine while the request
// is still waiting, or not at all.
BOOST_AUTO_TEST_CASE(crashing_prompt_crashes_when_it_is_prefilled)
{
    int crashes = 0;
    auto options = fixture::small_engine();
    options.crash = [&crashes]
    {
        ++crashes;
    };
    fixture f(options);
    const auto first = f.submit(fixture::request(900, 10));
    auto job = fixture::request(200, 10);
    job.crashes = true;
    f.submit(job);
    f.run(100);
    BOOST_TEST(crashes == 0);
    f.engine.cancel(first);
    f.run(50);
    BOOST_TEST(crashes == 1);
}
