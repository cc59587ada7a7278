#include "../fakes/large_gossip_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

// Guards against a standby that loses sight of the core while messages are
// lost or nodes are paused.
BOOST_FIXTURE_TEST_CASE(loss_and_pauses_leave_the_core_known,
                        large_gossip_fleet)
{
    std::mt19937 random(7);
    fleet.set_loss([&](const gossip_node&, const gossip_node&)
                   { return random() % 100 < 10; });
    fleet[2].paused = true;
    fleet.rounds(10);
    fleet[2].paused = false;
    std::size_t missed = 0;
    for (int n = 0; n < 20; ++n)
    {
        fleet.round();
        missed += n >= 6 ? suspected_core_nodes() : 0;
    }
    // One in a thousand views may be too old for a moment.
    BOOST_TEST(missed <= 14 * nodes * core / 1000);
}

// Guards against a partition after which the two halves keep separate views.
BOOST_FIXTURE_TEST_CASE(a_core_heals_after_a_partition, large_gossip_fleet)
{
    fleet.set_loss([](const gossip_node& a, const gossip_node& b)
                   { return (a.name.back() < '5') != (b.name.back() < '5'); });
    fleet.rounds(60);
    BOOST_TEST(suspected_core_nodes() > 0U);
    fleet.set_loss({});
    fleet.rounds(30);
    BOOST_TEST(suspected_core_nodes() == 0U);
}
