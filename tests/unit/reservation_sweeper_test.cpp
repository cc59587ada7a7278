#include "galenapulley/reservation_sweeper.hpp"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace galenapulley;

namespace
{

constexpr msec ttl = 6000;

reservation entry(const std::string& id, msec age = 3000, msec left = 60'000)
{
    return {.id = id, .tokens = 100, .age = age, .deadline_left = left};
}

} // namespace

// Guards against parsing a wrong holder from an id, whose reservation would
// then be decided by another node's answers.
BOOST_AUTO_TEST_CASE(holder_is_parsed_from_the_id)
{
    const reservation_holder expected{.node = "n.1", .incarnation = 42};
    BOOST_TEST((holder_of("n.1.42.7") == expected));
    for (const auto* id : {"", "n", "n.1", ".1.2", "n.x.2", "n.1.", "n.1.-2"})
        BOOST_TEST(!holder_of(id).has_value());
}

// Guards against a release because of an answer by another node, or to a query
// that didn't name the reservation or was sent before it was listed.
BOOST_AUTO_TEST_CASE(only_a_matching_answer_releases)
{
    reservation_sweeper sweeper(ttl);
    const auto first = sweeper.sweep("e1", {entry("n.1.1")}, 1000);
    BOOST_TEST(first.queries.size() == 1U);
    const auto query = first.queries[0].id;
    const reservation_holder holder{.node = "n", .incarnation = 1};
    const auto releases_for =
        [&](std::int64_t number, const reservation_holder& from)
    {
        return sweeper.on_holder_answer(number, from, {"n.1.1"}, 1100)
            .releases.size();
    };
    BOOST_TEST(releases_for(query, {.node = "m", .incarnation = 1}) == 0U);
    BOOST_TEST(releases_for(query - 1, holder) == 0U);
    BOOST_TEST(releases_for(query + 1, holder) == 0U);
    // The id was reserved again at the engine, so the old query doesn't count.
    sweeper.sweep("e1", {entry("n.1.1", 100)}, 3000);
    BOOST_TEST(releases_for(query, holder) == 0U);
    const auto again = sweeper.sweep("e1", {entry("n.1.1", 2100)}, 5000);
    BOOST_TEST(again.queries.size() == 1U);
    BOOST_TEST(releases_for(again.queries[0].id, holder) == 1U);
}

// Guards against a release before the grace period after the deadline has
// expired, or none at all when the engine reports 0 for expired deadlines.
BOOST_AUTO_TEST_CASE(passed_deadline_releases_after_the_grace)
{
    reservation_sweeper sweeper(ttl);
    msec now = 0;
    const auto releases = [&](msec left)
    {
        now += 2000;
        return sweeper.sweep("e1", {entry("foreign", now, left)}, now)
            .releases.size();
    };
    BOOST_TEST(releases(1000) == 0U);
    BOOST_TEST(releases(0) == 0U);
    BOOST_TEST(releases(0) == 0U);
    BOOST_TEST(releases(0) == 0U);
    BOOST_TEST(releases(0) == 1U);
}

// Guards against reservations of an older incarnation that are kept, and
// reservations of the newest one that are released.
BOOST_AUTO_TEST_CASE(newer_incarnation_releases_the_older)
{
    reservation_sweeper sweeper(ttl);
    const std::vector list{entry("n.1.1"), entry("n.2.1")};
    sweeper.sweep("e1", list, 1000);
    sweeper.on_node_alive({.node = "n", .incarnation = 2}, 1500);
    const auto actions = sweeper.sweep("e1", list, 2000);
    BOOST_TEST(actions.releases.size() == 1U);
    BOOST_TEST(actions.releases.at(0).id == "n.1.1");
}

// Guards against considering a node silent while gossip has heartbeats of it,
// while the store is unreachable, or after a pause of the sweeper itself, and
// releasing its reservations.
BOOST_AUTO_TEST_CASE(silent_node_is_released_only_with_an_unchanged_lease)
{
    const reservation_holder holder{.node = "n", .incarnation = 1};
    const auto released = [&](bool gossip, bool store, bool pause)
    {
        reservation_sweeper sweeper(ttl);
        std::size_t count = 0;
        for (msec now = 2000; now <= 40'000; now += 2000)
        {
            if (pause && now % 14'000 < 8000)
                continue;
            if (gossip && now % 10'000 == 0)
                sweeper.on_node_alive(holder, now);
            if (store || now % 12'000 == 0)
                sweeper.on_lease_read(holder, 5, now);
            const auto list = {entry("n.1.1", now)};
            count += sweeper.sweep("e1", list, now).releases.size();
        }
        return count;
    };
    BOOST_TEST(released(false, true, false) > 0U);
    BOOST_TEST(released(true, true, false) == 0U);
    BOOST_TEST(released(false, false, false) == 0U);
    BOOST_TEST(released(false, true, true) == 0U);
}

namespace
{

/// Simulates nodes with running requests, an engine, and messages in transit.
struct simulation
{
    reservation_sweeper sweeper{ttl};
    msec now = 1000;
    std::vector<std::int64_t> incarnation{1, 1, 1};
    std::set<std::string> live;
    std::map<std::string, std::pair<msec, msec>> engine;
    std::deque<std::pair<std::size_t, holder_query>> queries;
    struct reply
    {
        std::int64_t query;
        reservation_holder from;
        std::vector<std::string> not_held;
    };
    std::deque<reply> replies;
    int requests = 0;

    static std::string name(std::size_t n) { return std::to_string(n) + "n"; }

    void reserve(std::size_t n)
    {
        const auto id = name(n) + "." + std::to_string(incarnation[n]) + "." +
                        std::to_string(++requests);
        live.insert(id);
        engine[id] = {now, now + 120'000};
    }

    void end(std::size_t choice, bool release_arrives)
    {
        if (live.empty())
            return;
        auto it = live.begin();
        std::advance(it, choice % live.size());
        if (release_arrives)
            engine.erase(*it);
        live.erase(it);
    }

    void restart(std::size_t n)
    {
        const auto prefix = name(n) + ".";
        std::erase_if(live, [&](const std::string& it)
                      { return it.rfind(prefix, 0) == 0; });
        ++incarnation[n];
    }

    void perform(const sweep_actions& actions)
    {
        for (const auto& it : actions.releases)
        {
            RC_ASSERT(live.count(it.id) == 0U);
            engine.erase(it.id);
        }
        for (const auto& it : actions.queries)
            queries.emplace_back(static_cast<std::size_t>(it.node[0] - '0'),
                                 it);
    }

    void sweep()
    {
        std::vector<reservation> list;
        for (const auto& [id, times] : engine)
            list.push_back({.id = id,
                            .tokens = 1,
                            .age = now - times.first,
                            .deadline_left = times.second - now});
        perform(sweeper.sweep("e1", list, now));
    }

    void answer()
    {
        if (queries.empty())
            return;
        const auto [n, query] = queries.front();
        queries.pop_front();
        reply out{.query = query.id,
                  .from = {.node = name(n), .incarnation = incarnation[n]},
                  .not_held = {}};
        for (const auto& it : query.reservations)
            if (live.count(it) == 0)
                out.not_held.push_back(it);
        replies.push_back(out);
    }

    void deliver()
    {
        if (replies.empty())
            return;
        const auto it = replies.front();
        replies.pop_front();
        perform(sweeper.on_holder_answer(it.query, it.from, it.not_held, now));
    }

    void heartbeats()
    {
        for (std::size_t n = 0; n < incarnation.size(); ++n)
            sweeper.on_node_alive(
                {.node = name(n), .incarnation = incarnation[n]}, now);
    }
};

} // namespace

// Guards against releasing a reservation that a running request holds, and
// against orphaned reservations that are never released.
RC_BOOST_PROP(releases_orphans_and_nothing_else, ())
{
    simulation sim;
    const auto steps =
        *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            100,
            rc::gen::resize(
                100, rc::gen::pair(rc::gen::inRange(0, 100),
                                   rc::gen::inRange<std::size_t>(0, 3000))));
    for (const auto& [action, choice] : steps)
    {
        if (action < 25)
            sim.reserve(choice % 3);
        else if (action < 40)
            sim.end(choice, choice % 2 == 0);
        else if (action < 60)
        {
            sim.now += static_cast<msec>(choice) % 900;
            sim.heartbeats();
        }
        else if (action < 75)
            sim.sweep();
        else if (action < 85)
            sim.answer();
        else if (action < 95)
            sim.deliver();
        else if (action < 97)
            sim.restart(choice % 3);
        else if (!sim.queries.empty())
            sim.queries.pop_front();
    }
    for (int n = 0; n < 10; ++n)
    {
        sim.now += 2000;
        sim.heartbeats();
        sim.sweep();
        while (!sim.queries.empty())
            sim.answer();
        while (!sim.replies.empty())
            sim.deliver();
    }
    std::set<std::string> left;
    for (const auto& [id, times] : sim.engine)
        left.insert(id);
    RC_ASSERT(left == sim.live);
}
