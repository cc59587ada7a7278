#include "../fakes/gossip_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

/// A fleet of nine nodes in three zones; the first `with_store` nodes reach the
/// store.
gossip_fleet settled_fleet(std::size_t with_store)
{
    gossip_fleet fleet(9);
    for (std::size_t n = 0; n < with_store; ++n)
        fleet[n].reaches_store = true;
    return fleet;
}

} // namespace

// Guards against off-by-one errors in the bounds of ages and durations.
BOOST_AUTO_TEST_CASE(age_of_the_newest_read_decides)
{
    view_freshness view;
    BOOST_TEST(!view.is_fresh(0));
    view.tick(0, {.known_peers = 5});
    BOOST_TEST(!view.is_fresh(0));
    BOOST_TEST(view.store_read_age(0) == -1);
    view.note_peer_age(1000, 800);
    view.note_peer_age(2000, -1);
    for (const msec now : {1000, 2000, 3000, 4000, 5000})
        view.tick(now, {.known_peers = 5});
    BOOST_TEST(view.store_read_age(5000) == 4800);
    BOOST_TEST(view.is_fresh(5200));
    BOOST_TEST(!view.is_fresh(5201));
    BOOST_TEST(view.fresh_for(4000, 5200));
    BOOST_TEST(!view.fresh_for(4201, 5200));
}

// Guards against a fresh view without the store while too few peers or only one
// zone are in contact.
BOOST_AUTO_TEST_CASE(without_the_store_enough_peers_must_be_reachable)
{
    const auto fresh = [](const peer_summary& peers)
    {
        view_freshness view;
        view.tick(0, peers);
        return view.is_fresh(0);
    };
    BOOST_TEST(fresh({.known_peers = 9,
                      .known_zones = 3,
                      .reachable_peers = 3,
                      .reachable_zones = 2}));
    BOOST_TEST(!fresh({.known_peers = 9,
                       .known_zones = 3,
                       .reachable_peers = 2,
                       .reachable_zones = 2}));
    BOOST_TEST(!fresh({.known_peers = 9,
                       .known_zones = 3,
                       .reachable_peers = 5,
                       .reachable_zones = 1}));
    BOOST_TEST(fresh({.known_peers = 2,
                      .known_zones = 1,
                      .reachable_peers = 2,
                      .reachable_zones = 1}));
    BOOST_TEST(fresh({}));
}

// Guards against evidence from before a pause of the process that still counts.
BOOST_AUTO_TEST_CASE(a_late_tick_resets_the_view)
{
    view_freshness view;
    const peer_summary peers{.known_peers = 9,
                             .known_zones = 3,
                             .reachable_peers = 5,
                             .reachable_zones = 3};
    view.tick(0, peers);
    view.note_own_read(0);
    view.tick(3000, peers);
    BOOST_TEST(view.is_fresh(3000));
    // Before the first tick after the pause, is_fresh() detects that the tick
    // is late.
    BOOST_TEST(!view.is_fresh(6001));
    view.tick(6001, peers);
    BOOST_TEST(view.resets() == 1U);
    BOOST_TEST(!view.is_fresh(6001));
    view.note_own_read(6000);
    view.note_peer_age(6000, 0);
    BOOST_TEST(!view.is_fresh(6001));
    BOOST_TEST(view.contact_window(6501) == 500);
    view.note_own_read(6100);
    BOOST_TEST(view.is_fresh(6101));
}

// Guards against a fleet that refuses work although one node reaches the store,
// or because the store is unreachable.
BOOST_AUTO_TEST_CASE(one_read_keeps_the_fleet_fresh)
{
    auto fleet = settled_fleet(1);
    fleet.rounds(15);
    for (int n = 0; n < 60; ++n)
    {
        fleet.round();
        BOOST_TEST(fleet.fresh_nodes() == 9U);
        for (std::size_t k = 0; k < fleet.size(); ++k)
            BOOST_TEST(!fleet[k].view.in_outage_mode(fleet.now()));
    }
    fleet[0].reaches_store = false;
    for (int n = 0; n < 60; ++n)
    {
        fleet.round();
        BOOST_TEST(fleet.fresh_nodes() == 9U);
    }
    BOOST_TEST(fleet[3].view.in_outage_mode(fleet.now()));
}

