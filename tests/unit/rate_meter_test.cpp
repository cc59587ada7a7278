#include "galenapulley/rate_meter.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

/// Requests at a constant rate; returns the time after the last one.
msec run(rate_meter& meter, msec from, msec duration, msec interval)
{
    for (msec at = from; at < from + duration; at += interval)
        meter.on_request(at);
    return from + duration;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_constant_rate_is_measured)
{
    rate_meter meter;
    const auto end = run(meter, 0, 60'000, 20);
    BOOST_TEST(meter.value(end) > 45);
    BOOST_TEST(meter.value(end) < 55);
}

// Load pattern: bursts of ten seconds with pauses of the same length.
BOOST_AUTO_TEST_CASE(a_burst_counts_soon_and_is_remembered)
{
    rate_meter meter;
    const auto end = run(meter, 0, 4'000, 10);
    BOOST_TEST(meter.value(end) > 80);
    run(meter, end, 6'000, 10);
    BOOST_TEST(meter.value(end + 16'000) > 20);
    BOOST_TEST(meter.value(end + 120'000) < 1);
}

BOOST_AUTO_TEST_CASE(no_requests_have_no_rate)
{
    const rate_meter meter;
    BOOST_TEST(meter.value(5'000) == 0);
}
