#include "support/process_fleet.hpp"
#include "support/request_load.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr msec withdrawal_bound = 5000;

struct fixture
{
    fixture()
        : fleet({.plains_per_zone = 0,
                 .nodes_per_zone = 2,
                 .engine_args = {"--time-scale", "20", "--warm-after-s", "1"}})
    {
        fleet.install();
    }

    void set_outage(const char* kind, msec duration)
    {
        fleet.control(fleet.platform_address(),
                      {{"outage_ms", duration}, {"outage", kind}});
    }

    wall_clock time;
    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(withdrawal_in_outage, fixture)

// Guards against a shard owner that missed a withdrawal while it was paused and
// places requests right after it resumes. The store is unavailable, so that the
// owner can't read the change there.
BOOST_AUTO_TEST_CASE(resumed_owner_sends_nothing_to_the_zone)
{
    const auto owners = find_owners(fleet, 1, nodes_without(fleet, {}));
    BOOST_REQUIRE_EQUAL(owners.size(), 1U);
    const auto frozen = owners[0];
    const auto others = nodes_without(fleet, {frozen});
    request_load load(fleet, {.nodes = others, .callers_per_node = 1});
    BOOST_REQUIRE(load.wait_completed(20));

    fleet.freeze_node(frozen);
    std::vector<pending_call> waiting;
    for (std::size_t n = 0; n < 12; ++n)
        waiting.push_back(
            fleet.start_completion(frozen, make_prompt(1000, 7000 + n)));
    BOOST_REQUIRE_EQUAL(
        change_state(fleet.post_admin(others[0], "zones/zone-1/withdraw")),
        "accepted");
    const auto accepted_at = time.now();
    set_outage("silent", 60'000);
    load.run_until(accepted_at + withdrawal_bound + 1000);
    const auto resumed_at = time.now();
    fleet.resume_node(frozen);
    for (auto& it : waiting)
    {
        const auto result = it.result.get();
        BOOST_TEST(
            (result.status == 200 || error_field(result, "ran") == "not_run"));
    }
    std::size_t sent = 0;
    BOOST_TEST(process_fleet::wait_until(
        [&]
        {
            const auto prompt = make_prompt(1000, 8000 + sent++);
            return fleet.complete(frozen, prompt).status == 200;
        },
        10'000));
    BOOST_TEST_MESSAGE("resumed node serves after " << time.now() - resumed_at
                                                    << " ms");
    BOOST_TEST(all_withdrawn(fleet, nodes_without(fleet, {}), {"zone-1"}));
    const auto outcomes = load.stop();
    BOOST_TEST(describe_failures(outcomes) == "");
    BOOST_TEST(zone_starts(fleet, 1, accepted_at + withdrawal_bound) == 0);
}

// Guards against a node that starts without state while the store is
// unavailable and serves with no documents or with outdated ones.
BOOST_AUTO_TEST_CASE(empty_node_waits_for_its_peers)
{
    BOOST_REQUIRE_EQUAL(
        change_state(fleet.post_admin(0, "zones/zone-1/withdraw")), "accepted");
    const auto accepted_at = time.now();
    set_outage("503", 60'000);
    fleet.kill_node(4);
    fleet.start_node(4);
    const auto first = fleet.complete(4, make_prompt(1000, 1));
    BOOST_TEST(error_field(first, "kind") == "no_baseline");
    BOOST_TEST(error_field(first, "ran") == "not_run");
    const auto started_at = time.now();
    std::size_t sent = 0;
    BOOST_TEST(process_fleet::wait_until(
        [&]
        {
            const auto prompt = make_prompt(1000, 100 + sent++);
            return fleet.complete(4, prompt).status == 200;
        },
        20'000));
    BOOST_TEST_MESSAGE("empty node serves after " << time.now() - started_at
                                                  << " ms");
    request_load load(
        fleet, {.nodes = nodes_without(fleet, {}), .callers_per_node = 1});
    load.run_until(
        std::max(time.now() + 2000, accepted_at + withdrawal_bound + 2000));
    const auto outcomes = load.stop();
    BOOST_TEST(describe_failures(outcomes) == "");
    BOOST_TEST(all_withdrawn(fleet, nodes_without(fleet, {}), {"zone-1"}));
    BOOST_TEST(zone_starts(fleet, 1, accepted_at + withdrawal_bound) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
