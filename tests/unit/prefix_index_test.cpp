#include "galenapulley/prefixes/prefix_index.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace galenapulley;

namespace
{

constexpr endpoint_key east = 1;
constexpr endpoint_key west = 2;
constexpr msec retention = 30'000;
constexpr std::uint64_t weights = 7;

prefix_holder holder(endpoint_key key, double tokens = 10'000)
{
    return {.endpoint = key,
            .retention = {.tokens = tokens, .time = retention},
            .weights = weights};
}

std::vector<prompt_prefix> prompt(const std::vector<std::uint64_t>& ids,
                                  std::uint32_t tokens = 1000)
{
    std::vector<prompt_part> parts;
    parts.reserve(ids.size());
    for (const auto id : ids)
        parts.push_back({.id = id,
                         .position = static_cast<std::uint32_t>(parts.size()),
                         .tokens = tokens});
    return prefixes_of(parts);
}

/// An index with two endpoints that retain prefixes.
struct two_holders
{
    prefix_index index;
    msec now = 100'000;

    explicit two_holders(double tokens = 10'000)
    {
        index.set_holders(
            std::vector{holder(east, tokens), holder(west, tokens)});
    }

    double retained(endpoint_key key, const std::vector<std::uint64_t>& ids)
    {
        return index.retained_tokens(key, prompt(ids), now);
    }

    void serve(endpoint_key key, const std::vector<std::uint64_t>& ids)
    {
        index.on_served(key, prompt(ids), now);
    }

    void report(const std::vector<held_prefix>& items, msec delay = 0)
    {
        for (auto it : items)
        {
            // Times in messages are relative.
            it.until += delay;
            index.on_report(it, now);
        }
    }
};

} // namespace

// Guards against prompts with the same parts in another order, or of unknown
// length, that count as the same prefix.
BOOST_AUTO_TEST_CASE(prefixes_depend_on_all_parts_and_their_order)
{
    const auto all = prompt({1, 2, 3});
    BOOST_TEST_REQUIRE(all.size() == 3U);
    BOOST_TEST(all[2].tokens == 3000);
    BOOST_TEST(all[2].added_tokens == 1000);
    BOOST_TEST(all[0].hash == prompt({1})[0].hash);
    BOOST_TEST(all[1].hash == prompt({1, 2, 9})[1].hash);
    BOOST_TEST(all[1].hash != prompt({2, 1})[1].hash);
    BOOST_TEST(all[2].hash != prompt({1, 9, 3})[2].hash);
    const std::vector<prompt_part> unknown{
        {.id = 1, .tokens = 5},
        {.id = 2, .position = 1},
        {.id = 3, .position = 2, .tokens = 5}};
    BOOST_TEST(prefixes_of(unknown).size() == 1U);
}

// The longest known prefix counts, at the endpoint that served it only.
BOOST_FIXTURE_TEST_CASE(a_longer_prompt_finds_its_prefix, two_holders)
{
    serve(east, {1, 2});
    BOOST_TEST(retained(east, {1, 2, 3}) == 2000);
    BOOST_TEST(retained(east, {1, 2}) == 2000);
    BOOST_TEST(retained(east, {1, 9}) == 1000);
    BOOST_TEST(retained(east, {2}) == 0);
    BOOST_TEST(retained(west, {1, 2}) == 0);
    now += retention;
    BOOST_TEST(retained(east, {1, 2}) == 0);
}

// Guards against state for endpoints that retain nothing.
BOOST_AUTO_TEST_CASE(nothing_is_kept_without_a_declaration)
{
    two_holders it;
    const endpoint_key other = 3;
    it.serve(other, {1});
    BOOST_TEST(it.retained(other, {1}) == 0);
    it.index.set_holders(std::vector{holder(east, 0)});
    BOOST_TEST(!it.index.has_holders());
    it.serve(east, {1});
    BOOST_TEST(it.index.size() == 0U);
}

// Guards against memory assumed beyond the declared tokens. What was not used
// for the longest time goes first, and the end of a prompt before its
// beginning.
BOOST_AUTO_TEST_CASE(the_least_recently_used_prefixes_are_evicted)
{
    two_holders it(4000);
    it.serve(east, {1, 2});
    it.now += 100;
    it.serve(east, {1, 3});
    it.now += 100;
    it.serve(east, {1, 2});
    it.now += 100;
    it.serve(east, {1, 4, 5});
    BOOST_TEST(it.retained(east, {1, 4, 5}) == 3000);
    BOOST_TEST(it.retained(east, {1, 2}) == 2000);
    BOOST_TEST(it.retained(east, {1, 3}) == 1000);
    it.now += 100;
    it.serve(east, {6, 7, 8, 9, 10, 11});
    BOOST_TEST(it.retained(east, {6, 7, 8, 9, 10, 11}) == 4000);
    BOOST_TEST(it.index.size() == 4U);
}

// Guards against memory of the node that grows with the number of parts.
BOOST_AUTO_TEST_CASE(the_number_of_prefixes_is_bounded)
{
    two_holders it(1e9);
    for (std::uint64_t n = 0; n < 2000; ++n, ++it.now)
        it.serve(east, {n});
    BOOST_TEST(it.index.size() == prefix_index::max_prefixes_per_endpoint);
    BOOST_TEST(it.retained(east, {1999}) == 1000);
}

// Guards against prefixes that outlive the process that held them, or the
// weights that computed them.
BOOST_FIXTURE_TEST_CASE(a_restart_or_new_weights_lose_all_prefixes, two_holders)
{
    serve(east, {1});
    serve(west, {1});
    const endpoint_key restarted = 3;
    auto same = holder(west);
    index.set_holders(std::vector{holder(restarted), same});
    BOOST_TEST(retained(east, {1}) == 0);
    BOOST_TEST(retained(restarted, {1}) == 0);
    BOOST_TEST(retained(west, {1}) == 1000);
    same.weights = weights + 1;
    index.set_holders(std::vector{same});
    BOOST_TEST(retained(west, {1}) == 0);
}

// Guards against a report from before a crash or refusal that restores what the
// endpoint has lost. Reports may be under way for some time.
BOOST_FIXTURE_TEST_CASE(a_stale_report_does_not_restore_lost_prefixes,
                        two_holders)
{
    prefix_index peer;
    peer.set_holders(std::vector{holder(east)});
    const auto before = peer.on_served(east, prompt({1, 2}), now);
    now += 500;
    index.forget(east, now);
    report(before);
    report(before, 1000);
    BOOST_TEST(retained(east, {1, 2}) == 0);
    now += prefix_index::max_report_delay + 100;
    report(peer.own(10, now));
    BOOST_TEST(retained(east, {1, 2}) == 0);
    report(peer.on_served(east, prompt({1, 2}), now));
    BOOST_TEST(retained(east, {1, 2}) == 2000);
    // What this node sees itself is newer than the loss.
    index.forget(east, now);
    serve(east, {1});
    BOOST_TEST(retained(east, {1}) == 1000);
}

// Guards against reports that can't be true, in any field.
BOOST_FIXTURE_TEST_CASE(bad_reports_are_ignored, two_holders)
{
    const auto hash = prompt({1})[0].hash;
    const held_prefix good{.endpoint = east,
                           .prefix = hash,
                           .added_tokens = 1000,
                           .until = now + 5000,
                           .weights = weights};
    std::vector<held_prefix> bad(7, good);
    bad[0].endpoint = 99;
    bad[1].added_tokens = 0;
    bad[2].added_tokens = -5;
    bad[3].added_tokens = std::numeric_limits<double>::quiet_NaN();
    bad[4].added_tokens = 10'001;
    bad[5].until = now;
    bad[6].weights = 0;
    report(bad);
    BOOST_TEST(index.size() == 0U);
    auto endless = good;
    endless.until = now + 1'000'000'000;
    report({endless, endless});
    BOOST_TEST(retained(east, {1}) == 1000);
    now += retention;
    BOOST_TEST(retained(east, {1}) == 0);
}

// Guards against reports that are passed on from node to node and never expire.
BOOST_FIXTURE_TEST_CASE(only_own_prefixes_are_reported, two_holders)
{
    prefix_index peer;
    peer.set_holders(std::vector{holder(east)});
    report(peer.on_served(east, prompt({1, 2}), now));
    BOOST_TEST(index.own(10, now).empty());
    now += 10;
    serve(east, {1});
    serve(west, {3, 4});
    const auto own = index.own(10, now);
    BOOST_TEST(own.size() == 3U);
    BOOST_TEST(index.own(2, now).size() == 2U);
    BOOST_TEST(index.own(2, now).back().until >= own.back().until);
}
