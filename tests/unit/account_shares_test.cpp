#include "galenapulley/accounts/account_limits.hpp"
#include "galenapulley/accounts/account_shares.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;

namespace
{

constexpr account_key large = 1;
constexpr account_key small = 2;
const std::string service = "svc";

/// Counts one placement with an id of its own.
void use(account_shares& shares, account_key account, double cost_ms, msec now)
{
    static std::uint64_t request = 0;
    shares.on_placed(
        service, {.request = ++request, .account = account, .cost_ms = cost_ms},
        now);
}

double use_of(const account_shares& shares, account_key account, msec now)
{
    for (const auto& it : shares.uses(service, now))
        if (it.account == account)
            return it.use_ms;
    return 0;
}

std::vector<bool> over(const account_shares& shares,
                       const std::vector<account_demand>& waiting, msec now)
{
    return shares.over_share(service, waiting, now);
}

} // namespace

// Guards against an account that is never limited, or a small one that is.
BOOST_AUTO_TEST_CASE(use_above_the_share_and_the_credit_is_over)
{
    account_shares shares;
    use(shares, large, 5000, 0);
    use(shares, small, 1000, 0);
    BOOST_TEST(shares.is_over_share(service, large, 0));
    BOOST_TEST(!shares.is_over_share(service, small, 0));
    BOOST_TEST(!shares.is_over_share("other", large, 0));
    const std::vector<bool> expected{true, false};
    BOOST_TEST(over(shares, {{large, 10}, {small, 10}}, 0) == expected,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_burst_within_the_credit_is_not_over)
{
    account_shares shares;
    use(shares, large, account_shares::burst_credit_ms, 0);
    use(shares, small, 1, 0);
    BOOST_TEST(!shares.is_over_share(service, large, 0));
}

// Guards against a limit for an account that only used what nobody else wanted.
BOOST_AUTO_TEST_CASE(the_only_waiting_account_is_not_over)
{
    account_shares shares;
    use(shares, large, 50'000, 0);
    use(shares, small, 10, 0);
    const auto out = over(shares, {{large, 10}, {large, 10}}, 0);
    BOOST_TEST(std::count(out.begin(), out.end(), true) == 0);
}

// Guards against a backlog after an interruption, when no use is known, in
// which the account with most requests gets most of the endpoints.
BOOST_AUTO_TEST_CASE(requests_ahead_count_as_use)
{
    const account_shares shares;
    std::vector<account_demand> waiting(20, {large, 200});
    waiting.push_back({small, 200});
    const auto out = over(shares, waiting, 0);
    BOOST_TEST(!out.front());
    BOOST_TEST(std::count(out.begin(), out.end(), false) <= 6);
    BOOST_TEST(!out.back());
}

BOOST_AUTO_TEST_CASE(shares_follow_the_weights)
{
    account_shares shares;
    shares.set_weight(large, 5);
    shares.set_weight(small, -1);
    use(shares, large, 5000, 0);
    use(shares, small, 1000, 0);
    BOOST_TEST(!shares.is_over_share(service, large, 0));
    use(shares, large, 5000, 0);
    BOOST_TEST(shares.is_over_share(service, large, 0));
}

// Guards against an account that pays for an old burst: of a node that died, or
// of a time in which others wanted nothing.
BOOST_AUTO_TEST_CASE(use_ages_out)
{
    account_shares shares;
    use(shares, large, 20'000, 0);
    for (msec now = 0; now <= 60'000; now += 1000)
        use(shares, small, 100, now);
    BOOST_TEST(shares.is_over_share(service, large, 1000));
    BOOST_TEST(!shares.is_over_share(service, large, 60'000));
    BOOST_TEST(use_of(shares, large, 10'000) > 7000);
    BOOST_TEST(use_of(shares, large, 10'000) < 7700);
}

// Guards against use that counts twice when an announcement is repeated or
// arrives again after the request's end.
BOOST_AUTO_TEST_CASE(a_repeated_announcement_counts_once)
{
    account_shares shares;
    const account_placement item{
        .request = 7, .account = large, .cost_ms = 100};
    BOOST_TEST(shares.on_placed(service, item, 0));
    auto listed = item;
    for (listed.age = 0; listed.age <= 60'000; listed.age += 2000)
        BOOST_TEST(!shares.on_placed(service, listed, listed.age));
    BOOST_TEST(use_of(shares, large, 0) < 101);
}

// Guards against work that a peer placed long ago and that counts as new when
// this node has just started.
BOOST_AUTO_TEST_CASE(late_news_count_by_their_age)
{
    account_shares shares;
    shares.on_placed(service,
                     {.request = 1,
                      .account = large,
                      .cost_ms = 1000,
                      .age = account_shares::decay_time},
                     50'000);
    BOOST_TEST(use_of(shares, large, 50'000) < 400);
    BOOST_TEST(!shares.on_placed(
        service,
        {.request = 2, .account = large, .cost_ms = 1000, .age = 11'000},
        50'000));
    // An age from a clock that is ahead.
    shares.on_placed(
        service,
        {.request = 3, .account = small, .cost_ms = 1000, .age = -9000},
        50'000);
    BOOST_TEST(use_of(shares, small, 50'000) <= 1000);
}

// Guards against one faulty announcement that limits an account for long, and
// against memory that grows with the accounts that a peer names.
BOOST_AUTO_TEST_CASE(faulty_announcements_are_bounded)
{
    account_shares shares;
    use(shares, large, 1e300, 0);
    BOOST_TEST(use_of(shares, large, 0) <= account_shares::max_cost_ms);
    use(shares, small, std::numeric_limits<double>::quiet_NaN(), 0);
    BOOST_TEST(use_of(shares, small, 0) == 0);
    for (account_key n = 10; n < 5000; ++n)
        use(shares, n, 100, 0);
    BOOST_TEST(shares.uses(service, 0).size() <= account_shares::max_accounts);
}

BOOST_AUTO_TEST_CASE(the_cost_of_a_prompt_grows_with_its_length)
{
    const engine_profile engine{.slots = 12,
                                .memory_tokens = 450'000,
                                .step_ms = 0.925,
                                .prefill_tokens_per_ms = 256};
    const auto brief = endpoint_time_ms(engine, 5000, 100);
    BOOST_TEST(brief > 20);
    BOOST_TEST(brief < 50);
    BOOST_TEST(endpoint_time_ms(engine, 300'000, 100) > 40 * brief);
    BOOST_TEST(endpoint_time_ms(engine, 5000, 1000) > 2 * brief);
}

// Guards against shares by which everyone is over: then there is no order.
BOOST_AUTO_TEST_CASE(some_active_account_is_always_under_its_share)
{
    rc::check(
        [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& placed,
           const std::vector<std::pair<std::uint8_t, std::uint16_t>>& queue)
        {
            account_shares shares;
            std::set<account_key> accounts;
            for (const auto& [account, cost] : placed)
            {
                use(shares, account, cost, 0);
                accounts.insert(account);
            }
            const auto all = shares.uses(service, 0);
            RC_ASSERT(all.empty() ||
                      std::any_of(all.begin(), all.end(),
                                  [&shares](const account_use& it) {
                                      return !shares.is_over_share(
                                          service, it.account, 0);
                                  }));
            std::vector<account_demand> waiting;
            for (const auto& [account, cost] : queue)
            {
                waiting.push_back({account, static_cast<double>(cost)});
                accounts.erase(account);
            }
            // If all active accounts wait, one has a request under its share.
            const auto marks = over(shares, waiting, 0);
            RC_ASSERT(!accounts.empty() || waiting.empty() ||
                      std::count(marks.begin(), marks.end(), false) > 0);
        });
}

// Guards against a log line for each request of a limited account.
BOOST_AUTO_TEST_CASE(a_limit_begins_and_ends_once)
{
    account_limits limits;
    BOOST_TEST(limits.on_limited({service, large}, 0));
    for (msec now = 100; now <= 5000; now += 100)
    {
        BOOST_TEST(!limits.on_limited({service, large}, now));
        BOOST_TEST(limits.take_ended(now).empty());
    }
    BOOST_TEST(limits.is_limited({service, large}));
    BOOST_TEST(limits.take_ended(6999).empty());
    BOOST_TEST(limits.take_ended(7000).size() == 1U);
    BOOST_TEST(limits.size() == 0U);
}
