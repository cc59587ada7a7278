#include "galenapulley/placement_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <tuple>
#include <vector>

using namespace galenapulley;

namespace
{

placement_queue_entry entry(std::uint64_t request, msec first_token_due,
                            msec deadline, int priority = 1)
{
    return {.request = request,
            .priority = priority,
            .received_at = 0,
            .first_token_due_at = first_token_due,
            .deadline = deadline,
            .min_service_time = 100};
}

} // namespace

// Guards against serving the oldest request first under overload, which makes
// every request late.
BOOST_AUTO_TEST_CASE(requests_that_can_be_in_time_go_before_late_ones)
{
    placement_queue queue;
    queue.add(entry(1, 300, 10'000));
    queue.add(entry(2, 900, 10'000));
    queue.add(entry(3, 700, 10'000));
    const std::vector<std::uint64_t> expected{3, 2, 1};
    BOOST_TEST(queue.ordered(400) == expected,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_higher_priority_goes_first)
{
    placement_queue queue;
    queue.add(entry(1, 300, 10'000, 2));
    queue.add(entry(2, 900, 10'000, 1));
    BOOST_TEST(queue.ordered(0).front() == 2U);
}

// Guards against keeping requests that can't be served in time: the client
// loses time in which a retry could succeed.
BOOST_AUTO_TEST_CASE(unservable_requests_are_reported_early)
{
    placement_queue queue;
    queue.add(entry(1, 300, 10'000));
    queue.add(entry(2, 300, 1000));
    BOOST_TEST(queue.unservable(400).empty());
    const std::vector<std::uint64_t> first{2};
    BOOST_TEST(queue.unservable(500) == first,
               boost::test_tools::per_element());
    queue.remove(2);
    BOOST_TEST(queue.unservable(4999).empty());
    BOOST_TEST(queue.unservable(5000).size() == 1U);
}

// Guards against an order, kept up to date from event to event, that differs
// from sorting all waiting requests at each event.
RC_BOOST_PROP(the_order_equals_a_sort_of_all_requests, ())
{
    placement_queue queue;
    std::vector<placement_queue_entry> kept;
    msec now = 0;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; ++n)
    {
        now += *rc::gen::inRange<msec>(0, 60);
        if (!kept.empty() && *rc::gen::inRange(0, 3) == 0)
        {
            queue.remove(kept.front().request);
            kept.erase(kept.begin());
        }
        auto added = entry(static_cast<std::uint64_t>(n),
                           now + *rc::gen::inRange<msec>(0, 500),
                           now + *rc::gen::inRange<msec>(100, 2000),
                           *rc::gen::inRange(0, 3));
        added.received_at = now;
        added.min_service_time = *rc::gen::inRange<msec>(0, 300);
        queue.add(added);
        kept.push_back(added);
        const auto rank = [now](const placement_queue_entry& it)
        {
            return std::tuple(it.priority,
                              now + it.min_service_time > it.first_token_due_at,
                              it.first_token_due_at, it.request);
        };
        auto sorted = kept;
        std::sort(sorted.begin(), sorted.end(),
                  [&](const auto& a, const auto& b)
                  { return rank(a) < rank(b); });
        std::vector<std::uint64_t> expected;
        expected.reserve(sorted.size());
        for (const auto& it : sorted)
            expected.push_back(it.request);
        RC_ASSERT(queue.ordered(now) == expected);
        for (const auto id : queue.unservable(now))
            RC_ASSERT(std::count(expected.begin(), expected.end(), id) == 1);
    }
}

// Guards against requests of an account over its share that go before those of
// others, or before a higher priority.
BOOST_AUTO_TEST_CASE(requests_over_their_share_go_last_in_their_priority)
{
    placement_queue queue;
    queue.add(entry(1, 300, 10'000));
    queue.add(entry(2, 900, 10'000));
    queue.add(entry(3, 100, 10'000));
    queue.add(entry(4, 50, 10'000, 2));
    queue.set_over_share({1, 3});
    const std::vector<std::uint64_t> expected{2, 1, 3, 4};
    BOOST_TEST(queue.ordered(100) == expected,
               boost::test_tools::per_element());
    queue.set_over_share({});
    const std::vector<std::uint64_t> by_due_time{1, 2, 3, 4};
    BOOST_TEST(queue.ordered(100) == by_due_time,
               boost::test_tools::per_element());
}
