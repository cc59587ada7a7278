#include "galenapulley/endpoints/endpoint_estimates.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

using namespace galenapulley;

namespace
{

constexpr auto period = endpoint_estimates::aging_period;
constexpr msec begin = 100'000;

/// Endpoints 1 to n of one service.
struct fixture
{
    endpoint_estimates target;
    msec now = begin;

    explicit fixture(endpoint_key n = 12) { set(n); }

    void set(endpoint_key n)
    {
        std::vector<endpoint_estimates::member> members;
        for (endpoint_key key = 1; key <= n; ++key)
            members.push_back({.key = key, .service = "svc"});
        target.set_members(members);
    }

    void succeed(endpoint_key key, int times)
    {
        for (int k = 0; k < times; ++k)
            target.on_success(key, now);
    }

    void fail(endpoint_key key, int times,
              failure_evidence evidence = failure_evidence::failed)
    {
        for (int k = 0; k < times; ++k)
            target.on_failure(key, evidence, now);
    }

    std::vector<ejection_change> evaluate()
    {
        now += endpoint_estimates::evaluation_period;
        return target.evaluate(now);
    }

    std::set<endpoint_key> ejected(endpoint_key n = 12) const
    {
        std::set<endpoint_key> out;
        for (endpoint_key key = 1; key <= n; ++key)
            if (target.is_ejected(key))
                out.insert(key);
        return out;
    }

    /// Ejects an endpoint and returns its time out.
    msec eject(endpoint_key key)
    {
        fail(key, 10);
        const auto changes = evaluate();
        BOOST_TEST_REQUIRE(changes.size() == 1U);
        BOOST_TEST_REQUIRE(changes.front().ejected);
        return changes.front().time_out;
    }

    /// Lets trials succeed until the endpoint is reinstated.
    void reinstate(endpoint_key key)
    {
        now += endpoint_estimates::max_time_out;
        succeed(key, 10);
        const auto changes = evaluate();
        BOOST_TEST_REQUIRE(changes.size() == 1U);
        BOOST_TEST_REQUIRE(!changes.front().ejected);
    }

    /// A peer's report of failures at an endpoint.
    bool report(const std::string& peer, endpoint_key key, double failure_rate,
                double weight = 20, msec age = 0, double slowdown = 1)
    {
        return target.on_peer_estimate(peer,
                                       {.endpoint = key,
                                        .slowdown = slowdown,
                                        .failure_rate = failure_rate,
                                        .weight = weight,
                                        .at = now - age},
                                       now);
    }
};

} // namespace

// Guards against the loss of an endpoint to a single failure, whatever its
// kind.
BOOST_AUTO_TEST_CASE(one_failure_ejects_nothing)
{
    for (const auto evidence :
         {failure_evidence::failed, failure_evidence::unreachable,
          failure_evidence::broken})
    {
        fixture fleet;
        fleet.fail(3, 1, evidence);
        fleet.evaluate();
        BOOST_TEST(fleet.ejected().empty());
    }
}

// Guards against an endpoint that fails nearly half of its requests, passes
// every health check and keeps its share of the work.
BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_many_requests_is_ejected)
{
    fixture fleet;
    for (int n = 0; n < 20; ++n)
        for (endpoint_key key = 1; key <= 12; ++key)
        {
            fleet.now += 10;
            if (key == 3 && n % 20 < 9)
                fleet.fail(key, 1);
            else
                fleet.succeed(key, 1);
        }
    const auto changes = fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{3}));
    BOOST_TEST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().key == 3U);
    BOOST_TEST(changes.front().ejected);
    BOOST_TEST(changes.front().failure_rate > endpoint_estimates::eject_rate);
}

// Guards against endpoints that are ejected because of what fails everywhere,
// such as a network or the requests.
BOOST_AUTO_TEST_CASE(failures_of_all_endpoints_eject_none)
{
    fixture fleet;
    for (endpoint_key key = 1; key <= 12; ++key)
    {
        fleet.fail(key, 10);
        fleet.succeed(key, 10);
    }
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
}

// Guards against an endpoint that is ejected because one request ended it:
// all its connections break at once, and it doesn't return under this key.
BOOST_AUTO_TEST_CASE(connections_that_break_at_once_are_one_weak_failure)
{
    fixture fleet;
    fleet.succeed(3, 4);
    fleet.fail(3, 12, failure_evidence::broken);
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
    BOOST_TEST(fleet.target.own(fleet.now).front().failure_rate < 0.1);
}

