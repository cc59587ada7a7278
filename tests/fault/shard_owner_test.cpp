#include "support/process_fleet.hpp"
#include "support/request_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr msec lease_ttl = 2000;
constexpr msec claim_grace = 2000;
constexpr std::uint32_t slots = 4;
/// Allows for the start of a node and the delay by rank between candidates, on
/// a busy machine.
constexpr msec allowed_delay = 4000;

struct fixture
{
    fixture()
        : fleet({.engines_per_zone = 1,
                 .plains_per_zone = 0,
                 .nodes_per_zone = 2,
                 .engine_args = {"--time-scale", "20", "--slots", "4",
                                 "--warm-after-s", "1"},
                 .settings = {{"lease_ttl_ms", lease_ttl},
                              {"lease_renew_ms", 600},
                              {"drain_ms", 1000}},
                 .slots = slots})
    {
        fleet.install();
    }

    std::size_t owner_of(std::size_t zone)
    {
        const auto owners = find_owners(fleet, zone, nodes_without(fleet, {}));
        BOOST_REQUIRE_EQUAL(owners.size(), 1U);
        return owners[0];
    }

    /// Whether exactly one of the nodes owns the zone's shard.
    bool has_owner(std::size_t zone, const std::vector<std::size_t>& nodes)
    {
        return find_owners(fleet, zone, nodes).size() == 1;
    }

    void set_outage(msec duration)
    {
        fleet.control(fleet.platform_address(),
                      {{"outage_ms", duration}, {"outage", "503"}});
    }

    void check_limits()
    {
        for (std::size_t n = 0; n < fleet.engines(); ++n)
            BOOST_TEST(fleet.stats(fleet.engine_address(n))
                           .at("peak_concurrent")
                           .get<std::uint32_t>() <= slots);
    }

    wall_clock time;
    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shard_owner, fixture)

// Guards against requests that fail because a shard owner died, and against a
// shard that stays without an owner.
BOOST_AUTO_TEST_CASE(dead_owner_is_replaced)
{
    const auto dead = owner_of(1);
    const auto others = nodes_without(fleet, {dead});
    request_load load(fleet, {.nodes = others});
    BOOST_REQUIRE(load.wait_completed(30));
    fleet.kill_node(dead);
    const auto killed_at = time.now();
    BOOST_TEST(load.wait_completed(10, 2000));
    BOOST_TEST(
        process_fleet::wait_until([&] { return has_owner(1, others); },
                                  lease_ttl + claim_grace + allowed_delay));
    const auto owned_at = time.now();
    BOOST_TEST_MESSAGE("new owner after " << owned_at - killed_at << " ms");
    BOOST_TEST(process_fleet::wait_until(
        [&] { return zone_starts(fleet, 1, owned_at) > 0; }, 5000));
    BOOST_TEST(describe_failures(load.stop()) == "");
    check_limits();
}

// Guards against two owners of one shard that together exceed the limits of its
// engines, after the first was paused beyond the end of its lease without
// noticing. The withdrawal of another zone during the pause must take effect on
// the resumed node, too.
BOOST_AUTO_TEST_CASE(paused_owner_and_withdrawal)
{
    const auto paused = owner_of(1);
    const auto others = nodes_without(fleet, {paused});
    request_load load(fleet, {.nodes = others, .callers_per_node = 5});
    BOOST_REQUIRE(load.wait_completed(30));
    fleet.freeze_node(paused);
    const auto paused_at = time.now();
    BOOST_TEST(
        process_fleet::wait_until([&] { return has_owner(1, others); },
                                  lease_ttl + claim_grace + allowed_delay));
    BOOST_TEST_MESSAGE("new owner after " << time.now() - paused_at << " ms");
    BOOST_TEST(load.wait_completed(50));
    BOOST_REQUIRE_EQUAL(
        change_state(fleet.post_admin(others[0], "zones/zone-2/withdraw")),
        "accepted");
    const auto accepted_at = time.now();
    fleet.resume_node(paused);
    request_load resumed(fleet, {.nodes = {paused}, .callers_per_node = 6});
    load.run_until(accepted_at + 7000);
    BOOST_TEST(has_owner(1, nodes_without(fleet, {})));
    BOOST_TEST(zone_starts(fleet, 2, accepted_at + 5000) == 0);
    BOOST_TEST(describe_failures(load.stop()) == "");
    // The resumed node may refuse requests while its view is outdated; none
    // may fail in another way.
    for (const auto& it : resumed.stop())
        BOOST_TEST((it.kind.empty() || it.ran == "not_run"), it.kind);
    BOOST_TEST(resumed.completed() > 0U);
    check_limits();
}

// Guards against requests that get stuck while a dead owner can't be replaced
// because the store is unavailable.
BOOST_AUTO_TEST_CASE(owner_dies_during_store_outage)
{
    const auto dead = owner_of(1);
    const auto others = nodes_without(fleet, {dead});
    request_load load(fleet, {.nodes = others, .callers_per_node = 1});
    BOOST_REQUIRE(load.wait_completed(20));
    constexpr msec outage = 8000;
    set_outage(outage);
    const auto began_at = time.now();
    fleet.kill_node(dead);
    load.run_until(began_at + outage);
    BOOST_TEST(
        process_fleet::wait_until([&] { return has_owner(1, others); },
                                  lease_ttl + claim_grace + allowed_delay));
    BOOST_TEST_MESSAGE("new owner " << time.now() - began_at - outage
                                    << " ms after the outage");
    BOOST_TEST(describe_failures(load.stop()) == "");
    BOOST_TEST(load.completed() > 200U);
    check_limits();
}

BOOST_AUTO_TEST_SUITE_END()