// Guards against an isolated node whose view stays fresh, or becomes fresh
// again when it has dropped all other nodes and knows only itself.
BOOST_AUTO_TEST_CASE(a_partitioned_node_becomes_isolated_and_stays_so)
{
    for (const std::size_t with_store : {0U, 4U})
    {
        auto fleet = settled_fleet(with_store);
        fleet.rounds(20);
        fleet.set_loss([](const gossip_node& a, const gossip_node& b)
                       { return a.name == "n8" || b.name == "n8"; });
        fleet.rounds(7);
        for (int n = 0; n < 120; ++n)
        {
            BOOST_TEST(!fleet[8].view.is_fresh(fleet.now()));
            BOOST_TEST(fleet.fresh_nodes() == 8U);
            fleet.round();
        }
        BOOST_TEST(fleet[8].gossip.known_peers() == 0U);
        fleet.set_loss(nullptr);
        fleet.rounds(10);
        BOOST_TEST(fleet.fresh_nodes() == 9U);
    }
}

// Guards against an isolated zone that considers itself the whole fleet while
// the store is unreachable.
BOOST_AUTO_TEST_CASE(a_partitioned_zone_becomes_isolated)
{
    gossip_fleet fleet(15);
    fleet.rounds(20);
    fleet.set_loss([](const gossip_node& a, const gossip_node& b)
                   { return (a.zone == "zone-0") != (b.zone == "zone-0"); });
    fleet.rounds(7);
    for (int n = 0; n < 60; ++n)
    {
        BOOST_TEST(fleet.fresh_nodes() == 10U);
        fleet.round();
    }
}

// Guards against a node that resumes after a pause and trusts the ages in
// messages that were queued during the pause.
BOOST_AUTO_TEST_CASE(a_resumed_node_does_not_trust_queued_messages)
{
    auto fleet = settled_fleet(4);
    fleet.rounds(20);
    fleet[8].paused = true;
    fleet.rounds(40);
    BOOST_TEST(!fleet[8].view.is_fresh(fleet.now()));
    fleet[8].paused = false;
    // Messages it sends after resuming are lost, so only old ones arrive.
    fleet[8].view.tick(fleet.now(), fleet[8].summary(fleet.now()));
    fleet.set_loss([](const gossip_node& a, const gossip_node&)
                   { return a.name == "n8"; });
    for (int n = 0; n < 20; ++n)
    {
        fleet.round();
        BOOST_TEST(!fleet[8].view.is_fresh(fleet.now()));
    }
    fleet.set_loss(nullptr);
    fleet.rounds(5);
    BOOST_TEST(fleet[8].view.is_fresh(fleet.now()));
}

// Guards against trusting ages in messages that are delivered late, when a link
// recovers: they report a recent read, but were created long before.
BOOST_AUTO_TEST_CASE(delayed_messages_do_not_renew_the_view)
{
    auto fleet = settled_fleet(4);
    fleet.rounds(20);
    fleet.hold_messages(true);
    fleet.rounds(30);
    // From now on no node reaches the store and nothing new is sent.
    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        fleet[n].reaches_store = false;
        fleet[n].down = n != 8;
    }
    fleet[8].view.tick(fleet.now(), fleet[8].summary(fleet.now()));
    fleet.hold_messages(false);
    fleet.round();
    fleet.round();
    BOOST_TEST(!fleet[8].view.is_fresh(fleet.now()));
}

// Guards against a node that never gets a fresh view after a restart without
// state while the store is unreachable.
BOOST_AUTO_TEST_CASE(a_restarted_node_becomes_fresh_by_its_peers)
{
    auto fleet = settled_fleet(0);
    fleet.rounds(20);
    fleet[8].down = true;
    fleet.rounds(3);
    fleet.restart(8, 3, 1'780'000'060'000);
    fleet.rounds(8);
    BOOST_TEST(fleet[8].view.is_fresh(fleet.now()));
    BOOST_TEST(fleet[8].view.in_outage_mode(fleet.now()));
}