// Guards against an endpoint that breaks connections and goes on serving, which
// no crash explains.
BOOST_AUTO_TEST_CASE(broken_connections_count_fully_once_the_endpoint_serves)
{
    fixture fleet;
    for (int n = 0; n < 10; ++n)
    {
        fleet.now += 200;
        fleet.fail(3, 1, failure_evidence::broken);
        fleet.succeed(3, 1);
    }
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{3}));
    BOOST_TEST(std::abs(fleet.target.own(fleet.now).front().failure_rate -
                        0.5) < 0.05);
}

// Guards against an endpoint that is lost again and again while most of its
// requests succeed.
BOOST_AUTO_TEST_CASE(a_flapping_endpoint_is_ejected)
{
    fixture fleet;
    for (int n = 0; n < 3; ++n)
    {
        fleet.succeed(3, 30);
        fleet.now += 2800;
        fleet.fail(3, 1, failure_evidence::unreachable);
    }
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{3}));
}

// Guards against results that count for ever or vanish at once.
BOOST_AUTO_TEST_CASE(a_result_counts_half_after_exactly_the_aging_period)
{
    fixture fleet;
    fleet.succeed(3, 8);
    const auto weight = [&fleet](msec age)
    {
        for (const auto& it : fleet.target.all(begin + age))
            if (it.key == 3)
                return it.attempts;
        return -1.0;
    };
    BOOST_TEST(weight(0) == 8.0);
    BOOST_TEST(weight(period) == 4.0);
    BOOST_TEST(weight(period - 1) > 4.0);
    BOOST_TEST(weight(period + 1) < 4.0);
    BOOST_TEST(weight(2 * period) == 2.0);
}

// Guards against an endpoint that changes state with every result: at the aging
// period its rate lies between both thresholds and changes nothing in either
// direction.
BOOST_AUTO_TEST_CASE(a_rate_between_the_thresholds_changes_nothing)
{
    fixture fleet;
    // 5 of 10: 5 / (10 + 4), above the first threshold.
    fleet.succeed(3, 5);
    fleet.fail(3, 5);
    fleet.evaluate();
    BOOST_TEST_REQUIRE((fleet.ejected() == std::set<endpoint_key>{3}));
    // Half of it and three trials: 2.5 / (5 + 3 + 4) lies between them.
    fleet.now = begin + period;
    fleet.succeed(3, 3);
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{3}));
    // Further trials lower it below the second one.
    fleet.succeed(3, 20);
    BOOST_TEST(fleet.evaluate().size() == 1U);
    BOOST_TEST(fleet.ejected().empty());
    // Three more failures, 5.5 / (31 + 4), lie between them again.
    fleet.fail(3, 3);
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
}

// Guards against an endpoint that returns because nothing was heard of it, and
// against trials that count although others failed meanwhile.
BOOST_AUTO_TEST_CASE(only_successful_trials_in_a_row_reinstate)
{
    fixture fleet;
    fleet.eject(3);
    fleet.now += 20 * period;
    fleet.evaluate();
    BOOST_TEST(fleet.target.is_ejected(3));
    fleet.succeed(3, 2);
    fleet.fail(3, 1);
    fleet.succeed(3, 2);
    fleet.evaluate();
    BOOST_TEST(fleet.target.is_ejected(3));
    fleet.now += 2 * period;
    fleet.succeed(3, 1);
    fleet.evaluate();
    BOOST_TEST(!fleet.target.is_ejected(3));
}

// Guards against trials during the time out, and against trials that take more
// than a part of the work that the endpoint would get otherwise.
BOOST_AUTO_TEST_CASE(trials_begin_after_the_time_out_and_are_few)
{
    fixture fleet;
    const auto time_out = fleet.eject(3);
    const auto at = fleet.now;
    BOOST_TEST(!fleet.target.is_trial_due(3, 0, at + time_out - 1));
    BOOST_TEST(fleet.target.is_trial_due(3, 0, at + time_out));
    BOOST_TEST(fleet.target.is_trial_due(3, 0.012, at + time_out));
    BOOST_TEST(!fleet.target.is_trial_due(3, 0.013, at + time_out));
    BOOST_TEST(!fleet.target.is_trial_due(4, 0, at + time_out));
    // Successes of requests that were placed before are no trials.
    fleet.succeed(3, 200);
    fleet.evaluate();
    BOOST_TEST(fleet.target.is_ejected(3));
}

