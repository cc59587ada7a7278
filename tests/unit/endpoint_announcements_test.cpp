#include "galenapulley/endpoint_announcements.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

constexpr endpoint_key key = 7;
constexpr endpoint_key other = 8;
constexpr msec start = 100'000;

} // namespace

// Guards against a pause that is cut short by a shorter or an earlier one.
BOOST_AUTO_TEST_CASE(the_pause_that_ends_last_counts)
{
    endpoint_announcements known;
    BOOST_TEST(!known.any_paused(start));
    BOOST_TEST(known.record(key, {.retry_after = 3000}, start).pause);
    BOOST_TEST(!known.record(key, {.retry_after = 500}, start + 100).pause);
    BOOST_TEST(known.record(key, {.retry_after = 3000}, start + 100).pause);
    BOOST_TEST(known.is_paused(key, start + 3099));
    BOOST_TEST(!known.is_paused(key, start + 3100));
    BOOST_TEST(!known.is_paused(other, start));
    BOOST_TEST(known.any_paused(start + 3099));
    BOOST_TEST(!known.any_paused(start + 3100));
    BOOST_TEST(known.pauses(start).size() == 1U);
    BOOST_TEST(known.pauses(start + 3100).empty());
}

// Guards against a pause that ends because a running stream completes.
BOOST_AUTO_TEST_CASE(a_response_without_a_pause_does_not_end_it)
{
    endpoint_announcements known;
    known.record(key, {.retry_after = 3000}, start);
    known.record(key, {}, start + 1000);
    BOOST_TEST(known.is_paused(key, start + 2000));
}

// Guards against a faulty endpoint that is lost for good.
BOOST_AUTO_TEST_CASE(the_longest_pause_is_bounded)
{
    endpoint_announcements known;
    known.record(key, {.retry_after = 1'000'000'000'000}, start);
    BOOST_TEST(known.paused_until(key) ==
               start + endpoint_announcements::max_pause);
}

// Guards against a pause of 0 s that excludes the endpoint.
BOOST_AUTO_TEST_CASE(a_pause_of_no_time_changes_nothing)
{
    endpoint_announcements known;
    known.record(key, {.retry_after = 0}, start);
    BOOST_TEST(!known.is_paused(key, start));
}

// Guards against an endpoint that is used again before it has left, and against
// one that is lost for good because it always says that it leaves.
BOOST_AUTO_TEST_CASE(leaving_is_remembered_for_a_bounded_time)
{
    endpoint_announcements known;
    BOOST_TEST(known.record(key, {.leaving = true}, start).leaving);
    BOOST_TEST(!known.record(key, {.leaving = true}, start + 1).leaving);
    known.record(key, {}, start + 2);
    BOOST_TEST(known.is_leaving(key, start + 60'000));
    BOOST_TEST(known.leaving(start + 60'000).size() == 1U);
    BOOST_TEST(!known.is_leaving(
        key, start + 1 + endpoint_announcements::leaving_memory));
}

// Guards against announcements that outlive their incarnation.
BOOST_AUTO_TEST_CASE(announcements_of_other_incarnations_are_forgotten)
{
    endpoint_announcements known;
    known.record(key, {.rate_limit = 2, .retry_after = 3000}, start);
    known.record(other, {.rate_limit = 3}, start);
    known.retain({other});
    BOOST_TEST(!known.is_paused(key, start));
    BOOST_TEST(!known.rate_limit(key).has_value());
    BOOST_TEST((known.rate_limit(other) == 3.0));
}
