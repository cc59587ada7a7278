#include "galenapulley/partition_detector.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

constexpr std::size_t fleet_size = 10;
constexpr msec start = 100'000;
constexpr msec connect_timeout = 400;

using change = partition_detector::change;

/// Fails connections to endpoints 1 to n, one after the other.
change fail(partition_detector& target, endpoint_key n, msec from)
{
    auto last = change::none;
    for (endpoint_key key = 1; key <= n; ++key)
    {
        const auto began = from + static_cast<msec>(key - 1) * connect_timeout;
        last = target.on_unreachable(key, began, began + connect_timeout,
                                     fleet_size);
    }
    return last;
}

} // namespace

BOOST_AUTO_TEST_CASE(failures_at_several_endpoints_are_a_partition)
{
    partition_detector target;
    target.on_connected(9, start, fleet_size);
    BOOST_TEST((fail(target, 2, start + 1) == change::none));
    BOOST_TEST((target.on_unreachable(3, start + 900, start + 901,
                                      fleet_size) == change::began));
    BOOST_TEST(target.is_partitioned());
}

// Guards against one crashed endpoint that is taken for a partition.
BOOST_AUTO_TEST_CASE(one_endpoint_that_fails_often_is_no_partition)
{
    partition_detector target;
    for (msec at = start; at < start + 2000; at += 100)
        target.on_unreachable(1, at, at + 1, fleet_size);
    BOOST_TEST(!target.is_partitioned());
}

// Guards against a crash of a failure domain that is taken for a partition.
BOOST_AUTO_TEST_CASE(a_success_in_between_rules_a_partition_out)
{
    partition_detector target;
    for (endpoint_key key = 1; key <= 8; ++key)
    {
        const auto at = start + static_cast<msec>(key) * 100;
        target.on_unreachable(key, at, at + 1, fleet_size);
        if (key % 2 == 0)
            target.on_connected(9, at + 50, fleet_size);
    }
    BOOST_TEST(!target.is_partitioned());
}

// Guards against a connection of before the partition that hides it: its
// success becomes known only when its stream ends.
BOOST_AUTO_TEST_CASE(a_success_that_began_before_counts_for_nothing)
{
    partition_detector target;
    fail(target, 2, start);
    target.on_connected(9, start - 1, fleet_size);
    BOOST_TEST((target.on_unreachable(3, start + 900, start + 901,
                                      fleet_size) == change::began));
    BOOST_TEST(
        (target.on_connected(8, start + 899, fleet_size) == change::none));
    BOOST_TEST(target.is_partitioned());
}

// Guards against a failure that was noticed only after a later success.
BOOST_AUTO_TEST_CASE(a_failure_that_began_before_a_success_counts_for_nothing)
{
    partition_detector target;
    target.on_connected(9, start + 2000, fleet_size);
    fail(target, 4, start);
    BOOST_TEST(!target.is_partitioned());
}

// Guards against a partition that outlasts its cause, and against one that ends
// with a single connection that got through.
BOOST_AUTO_TEST_CASE(two_endpoints_that_are_reached_end_a_partition)
{
    partition_detector target;
    fail(target, 3, start);
    BOOST_TEST(
        (target.on_connected(4, start + 3000, fleet_size) == change::none));
    BOOST_TEST(
        (target.on_connected(4, start + 3100, fleet_size) == change::none));
    target.on_unreachable(5, start + 3200, start + 3201, fleet_size);
    BOOST_TEST(
        (target.on_connected(4, start + 3300, fleet_size) == change::none));
    BOOST_TEST(
        (target.on_connected(6, start + 3400, fleet_size) == change::ended));
    BOOST_TEST(!target.is_partitioned());
}

// Guards against a small deployment whose partition is never noticed.
BOOST_AUTO_TEST_CASE(few_endpoints_need_fewer_failures)
{
    partition_detector target;
    BOOST_TEST(
        (target.on_unreachable(1, start, start + 1, 1) == change::began));
    BOOST_TEST((target.on_connected(1, start + 500, 1) == change::ended));
}

// Guards against failures of minutes that add up.
BOOST_AUTO_TEST_CASE(old_failures_do_not_count)
{
    partition_detector target;
    fail(target, 2, start);
    const auto later = start + 2 * partition_detector::failure_window;
    target.on_unreachable(3, later, later + 1, fleet_size);
    BOOST_TEST(!target.is_partitioned());
}
