#include "galenapulley/load_report.hpp"
#include "galenapulley/warm_up.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace galenapulley;

namespace
{

constexpr warm_up::limits bounds{.slots = 16, .cold_slots = 2};

load_report report_of(bool cold, std::int64_t incarnation = 1)
{
    load_report report;
    report.cold = cold;
    report.incarnation = incarnation;
    return report;
}

/// A back end that is warm and whose prefill takes 0.1 ms a token.
warm_up make_warm(msec& now)
{
    warm_up ramp(bounds, now);
    ramp.on_report(report_of(false), now);
    now += 10'000;
    for (int n = 0; n < 20; ++n)
        ramp.on_first_token(10'000, 1'100, now);
    BOOST_REQUIRE(ramp.is_warm(now));
    return ramp;
}

} // namespace

// Guards against full load on a back end that hasn't been reported as warm.
BOOST_AUTO_TEST_CASE(stays_cold_without_a_warm_report)
{
    warm_up ramp(bounds, 0);
    BOOST_TEST(ramp.limit(60'000) == 2U);
    ramp.on_report(report_of(true), 60'000);
    BOOST_TEST(ramp.limit(120'000) == 2U);
    ramp.on_report(report_of(false), 120'000);
    BOOST_TEST(ramp.limit(121'999) == 2U);
    BOOST_TEST(ramp.limit(122'000) == 4U);
    BOOST_TEST(ramp.limit(126'000) == 16U);
    BOOST_TEST(ramp.limit(1'000'000) == 16U);
}

// Guards against a plain server that never leaves cold start, because plain
// servers send no reports.
BOOST_AUTO_TEST_CASE(plain_server_warms_without_reports)
{
    warm_up ramp({.slots = 8, .cold_slots = 1, .reports = false}, 0);
    BOOST_TEST(ramp.limit(6'000) == 8U);
    ramp.on_connection_failure(6'000);
    BOOST_TEST(ramp.limit(7'000) == 1U);
    BOOST_TEST(ramp.limit(12'000) == 8U);
}

// Guards against a limit above the ramp after any sequence of cold events. The
// reference recomputes the limit from the last change of state.
RC_BOOST_PROP(limit_follows_the_last_cold_event,
              (const std::vector<std::uint8_t>& ops))
{
    warm_up ramp(bounds, 0);
    msec now = 0;
    msec warm_since = -1;
    std::int64_t incarnation = 1;
    for (const auto op : ops)
    {
        now += op * 20_ms;
        const bool cold = op % 5 == 0;
        if (op % 7 == 0)
        {
            ramp.on_connection_failure(now);
            warm_since = -1;
        }
        else
        {
            const bool replaced = op % 11 == 0;
            incarnation += replaced ? 1 : 0;
            ramp.on_report(report_of(cold, incarnation), now);
            if (cold)
                warm_since = -1;
            else if (warm_since < 0 || replaced)
                warm_since = now;
        }
        std::uint32_t limit = 2;
        for (msec t = warm_since; warm_since >= 0 && t + 2'000 <= now;
             t += 2'000)
            limit = std::min(16U, limit * 2);
        RC_ASSERT(ramp.limit(now) == limit);
    }
}

// Guards against full load on a back end that has become cold while its last
// report still says warm.
BOOST_AUTO_TEST_CASE(slow_first_token_restarts_the_ramp)
{
    msec now = 0;
    auto ramp = make_warm(now);
    // 1,100 ms are expected.
    auto other = ramp;
    BOOST_TEST(!other.on_first_token(10'000, 4'390, now));
    BOOST_TEST(other.is_warm(now));
    BOOST_TEST(ramp.on_first_token(10'000, 4'400, now));
    BOOST_TEST(ramp.limit(now) == 2U);
    ramp.on_report(report_of(false), now + 100);
    BOOST_TEST(ramp.limit(now + 2'000) == 4U);
}

// Guards against mistaking a long prompt's normal time to first token for that
// of a cold back end.
BOOST_AUTO_TEST_CASE(expected_time_grows_with_the_prompt)
{
    msec now = 0;
    auto ramp = make_warm(now);
    BOOST_TEST(!ramp.on_first_token(500'000, 60'000, now));
    BOOST_TEST(ramp.on_first_token(1'000, 60'000, now));
}

// Guards against one slow period that becomes the reference at once, and
// against a permanently slower back end that is never accepted as warm again.
BOOST_AUTO_TEST_CASE(lasting_slowness_is_accepted_slowly)
{
    msec now = 0;
    auto ramp = make_warm(now);
    int detected = 0;
    while (detected < 1000 && ramp.on_first_token(10'000, 6'000, now))
        ++detected;
    BOOST_TEST(detected > 5);
    BOOST_TEST(detected < 60);
}

// Guards against a ramp that advances despite errors.
BOOST_AUTO_TEST_CASE(error_repeats_the_step)
{
    warm_up ramp(bounds, 0);
    ramp.on_report(report_of(false), 0);
    ramp.on_error(3'900);
    BOOST_TEST(ramp.limit(5'800) == 4U);
    BOOST_TEST(ramp.limit(5'900) == 8U);
}

// Guards against restarting the ramp on every document change.
BOOST_AUTO_TEST_CASE(changed_limits_keep_the_ramp)
{
    msec now = 0;
    auto ramp = make_warm(now);
    ramp.set_limits({.slots = 32, .cold_slots = 2});
    BOOST_TEST(ramp.limit(now) == 32U);
}
