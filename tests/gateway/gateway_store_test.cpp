#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

BOOST_FIXTURE_TEST_CASE(a_new_configuration_is_in_force_soon, one_gateway)
{
    BOOST_TEST(status_of(*gateway, "/extra/x") == 404);
    store.put("op", "config", sample_configuration(4, "/extra/"));
    BOOST_TEST(eventually(
        [&] { return status_of(*gateway, "/extra/x") == 200; }, 1000));
}

// Guards against missed changes when the store has dropped the history that a
// watch asks for: the table is read again.
BOOST_FIXTURE_TEST_CASE(a_table_without_history_is_read_again, one_gateway)
{
    store.drop_history();
    store.put("op", "config", sample_configuration(4, "/extra/"));
    BOOST_TEST(eventually(
        [&] { return status_of(*gateway, "/extra/x") == 200; }, 2000));
}

// Guards against dropping endpoints whose entries lapse only because the store
// is unreachable.
BOOST_FIXTURE_TEST_CASE(requests_are_served_during_an_outage_of_the_store,
                        one_gateway)
{
    store.set_mode(store_mode::resetting);
    pause_for(300);
    east.remove_entry();
    west.remove_entry();
    BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    store.set_mode(store_mode::normal);
    pause_for(500);
    BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    east.register_entry();
    // An entry that isn't registered again after the outage is dropped.
    pause_for(4500);
    const auto before = west.received().size();
    for (int n = 0; n < 6; ++n)
        BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    BOOST_TEST(west.received().size() == before);
}

// Guards against requests to a removed endpoint: the store must count as
// reachable again soon after an outage. When it did so only at its next change,
// the removal of an entry was taken for a lapse. Seen on tuulcount trouble-1,
// seed 4.
BOOST_FIXTURE_TEST_CASE(an_entry_removed_after_an_outage_is_dropped,
                        one_gateway)
{
    store.set_mode(store_mode::refusing);
    pause_for(1500);
    store.set_mode(store_mode::normal);
    pause_for(4000);
    east.remove_entry();
    pause_for(500);
    const auto before = east.received().size();
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    BOOST_TEST(east.received().size() == before);
}

BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_gets_no_new_requests, one_gateway)
{
    east.register_entry("draining");
    pause_for(500);
    const auto before = east.received().size();
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    BOOST_TEST(east.received().size() == before);
}

BOOST_FIXTURE_TEST_CASE(a_withdrawn_domain_gets_no_requests_until_it_returns,
                        one_gateway)
{
    store.put("op", "evacuate/east", "{}");
    pause_for(500);
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    BOOST_TEST(east.received().empty());
    store.remove("op", "evacuate/east");
    BOOST_TEST(eventually(
        [&]
        {
            status_of(*gateway, "/i/x");
            return !east.received().empty();
        }));
}

// A node that can't reach the store gets the rows from a peer.
BOOST_FIXTURE_TEST_CASE(a_node_without_the_store_gets_rows_from_a_peer,
                        one_gateway)
{
    store_standin dead;
    dead.set_mode(store_mode::refusing);
    gateway_process other("n2", "west", dead.address(), {gateway->peer()});
    BOOST_TEST(other.wait_until_ready(10'000));
    BOOST_TEST(status_of(other, "/i/x") == 200);
    store.put("op", "config", sample_configuration(4, "/extra/"));
    BOOST_TEST(
        eventually([&] { return status_of(other, "/extra/x") == 200; }, 3000));
}

// Without a configuration, a gateway must not respond that a route is unknown.
BOOST_AUTO_TEST_CASE(requests_are_refused_until_a_configuration_is_known)
{
    store_standin store;
    store.set_mode(store_mode::refusing);
    gateway_process gateway("n1", "east", store.address(), {});
    BOOST_TEST(
        eventually([&] { return gateway.ready_status() == 503; }, 10'000));
    BOOST_TEST(status_of(gateway, "/i/x") == 503);
}
