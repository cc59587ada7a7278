#include "support/process_fleet.hpp"
#include "support/request_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

// Guards against a restart of the whole fleet, node by node, that interrupts a
// request or leaves a shard without an owner. Callers switch to another node
// when theirs refuses with `node_leaving` or is gone; a request that a node has
// accepted must not fail.
BOOST_AUTO_TEST_CASE(rolling_restart_loses_no_request)
{
    process_fleet fleet(
        {.engines_per_zone = 1,
         .plains_per_zone = 0,
         .engine_args = {"--time-scale", "20", "--warm-after-s", "1"},
         .settings = {{"lease_ttl_ms", 2000},
                      {"lease_renew_ms", 600},
                      {"drain_ms", 1000}}});
    fleet.install();
    const auto everyone = nodes_without(fleet, {});
    for (const auto node : everyone)
    {
        const auto prompt = make_prompt(1000, 5000 + node);
        request_load load(fleet, {.nodes = nodes_without(fleet, {node})});
        BOOST_REQUIRE(load.wait_completed(20));
        auto accepted = fleet.start_completion(node, prompt, 2000);
        BOOST_REQUIRE(process_fleet::wait_until(
            [&] { return fleet.status(node).value("requests", 0) > 0; }, 3000));
        fleet.stop_node(node);
        BOOST_TEST(fleet.wait_node(node, 10'000) == 0);
        BOOST_TEST(completion_text(accepted.result.get()) ==
                   expected_text(prompt, 2000));
        fleet.start_node(node);
        BOOST_TEST(process_fleet::wait_until(
            [&] {
                return fleet.complete(node, make_prompt(1000, 1)).status == 200;
            },
            10'000));
        BOOST_TEST(describe_failures(load.stop()) == "");
    }
    for (std::size_t zone = 0; zone < 3; ++zone)
        BOOST_TEST(process_fleet::wait_until(
            [&] { return find_owners(fleet, zone, everyone).size() == 1; },
            10'000));
}
