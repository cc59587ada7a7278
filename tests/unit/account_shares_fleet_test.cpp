#include "../fakes/account_fleet.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

// Guards against an account at five times its share that makes the requests of
// the others late, at loads from just above the capacity on.
BOOST_AUTO_TEST_CASE(others_are_in_time_beside_a_large_account)
{
    for (const double load : {8.5, 9.0, 9.5, 10.0})
    {
        BOOST_TEST_CONTEXT("requests per second: " << load)
        {
            const auto without_excess =
                share_in_time({.requests_per_second = load});
            const auto with_excess = share_in_time(
                {.requests_per_second = load, .first_account_load = 5});
            BOOST_TEST(with_excess >= without_excess - tolerance);
            // The shares don't reduce the capacity.
            const auto old_order = share_in_time(
                {.account_shares = false, .requests_per_second = load});
            BOOST_TEST(without_excess >= old_order - tolerance);
        }
    }
}

// Guards against a replay whose load the old order also withstands.
BOOST_AUTO_TEST_CASE(others_are_late_beside_a_large_account_without_shares)
{
    const auto without_excess = share_in_time({.account_shares = false});
    const auto with_excess =
        share_in_time({.account_shares = false, .first_account_load = 5});
    BOOST_TEST(without_excess < 0.95);
    BOOST_TEST(with_excess < without_excess - tolerance);
}

// Guards against use of a dead node that limits an account for ever, or that is
// forgotten at once.
BOOST_AUTO_TEST_CASE(others_are_in_time_after_the_death_of_the_busiest_node)
{
    const auto without_excess = share_in_time({.node_dies_at = 12'000});
    const auto with_excess =
        share_in_time({.first_account_load = 5, .node_dies_at = 12'000});
    BOOST_TEST(with_excess >= without_excess - tolerance);
}
