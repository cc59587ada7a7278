#include "galenapulley/endpoint_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

endpoint entry(std::string id, std::string address = "10.0.0.1:80",
               std::int64_t started_at = 1)
{
    return {.id = std::move(id),
            .service = "drafts",
            .address = std::move(address),
            .failure_domain = "east",
            .slots = 4,
            .started_at = started_at};
}

std::size_t usable(const endpoint_registry& registry, msec now)
{
    return registry.usable("drafts", now).size();
}

} // namespace

// Guards against losing all endpoints in an outage of the store, when their
// entries expire although they still run.
BOOST_AUTO_TEST_CASE(endpoints_with_expired_entries_stay_in_an_outage)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b")}, true, 0);
    registry.update({}, false, 1000);
    BOOST_TEST(usable(registry, 1000) == 2U);
    // The store is reachable from 5000 on; one entry returns within the grace
    // period.
    registry.update({entry("a")}, false, 6000);
    registry.drop_missing(true, 5000, 7000);
    BOOST_TEST(usable(registry, 7000) == 2U);
    registry.drop_missing(true, 5000, 5000 + endpoint_registry::lapse_grace);
    BOOST_TEST(usable(registry, 8000) == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_missing_entry_removes_its_endpoint_in_an_authoritative_view)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b")}, true, 0);
    registry.update({entry("a")}, true, 10);
    BOOST_TEST(usable(registry, 10) == 1U);
}

// Guards against new work for a draining endpoint, including when its entry
// expires later in an outage of the store.
BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_new_work)
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
    BOOST_TEST(usable(registry, endpoint_registry::first_pause) == 1U);
    registry.on_failure(key, 1000);
    BOOST_TEST(usable(registry, 1000 + endpoint_registry::first_pause) == 0U);
    BOOST_TEST(usable(registry, 1000 + 2 * endpoint_registry::first_pause) ==
               1U);
    registry.on_success(key);
    BOOST_TEST(registry.find(key)->failures == 0U);
}

// Guards against requests that reach another service: addresses are reused
// before the entry of the former endpoint expires.
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
    cold.cold_remaining = 3000;
    registry.update({cold}, true, 1000);
    BOOST_TEST(registry.all().at("a").cold_until == 4000);
    // The same entry again doesn't extend the cold phase.
    registry.update({cold}, true, 2000);
    BOOST_TEST(registry.all().at("a").cold_until == 4000);
}

// Guards against an endpoint that resets its connections and keeps attracting
// work, as it fails requests at once and looks idle. Each of 142 nodes sent it
// work until its own attempt had failed.
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
    BOOST_TEST(usable(registry, 1020 + endpoint_registry::first_pause) == 3U);
}

// Guards against nodes that can't reach the endpoints and whose reports stop
// all other nodes from using them.
BOOST_AUTO_TEST_CASE(reports_about_many_endpoints_are_ignored)
{
    endpoint_registry registry;
    registry.update({entry("a"), entry("b"), entry("c")}, true, 0);
    for (const auto& [id, it] : registry.all())
        for (const auto* const peer : {"n2", "n3"})
            registry.on_peer_failure(it.key, peer, 1000);
    BOOST_TEST(usable(registry, 1010) == 3U);
}

// Guards against new work for endpoints that drain or have left, but are ready
// in the backup from which the store was restored.
BOOST_AUTO_TEST_CASE(entries_of_a_backup_dont_bring_endpoints_back)
{
    constexpr auto lifetime = endpoint_registry::backup_entry_lifetime;
    endpoint_registry registry;
    auto leaving = entry("a");
    leaving.draining = true;
    registry.update({leaving, entry("b"), entry("c")}, true, 0);
    registry.update({leaving, entry("c")}, true, 10);
    registry.on_store_restored(1000);
    registry.update({entry("a"), entry("b"), entry("c")}, false, 1000);
    BOOST_TEST(usable(registry, 1000) == 1U);
    // A new incarnation isn't the one that left.
    registry.update({entry("a"), entry("b", "10.0.0.1:80", 2), entry("c")},
                    false, 2000);
    BOOST_TEST(usable(registry, 2000) == 2U);
    // Entries that are left by then belong to running endpoints.
    registry.update({entry("a"), entry("b"), entry("c")}, true,
                    1000 + lifetime);
    BOOST_TEST(usable(registry, 1000 + lifetime) == 3U);
}
