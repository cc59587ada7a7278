#include "galenapulley/admission/admission_control.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

admission_question question(double expected_ms)
{
    return {.forecast = {.expected_ms = expected_ms,
                         .error_ms = 200,
                         .wait_ms = expected_ms - 100},
            .waited_ms = 300,
            .useful_ms = 2000,
            .others_wait = true};
}

} // namespace

// Guards against holding requests until their clients have disconnected.
BOOST_AUTO_TEST_CASE(requests_that_come_too_late_are_refused)
{
    BOOST_TEST(!admission_control::retry_after(question(1900)));
    const auto refused = admission_control::retry_after(question(1901));
    BOOST_TEST_REQUIRE(refused.has_value());
    BOOST_TEST(*refused == 1801);
}

// Guards against refusals while an endpoint is free and no request waits, and
// by forecasts that rest on no result.
BOOST_AUTO_TEST_CASE(free_or_unknown_capacity_is_no_reason)
{
    auto item = question(5000);
    item.forecast.has_free_slot = true;
    BOOST_TEST(admission_control::retry_after(item).has_value());
    item.others_wait = false;
    BOOST_TEST(!admission_control::retry_after(item));
    item = question(5000);
    item.forecast.is_known = false;
    BOOST_TEST(!admission_control::retry_after(item));
}

// Guards against refused clients that return in one wave.
BOOST_AUTO_TEST_CASE(returns_are_spread)
{
    const first_token_forecast made{.wait_ms = 2000};
    BOOST_TEST(admission_control::return_time(made, 0) == 2000);
    BOOST_TEST(admission_control::return_time(made, 1) == 2500);
    BOOST_TEST(admission_control::return_time({}, 0) > 0);
}

// Guards against a record of refusals that grows without bound, and against an
// old refusal that still moves a request ahead.
BOOST_AUTO_TEST_CASE(refusals_are_remembered_until_the_deadline)
{
    admission_control target;
    target.on_refused(1, 1000, 0);
    BOOST_TEST(target.take_returning(1, 500));
    BOOST_TEST(!target.take_returning(1, 500));
    target.on_refused(2, 1000, 0);
    BOOST_TEST(!target.take_returning(2, 1000));
    for (std::uint64_t n = 0; n < 2 * admission_control::max_refused; ++n)
        target.on_refused(n, 5000, 0);
    BOOST_TEST(target.size() == admission_control::max_refused);
    target.on_refused(1, 9000, 5000);
    BOOST_TEST(target.size() == 1U);
}
