#include "../fakes/large_gossip_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

// Guards against traffic above the control budget of 2 KB/s per node in a fleet
// of 350, and against a serving node that the directory omits.
BOOST_FIXTURE_TEST_CASE(a_core_keeps_gossip_within_the_traffic_bound,
                        large_gossip_fleet)
{
    constexpr std::size_t rounds = 40;
    constexpr std::size_t rounds_per_second = 2;
    fleet.bytes_sent = 0;
    std::size_t suspected = 0;
    for (std::size_t n = 0; n < rounds; ++n)
    {
        fleet.round();
        suspected += suspected_core_nodes();
    }
    const auto rate = fleet.bytes_sent * rounds_per_second / rounds / nodes;
    BOOST_TEST_MESSAGE("bytes sent per second and node: " << rate);
    BOOST_TEST(rate <= 2000U);
    BOOST_TEST(suspected == 0U);
    for (std::size_t k = 0; k < core; ++k)
        BOOST_TEST(fleet[k].gossip.live_members(fleet.now()).size() ==
                   nodes - 1);
}

// Guards against clients that are sent to a lost node: the directory may name
// it for 7 s at most, 14 rounds.
BOOST_FIXTURE_TEST_CASE(a_lost_core_node_is_noticed_by_all, large_gossip_fleet)
{
    fleet[4].down = true;
    fleet.rounds(14);
    for (std::size_t k = 0; k < nodes; ++k)
        BOOST_TEST((k == 4 || !is_fresh(k, 4)));
    BOOST_TEST(suspected_core_nodes() == 0U);
}

// Guards against a serving set that keeps choosing a lost standby: it is silent
// as a core node, and as a standby it would seem alive again.
BOOST_FIXTURE_TEST_CASE(a_lost_standby_that_joins_the_core_is_suspected,
                        large_gossip_fleet)
{
    fleet[core].down = true;
    fleet.rounds(2);
    fleet.set_core(core + 1);
    BOOST_TEST(!fleet[0].gossip.is_suspected(
        *fleet[0].gossip.find(fleet[core].name), fleet.now()));
    fleet.rounds(8);
    fleet.set_core(core);
    BOOST_TEST(fleet[0].gossip.is_suspected(
        *fleet[0].gossip.find(fleet[core].name), fleet.now()));
    BOOST_TEST(!fleet[0].gossip.is_suspected(
        *fleet[0].gossip.find(fleet[core + 1].name), fleet.now()));
}
