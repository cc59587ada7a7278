// A cold back end receives no more requests than its cold limit allows.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::uint32_t cold_slots = 2;

struct fixture
{
    fixture()
        : fleet({.zones = 1,
                 .engines_per_zone = 3,
                 .plains_per_zone = 0,
                 .nodes_per_zone = 3,
                 .engine_args = {"--time-scale", "4", "--warm-after-s", "2",
                                 "--slots", "8"},
                 .settings = {{"lease_ttl_ms", 3000},
                              {"lease_renew_ms", 1000},
                              {"engine_poll_ms", 200}},
                 .slots = 8,
                 .cold_slots = cold_slots})
    {
        fleet.install();
        fleet.wait_serving();
    }

    std::size_t owner()
    {
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
            if (alive(n) && !fleet.status(n)
                                 .value("shards", nlohmann::json::array())
                                 .empty())
                return n;
        return fleet.nodes();
    }

    bool alive(std::size_t n) const { return n != dead; }

    /// State of an engine (warm or cold, limit) as its shard owner sees it.
    nlohmann::json view_of(std::size_t engine)
    {
        const auto n = owner();
        if (n == fleet.nodes())
            return nlohmann::json::object();
        const auto now = fleet.status(n);
        for (const auto& it : now["back_ends"])
            if (it["back_end"] == "engine-" + std::to_string(engine))
                return it;
        return nlohmann::json::object();
    }

    bool wait_seen_cold(std::size_t engine)
    {
        return process_fleet::wait_until(
            [&] { return !view_of(engine).value("warm", true); }, 5000);
    }

    /// Keeps more requests in flight, over all nodes, than the warm engines
    /// have slots, until the condition holds.
    bool load_until(const std::function<bool()>& condition, msec timeout)
    {
        const auto refill_and_check = [&]
        {
            std::erase_if(calls,
                          [&](pending_call& it)
                          {
                              const bool ended =
                                  it.result.wait_for(std::chrono::seconds(0)) ==
                                  std::future_status::ready;
                              if (ended && it.result.get().status == 200)
                                  ++succeeded;
                              return ended;
                          });
            while (calls.size() < 24)
            {
                const auto node = ++seed % fleet.nodes();
                if (alive(node))
                    calls.push_back(fleet.start_completion(
                        node, make_prompt(1000, seed), 30));
            }
            return condition();
        };
        return process_fleet::wait_until(refill_and_check, timeout);
    }

    void finish_load()
    {
        for (auto& it : calls)
            succeeded += it.result.get().status == 200 ? 1 : 0;
        calls.clear();
    }

    void check_engine(std::size_t engine)
    {
        const auto now = fleet.stats(fleet.engine_address(engine));
        BOOST_TEST(now.value("peak_concurrent_while_cold", 99) <=
                   static_cast<int>(cold_slots));
        BOOST_TEST(now.value("collapses", 99) == 0);
    }

    process_fleet fleet;
    std::size_t dead = 99;
    std::uint64_t seed = 0;
    std::size_t succeeded = 0;
    std::vector<pending_call> calls;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cold_back_end, fixture)

// Guards against full load on an idle engine that turned cold without notice,
// once its next load report (after poll period and report lag) has shown it.
BOOST_AUTO_TEST_CASE(turns_cold_without_warning)
{
    fleet.control(fleet.engine_address(0), {{"turn_cold", true}});
    BOOST_TEST(wait_seen_cold(0));
    const auto warm_again = [&]
    {
        return view_of(0).value("warm", false);
    };
    BOOST_TEST(load_until(warm_again, 20'000));
    finish_load();
    check_engine(0);
    BOOST_TEST(fleet.stats(fleet.engine_address(0)).value("started", 0) > 0);
    BOOST_TEST(succeeded > 0U);
}

// Guards against new work for a loaded engine that turned cold: its running
// requests can't be withdrawn, but none may be added above the cold limit.
BOOST_AUTO_TEST_CASE(turns_cold_under_load)
{
    const auto loaded = [&]
    {
        return fleet.stats(fleet.engine_address(0)).value("running", 0) > 4;
    };
    BOOST_TEST(load_until(loaded, 5000));
    fleet.control(fleet.engine_address(0), {{"turn_cold", true}});
    BOOST_TEST(
        load_until([&] { return !view_of(0).value("warm", true); }, 10'000));
    const auto drained = [&]
    {
        return fleet.stats(fleet.engine_address(0)).value("running", 99) <=
               static_cast<int>(cold_slots);
    };
    BOOST_TEST(load_until(drained, 20'000));
    const auto before =
        fleet.stats(fleet.engine_address(0)).value("completed", 0);
    int peak_running = 0;
    const auto completed_more = [&]
    {
        const auto now = fleet.stats(fleet.engine_address(0));
        if (!now.value("cold", false))
            return true;
        peak_running = std::max(peak_running, now.value("running", 99));
        return now.value("completed", 0) >= before + 4;
    };
    BOOST_TEST(load_until(completed_more, 20'000));
    finish_load();
    BOOST_TEST(peak_running <= static_cast<int>(cold_slots));
}

// Guards against full load on an engine that restarts cold, also while its
// shard changes owner.
BOOST_AUTO_TEST_CASE(restarted_cold_and_owner_killed)
{
    load_until([&] { return succeeded > 10; }, 5000);
    fleet.kill_engine(0);
    load_until([&] { return !view_of(0).value("reachable", true); }, 5000);
    fleet.start_engine(0);
    fleet.control(fleet.engine_address(0), {{"turn_cold", true}});
    const auto has_work = [&]
    {
        return fleet.stats(fleet.engine_address(0)).value("started", 0) > 0;
    };
    BOOST_TEST(load_until(has_work, 10'000));
    check_engine(0);
    const auto first_owner = owner();
    BOOST_TEST_REQUIRE(first_owner < fleet.nodes());
    fleet.control(fleet.engine_address(0), {{"turn_cold", true}});
    const auto before =
        fleet.stats(fleet.engine_address(0)).value("completed", 0);
    dead = first_owner;
    fleet.kill_node(first_owner);
    const auto used_by_next_owner = [&]
    {
        return owner() < fleet.nodes() &&
               fleet.stats(fleet.engine_address(0)).value("completed", 0) >=
                   before + 6;
    };
    BOOST_TEST(load_until(used_by_next_owner, 30'000));
    // Requests that queued at the dead owner must not wait for their deadline.
    const boot_time_clock time;
    const auto begin = time.now();
    finish_load();
    BOOST_TEST(time.now() - begin < 10'000);
    check_engine(0);
}

BOOST_AUTO_TEST_SUITE_END()
