#include "galenapulley/retry_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace galenapulley;

namespace
{

std::int64_t count_since(const std::vector<msec>& times, msec since)
{
    return std::count_if(times.begin(), times.end(),
                         [&](msec at) { return at > since; });
}

} // namespace

// Guards against a retry storm. The reference keeps the time of every request
// and retry and checks the bound for the exact window.
RC_BOOST_PROP(never_exceeds_the_bound_in_any_window,
              (const std::vector<std::uint16_t>& ops))
{
    retry_budget budget;
    std::vector<msec> requests;
    std::vector<msec> retries;
    msec now = 5;
    for (const auto op : ops)
    {
        now += op % 16 == 0 ? op % 4000 : op % 40;
        for (int n = 0; n < op % 7; ++n)
        {
            budget.on_request(now);
            requests.push_back(now);
        }
        for (int n = 0; n < op % 5; ++n)
        {
            if (!budget.take_retry(1, now))
                continue;
            retries.push_back(now);
            const auto since = now - retry_budget::window;
            RC_ASSERT(count_since(retries, since) <=
                      10 + count_since(requests, since) / 10);
        }
    }
}

// Guards against a budget that never recovers, or that counts refused retries.
BOOST_AUTO_TEST_CASE(budget_returns_after_the_window)
{
    retry_budget budget;
    int taken = 0;
    for (int n = 0; n < 100; ++n)
        taken += budget.take_retry(1, 500) ? 1 : 0;
    BOOST_TEST(taken == 10);
    BOOST_TEST(budget.take_retry(1, 11'500));
}

// Guards against a third attempt of a request.
BOOST_AUTO_TEST_CASE(two_back_ends_are_the_limit)
{
    retry_budget budget;
    BOOST_TEST(budget.take_retry(1, 0));
    BOOST_TEST(!budget.take_retry(2, 0));
}
