#include "support/process_fleet.hpp"
#include "support/request_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

// Guards against a shard that stays with a node of another zone after the node
// of its own zone has restarted, and against requests that fail while it moves.
BOOST_AUTO_TEST_CASE(shard_returns_to_its_zone_under_load)
{
    process_fleet fleet(
        {.engines_per_zone = 1,
         .plains_per_zone = 0,
         .engine_args = {"--time-scale", "20", "--warm-after-s", "1"},
         .settings = {{"lease_ttl_ms", 2000}, {"lease_renew_ms", 600}}});
    fleet.install();
    BOOST_REQUIRE(find_owners(fleet, 1, {1}).size() == 1);
    fleet.kill_node(1);
    BOOST_REQUIRE(process_fleet::wait_until(
        [&] {
            return find_owners(fleet, 1, {0, 2}).size() == 1;
        },
        10'000));
    fleet.start_node(1);
    const boot_time_clock time;
    const auto started_at = time.now();
    request_load load(fleet, {.nodes = {0, 2}});
    const auto has_returned = [&]
    {
        return find_owners(fleet, 1, {1}).size() == 1 &&
               find_owners(fleet, 1, {0, 2}).empty();
    };
    BOOST_TEST(process_fleet::wait_until(has_returned, 30'000));
    BOOST_TEST_MESSAGE("back in its zone after " << time.now() - started_at
                                                 << " ms");
    BOOST_TEST(fleet.complete(1, make_prompt(1000)).status == 200);
    BOOST_TEST(describe_failures(load.stop()) == "");
}
