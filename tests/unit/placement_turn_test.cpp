#include "galenapulley/placement_turn.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using decision = placement_turn::decision;

namespace
{

placement_need need(double tokens, bool is_split = false)
{
    return {.service = "svc", .tokens = tokens, .is_split = is_split};
}

} // namespace

// Guards against attempts that are known to fail.
BOOST_AUTO_TEST_CASE(requests_above_the_room_are_skipped)
{
    placement_turn turn({});
    BOOST_TEST((turn.decide(need(5000)) == decision::attempt));
    turn.on_room(need(5000), 3000);
    BOOST_TEST((turn.decide(need(4000)) == decision::skip));
    BOOST_TEST((turn.decide(need(3000)) == decision::attempt));
    auto other = need(4000);
    other.service = "other";
    BOOST_TEST((turn.decide(other) == decision::attempt));
    BOOST_TEST(turn.attempts() == 3U);
}

// Guards against skipping a prompt that several endpoints hold, as none needs
// room for all of it.
BOOST_AUTO_TEST_CASE(distributed_prompts_are_skipped_only_without_slots)
{
    placement_turn turn({});
    auto large = need(500'000, true);
    large.is_distributed = true;
    turn.on_room(need(5000), 3000);
    BOOST_TEST((turn.decide(large) == decision::attempt));
    turn.on_room(need(5000), -1);
    BOOST_TEST((turn.decide(large) == decision::skip));
    BOOST_TEST((turn.decide(need(0)) == decision::skip));
}

// Guards against long prompts that use up the attempts of short ones.
BOOST_AUTO_TEST_CASE(split_prompts_have_attempts_of_their_own)
{
    placement_turn turn({.attempts = 2, .split_attempts = 1, .visits = 3});
    BOOST_TEST((turn.decide(need(1, true)) == decision::attempt));
    BOOST_TEST((turn.decide(need(1, true)) == decision::postpone));
    BOOST_TEST((turn.decide(need(1)) == decision::attempt));
    BOOST_TEST((turn.decide(need(1)) == decision::attempt));
    BOOST_TEST((turn.decide(need(1)) == decision::postpone));
    BOOST_TEST(turn.visit());
    BOOST_TEST(turn.visit());
    BOOST_TEST(turn.visit());
    BOOST_TEST(!turn.visit());
}
