#include "galenapulley/waiting_line.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

waiting_entry entry(std::uint64_t request, msec due, msec give_up,
                    int priority = 1)
{
    return {.request = request,
            .priority = priority,
            .received_at = 0,
            .due_at = due,
            .give_up_at = give_up,
            .needs = 100};
}

} // namespace

// Guards against serving the oldest request first under overload, which makes
// every request late.
BOOST_AUTO_TEST_CASE(what_can_be_in_time_goes_before_what_is_late)
{
    waiting_line line;
    line.add(entry(1, 300, 10'000));
    line.add(entry(2, 900, 10'000));
    line.add(entry(3, 700, 10'000));
    const std::vector<std::uint64_t> expected{3, 2, 1};
    BOOST_TEST(line.order(400) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_higher_priority_goes_first)
{
    waiting_line line;
    line.add(entry(1, 300, 10'000, 2));
    line.add(entry(2, 900, 10'000, 1));
    BOOST_TEST(line.order(0).front() == 2U);
}

// Guards against keeping requests that can't be served in time: the client
// loses time in which a retry could succeed.
BOOST_AUTO_TEST_CASE(hopeless_requests_are_named_early)
{
    waiting_line line;
    line.add(entry(1, 300, 10'000));
    line.add(entry(2, 300, 1000));
    BOOST_TEST(line.hopeless(400).empty());
    const std::vector<std::uint64_t> first{2};
    BOOST_TEST(line.hopeless(500) == first, boost::test_tools::per_element());
    line.remove(2);
    BOOST_TEST(line.hopeless(4999).empty());
    BOOST_TEST(line.hopeless(5000).size() == 1U);
}
