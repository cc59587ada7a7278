// Every admitted request ends with a response or an error by its deadline.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time after the deadline by which a request must have ended.
constexpr msec deadline_margin = 2000_ms;

fleet_options options_with(std::uint32_t slots)
{
    return {.plains_per_zone = 0,
            .engine_args = {"--time-scale", "2"},
            .settings = {{"lease_ttl_ms", 3000}, {"lease_renew_ms", 1000}},
            .slots = slots,
            .cold_slots = slots};
}

struct fixture
{
    explicit fixture(std::uint32_t slots = 16) : fleet(options_with(slots))
    {
        fleet.install();
        fleet.wait_serving();
    }

    pending_call start(std::size_t node, std::uint64_t seed, msec deadline,
                       std::uint32_t max_tokens = 8)
    {
        return fleet.start_completion(
            node, make_prompt(2000, seed), max_tokens, false,
            {{"x-deadline-ms", std::to_string(deadline)}});
    }

    /// Waits for all calls; each must end by `end`, with the expected text or
    /// with an error. Returns the number of successful calls.
    std::size_t check_ended(std::vector<pending_call>& calls,
                            std::uint64_t first_seed, msec end,
                            std::uint32_t max_tokens = 8)
    {
        std::size_t succeeded = 0;
        for (std::size_t n = 0; n < calls.size(); ++n)
        {
            const auto remaining =
                std::chrono::milliseconds(std::max<msec>(0, end - time.now()));
            const bool ended = calls[n].result.wait_for(remaining) ==
                               std::future_status::ready;
            BOOST_TEST(ended);
            if (!ended)
            {
                fleet.abandon(calls[n]);
                continue;
            }
            const auto result = calls[n].result.get();
            if (result.status != 200)
            {
                BOOST_TEST(!error_field(result, "kind").empty());
                continue;
            }
            ++succeeded;
            const auto prompt = make_prompt(2000, first_seed + n);
            BOOST_TEST(
                (completion_text(result) == expected_text(prompt, max_tokens)));
        }
        return succeeded;
    }

    /// The node that owns most shards of the service.
    std::size_t busiest_owner()
    {
        std::size_t best = 0;
        std::size_t most = 0;
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
        {
            const auto now = fleet.status(n);
            const auto count = now.value("shards", nlohmann::json::array());
            if (count.size() > most)
            {
                most = count.size();
                best = n;
            }
        }
        return best;
    }

    boot_time_clock time;
    process_fleet fleet;
};

struct narrow_fixture : fixture
{
    narrow_fixture() : fixture(1) {}
};

} // namespace

// Guards against a request that waits indefinitely for engines that accept it
// but never respond, because they hang or are frozen (SIGSTOP).
BOOST_FIXTURE_TEST_CASE(engines_hang_or_freeze, fixture)
{
    constexpr msec deadline = 3000;
    for (const bool frozen : {false, true})
    {
        for (std::size_t n = 0; n < fleet.engines(); ++n)
            if (frozen)
                fleet.freeze_engine(n);
            else
                fleet.control(fleet.engine_address(n), {{"hang", true}});
        std::vector<pending_call> calls;
        const auto end = time.now() + deadline + deadline_margin;
        for (std::size_t n = 0; n < 12; ++n)
            calls.push_back(start(n % fleet.nodes(), 100 + n, deadline));
        BOOST_TEST(check_ended(calls, 100, end) == 0U);
        for (std::size_t n = 0; n < fleet.engines(); ++n)
            if (frozen)
                fleet.resume_engine(n);
            else
                fleet.control(fleet.engine_address(n), {{"hang", false}});
        const auto prompt = make_prompt(2000, frozen ? 2 : 1);
        const auto works = [&]
        {
            return fleet.complete(0, prompt).status == 200;
        };
        BOOST_TEST(process_fleet::wait_until(works, 10'000));
    }
}

// Guards against a failure of the caller's request when its engine dies before
// the first token although other engines are healthy.
BOOST_FIXTURE_TEST_CASE(engine_killed_during_prefill, fixture)
{
    for (std::uint64_t round = 0; round < 2; ++round)
    {
        const auto prompt = make_prompt(60'000, round);
        auto call = fleet.start_completion(round, prompt, 8, round == 1);
        std::size_t engine = fleet.engines();
        const auto runs = [&]
        {
            for (std::size_t n = 0; n < fleet.engines(); ++n)
            {
                const auto now = fleet.stats(fleet.engine_address(n));
                if (now.is_object() && now.value("running", 0) > 0)
                    engine = n;
            }
            return engine < fleet.engines();
        };
        BOOST_TEST_REQUIRE(process_fleet::wait_until(runs, 3000));
        fleet.kill_engine(engine);
        const auto result = call.result.get();
        BOOST_TEST(result.status == 200);
        bool complete = true;
        const auto text = round == 1 ? streamed_text(result, complete)
                                     : completion_text(result);
        BOOST_TEST(complete);
        BOOST_TEST((text == expected_text(prompt, 8)));
    }
}

// Guards against a short deadline that is ignored, and against the error "not
// run" although an engine has started the request.
BOOST_FIXTURE_TEST_CASE(caller_shortens_the_deadline, fixture)
{
    const auto begin = time.now();
    const auto result = start(0, 7, 1000, 4000).result.get();
    BOOST_TEST(result.status != 200);
    BOOST_TEST(error_field(result, "ran") == "may_have_run", result.body);
    BOOST_TEST(time.now() - begin <= 1000 + deadline_margin);
    const auto idle = [&]
    {
        return fleet.engine_total("running") == 0;
    };
    BOOST_TEST(process_fleet::wait_until(idle, 2000));
}

// Guards against requests that are lost in the queue of a dead or paused owner.
BOOST_FIXTURE_TEST_CASE(owner_lost_while_requests_queue, narrow_fixture)
{
    constexpr msec deadline = 9000;
    for (const bool frozen : {true, false})
    {
        const auto owner = busiest_owner();
        std::vector<pending_call> calls;
        const auto end = time.now() + deadline + deadline_margin;
        for (std::size_t n = 0; n < 18; ++n)
        {
            const auto other = (owner + 1 + n % 2) % fleet.nodes();
            calls.push_back(
                start(other, (frozen ? 500 : 600) + n, deadline, 60));
        }
        const auto busy = [&]
        {
            return fleet.engine_total("running") > 2;
        };
        BOOST_TEST(process_fleet::wait_until(busy, 3000));
        if (frozen)
            fleet.freeze_node(owner);
        else
            fleet.kill_node(owner);
        const auto succeeded = check_ended(calls, frozen ? 500 : 600, end, 60);
        BOOST_TEST(succeeded > 0U);
        BOOST_TEST_MESSAGE("succeeded: " << succeeded << " of 18");
        if (frozen)
            fleet.resume_node(owner);
    }
}
