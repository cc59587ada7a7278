#include "galenapulley/endpoint_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

endpoint entry(std::string id, std::string address = "10.0.0.1:80",
               std::int64_t born = 1)
{
    return {.id = std::move(id),
            .service = "drafts",
            .address = std::move(address),
            .failure_domain = "east",
            .slots = 4,
            .born = born};
}

std::size_t usable(const endpoint_registry& registry, msec now)
{
    return registry.usable("drafts", now).size();
}

} // namespace

// Guards against losing all endpoints with the store: their entries lapse
// although they live.
BOOST_AUTO_TEST_CASE(entries_that_lapse_in_an_outage_stay)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b")}, true, 0);
    registry.update({}, false, 1000);
    BOOST_TEST(usable(registry, 1000) == 2U);
    // The store is back at 5000; one entry returns within the grace time.
    registry.update({entry("a")}, false, 6000);
    registry.drop_missing(true, 5000, 7000);
    BOOST_TEST(usable(registry, 7000) == 2U);
    registry.drop_missing(true, 5000, 5000 + endpoint_registry::lapse_grace);
    BOOST_TEST(usable(registry, 8000) == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_entry_is_gone_at_once_while_the_store_is_well)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b")}, true, 0);
    registry.update({entry("a")}, true, 10);
    BOOST_TEST(usable(registry, 10) == 1U);
}

// Guards against work for an endpoint that leaves; its state holds also when
// its entry lapses later in an outage.
BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_nothing)
{
    endpoint_registry registry;
    auto leaving = entry("a");
    registry.update({leaving}, true, 0);
    leaving.draining = true;
    registry.update({leaving}, true, 10);
    BOOST_TEST(usable(registry, 10) == 0U);
    registry.update({}, false, 20);
    BOOST_TEST(usable(registry, 20) == 0U);
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_same_id_is_another_incarnation)
{
    endpoint_registry registry;
    registry.update({entry("a", "10.0.0.1:80", 1)}, true, 0);
    const auto first = registry.all().at("a").key;
    registry.on_failure(first, 0);
    BOOST_TEST(usable(registry, 0) == 0U);
    registry.update({entry("a", "10.0.0.1:80", 2)}, true, 0);
    BOOST_TEST(registry.all().at("a").key != first);
    BOOST_TEST(usable(registry, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(failures_pause_an_endpoint_longer_each_time)
{
    endpoint_registry registry;
    registry.update({entry("a")}, true, 0);
    const auto key = registry.all().at("a").key;
    registry.on_failure(key, 0);
    BOOST_TEST(usable(registry, endpoint_registry::avoid_time) == 1U);
    registry.on_failure(key, 1000);
    BOOST_TEST(usable(registry, 1000 + endpoint_registry::avoid_time) == 0U);
    BOOST_TEST(usable(registry, 1000 + 2 * endpoint_registry::avoid_time) ==
               1U);
    registry.on_success(key);
    BOOST_TEST(registry.find(key)->failures == 0U);
}

// Guards against requests that reach another service: addresses are used
// again, and the entry of the former endpoint lapses only later.
BOOST_AUTO_TEST_CASE(an_endpoint_whose_address_was_taken_is_not_used)
{
    endpoint_registry registry;
    registry.update({entry("a")}, true, 0);
    registry.on_replaced(registry.all().at("a").key, 0);
    registry.update({entry("a")}, true, 100);
    BOOST_TEST(usable(registry, 100) == 0U);
}

BOOST_AUTO_TEST_CASE(the_cold_phase_ends_on_this_nodes_clock)
{
    endpoint_registry registry;
    auto cold = entry("a");
    cold.cold_left = 3000;
    registry.update({cold}, true, 1000);
    BOOST_TEST(registry.all().at("a").cold_until == 4000);
    // The same entry again doesn't prolong it.
    registry.update({cold}, true, 2000);
    BOOST_TEST(registry.all().at("a").cold_until == 4000);
}

// Load: an endpoint that resets its connections ends requests at once and so
// looks idle to every node. Each of 142 nodes sent it work until it had failed
// there as well.
BOOST_AUTO_TEST_CASE(failures_of_two_peers_keep_an_endpoint_out_of_use)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b"), entry("c")}, true, 0);
    const auto key = registry.all().at("a").key;
    registry.on_peer_failure(key, "n2", 1000);
    registry.on_peer_failure(key, "n2", 1010);
    BOOST_TEST(usable(registry, 1020) == 3U);
    registry.on_peer_failure(key, "n3", 1020);
    BOOST_TEST(usable(registry, 1020) == 2U);
    BOOST_TEST(usable(registry, 1020 + endpoint_registry::avoid_time) == 3U);
}

// Guards against nodes that are cut off from the endpoints and take these from
// all others.
BOOST_AUTO_TEST_CASE(peers_that_find_many_endpoints_to_fail_are_not_believed)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b"), entry("c")}, true, 0);
    for (const auto& [id, it] : registry.all())
        for (const auto* const peer : {"n2", "n3"})
            registry.on_peer_failure(it.key, peer, 1000);
    BOOST_TEST(usable(registry, 1010) == 3U);
}