// Guards against a flapping endpoint that returns at the same pace for ever,
// and against one that never gets its first pace back.
BOOST_AUTO_TEST_CASE(the_time_out_grows_to_a_bound_and_shrinks)
{
    fixture fleet;
    std::vector<msec> time_outs;
    for (int n = 0; n < 7; ++n)
    {
        time_outs.push_back(fleet.eject(3));
        fleet.reinstate(3);
    }
    const std::vector<msec> expected{5000,   10'000, 20'000, 40'000,
                                     60'000, 60'000, 60'000};
    BOOST_TEST(time_outs == expected, boost::test_tools::per_element());
    fleet.now += 2 * endpoint_estimates::recovery_period;
    BOOST_TEST(fleet.eject(3) == 20'000);
    fleet.reinstate(3);
    fleet.now += 100 * endpoint_estimates::recovery_period;
    BOOST_TEST(fleet.eject(3) == endpoint_estimates::first_time_out);
}

// Guards against a service that loses most of its endpoints to estimates, and
// against a cap that spares the worst ones.
BOOST_AUTO_TEST_CASE(at_most_a_third_and_the_worst_are_ejected)
{
    for (endpoint_key n = 1; n <= 12; ++n)
    {
        fixture fleet(n);
        // Fewer than half, so that the median is that of sound endpoints.
        const endpoint_key bad = (n - 1) / 2;
        for (endpoint_key key = 1; key <= n; ++key)
        {
            fleet.succeed(key, 10);
            if (key <= bad)
                fleet.fail(key, 20 + static_cast<int>(key));
        }
        fleet.evaluate();
        const auto ejected = fleet.ejected(n);
        const endpoint_key allowed = n < 3 ? 0 : n / 3;
        BOOST_TEST(ejected.size() == std::min(bad, allowed));
        for (const auto key : ejected)
            BOOST_TEST(key > bad - ejected.size());
    }
}

// Guards against ejected endpoints that keep their places when a worse one
// fails, and when the service shrinks.
BOOST_AUTO_TEST_CASE(the_cap_holds_when_endpoints_fail_or_leave_later)
{
    fixture fleet(6);
    fleet.succeed(1, 12);
    fleet.fail(1, 8);
    fleet.succeed(2, 12);
    fleet.fail(2, 10);
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{1, 2}));
    fleet.fail(3, 30);
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{2, 3}));
    fleet.set(5);
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{3}));
    fleet.set(2);
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
}

// Guards against an incarnation that inherits the estimate of an earlier one,
// and against records of endpoints that are gone.
BOOST_AUTO_TEST_CASE(removed_endpoints_are_forgotten)
{
    fixture fleet;
    fleet.eject(12);
    fleet.set(11);
    BOOST_TEST(fleet.target.all(fleet.now).size() == 11U);
    BOOST_TEST(!fleet.target.is_ejected(12));
    fleet.fail(12, 10);
    fleet.set(12);
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
}

// Guards against one endpoint whose slowness goes unnoticed, and against a
// uniformly wrong forecast that makes all endpoints look slow.
BOOST_AUTO_TEST_CASE(slowdown_is_relative_to_the_service)
{
    fixture fleet;
    for (int n = 0; n < 20; ++n)
        for (endpoint_key key = 1; key <= 12; ++key)
            fleet.target.on_first_token(key, key == 3 ? 1000 : 200, 100,
                                        fleet.now);
    fleet.evaluate();
    BOOST_TEST(fleet.target.slowdown(3) > 3.5);
    BOOST_TEST(fleet.target.slowdown(3) < 5.5);
    for (endpoint_key key = 4; key <= 12; ++key)
        BOOST_TEST(fleet.target.slowdown(key) == 1);
    BOOST_TEST(fleet.ejected().empty());
    // Without new evidence the endpoint is used again.
    fleet.now += 10 * period;
    fleet.evaluate();
    BOOST_TEST(fleet.target.slowdown(3) == 1);
}

// Guards against a single request behind an unknown queue that decides, and
// against times that make an estimate useless.
BOOST_AUTO_TEST_CASE(single_and_odd_times_are_bounded)
{
    fixture fleet;
    for (int n = 0; n < 20; ++n)
        for (endpoint_key key = 1; key <= 12; ++key)
            fleet.target.on_first_token(key, 100, 100, fleet.now);
    fleet.target.on_first_token(3, 60'000, 100, fleet.now);
    fleet.target.on_first_token(4, std::nan(""), 100, fleet.now);
    fleet.target.on_first_token(4, 100, 0, fleet.now);
    fleet.target.on_first_token(4, -5, 100, fleet.now);
    fleet.evaluate();
    BOOST_TEST(fleet.target.slowdown(3) == 1);
    BOOST_TEST(fleet.target.slowdown(4) == 1);
}

// Guards against a median of too few endpoints.
BOOST_AUTO_TEST_CASE(two_endpoints_are_not_compared)
{
    fixture fleet(2);
    for (int n = 0; n < 20; ++n)
    {
        fleet.target.on_first_token(1, 100, 100, fleet.now);
        fleet.target.on_first_token(2, 1000, 100, fleet.now);
    }
    fleet.evaluate();
    BOOST_TEST(fleet.target.slowdown(2) == 1);
}

// Guards against one node's links, or its faults, that take an endpoint away
// from all others; several nodes that agree do so.
BOOST_AUTO_TEST_CASE(one_peer_ejects_nothing_and_several_do)
{
    fixture fleet;
    for (int n = 0; n < 10; ++n)
        fleet.report("n2", 3, 1, 1000);
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
    fleet.report("n3", 3, 1);
    fleet.report("n4", 3, 1);
    fleet.evaluate();
    BOOST_TEST((fleet.ejected() == std::set<endpoint_key>{3}));
}

// Guards against peers that outvote this node's own results.
BOOST_AUTO_TEST_CASE(own_results_count_more_than_those_of_peers)
{
    fixture fleet;
    fleet.succeed(3, 60);
    for (int n = 0; n < 60; ++n)
        fleet.report("n" + std::to_string(n), 3, 0.4);
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
    for (const auto& it : fleet.target.all(fleet.now))
        if (it.key == 3)
            BOOST_TEST(it.peer_attempts <= it.attempts);
}

// Guards against estimates that travel between nodes and come back as new
// evidence.
BOOST_AUTO_TEST_CASE(estimates_of_peers_are_not_passed_on)
{
    fixture fleet;
    for (int n = 0; n < 8; ++n)
        fleet.report("n" + std::to_string(n), 3, 1, 20, 0, 4);
    fleet.evaluate();
    BOOST_TEST(fleet.target.slowdown(3) > 2);
    BOOST_TEST(fleet.target.own(fleet.now).empty());
    fleet.succeed(3, 1);
    BOOST_TEST_REQUIRE(fleet.target.own(fleet.now).size() == 1U);
    BOOST_TEST(fleet.target.own(fleet.now).front().slowdown == 1);
    BOOST_TEST(fleet.target.own(fleet.now).front().failure_rate == 0);
}

// Guards against a peer's estimate that stays after the peer is gone, or that
// an older message brings back.
BOOST_AUTO_TEST_CASE(estimates_of_peers_age)
{
    for (const msec age : {0_ms, period})
    {
        fixture fleet;
        fleet.report("n1", 3, 1, 2, age);
        fleet.report("n2", 3, 1, 2, age);
        fleet.evaluate();
        BOOST_TEST(fleet.ejected().empty() == (age == period));
    }
    fixture fleet;
    fleet.report("n1", 3, 1, 2, period);
    BOOST_TEST(!fleet.report("n1", 3, 1, 20, period + 1000));
    BOOST_TEST(!fleet.report("n9", 3, 1, 20, endpoint_estimates::max_age + 1));
    BOOST_TEST(fleet.report("n9", 3, 1, 20, endpoint_estimates::max_age));
}

// Guards against values of a faulty peer that change decisions or grow the
// record without bound.
BOOST_AUTO_TEST_CASE(values_out_of_range_are_ignored)
{
    fixture fleet;
    const double nan = std::nan("");
    const double infinite = std::numeric_limits<double>::infinity();
    for (const double bad : {nan, infinite, -infinite, -0.1, 1.1, 1e30})
        BOOST_TEST(!fleet.report("n2", 3, bad));
    for (const double bad : {nan, infinite, -infinite, -1.0, 0.0, 1e30})
        BOOST_TEST(!fleet.report("n2", 3, 1, bad));
    for (const double bad : {nan, infinite, -infinite, -1.0, 0.0, 1e30})
        BOOST_TEST(!fleet.report("n2", 3, 1, 20, 0, bad));
    BOOST_TEST(!fleet.report("n2", 3, 1, 20, -1));
    BOOST_TEST(!fleet.report("n2", 99, 1));
    BOOST_TEST(fleet.target.all(fleet.now).size() == 12U);
    for (std::size_t n = 0; n < 2 * endpoint_estimates::max_peers; ++n)
        BOOST_TEST(fleet.report("n" + std::to_string(n), 3, 0) ==
                   (n < endpoint_estimates::max_peers));
}

// Guards against a partition of this node that ejects endpoints after its end.
BOOST_AUTO_TEST_CASE(forgotten_results_eject_nothing)
{
    fixture fleet;
    fleet.fail(3, 10);
    fleet.target.forget_own_results();
    fleet.evaluate();
    BOOST_TEST(fleet.ejected().empty());
    BOOST_TEST(fleet.target.own(fleet.now).empty());
}
