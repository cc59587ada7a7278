#include "galenapulley/prompt_quarantine.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>
#include <set>

using namespace galenapulley;

namespace
{

constexpr std::uint64_t shared_by_all = 1;
constexpr std::uint64_t sound_second = 2;
constexpr std::uint64_t bad = 3;

std::vector<prompt_part> prompt(std::initializer_list<std::uint64_t> ids)
{
    std::vector<prompt_part> out;
    for (const auto id : ids)
        out.push_back(
            {.id = id, .position = static_cast<std::uint32_t>(out.size())});
    return out;
}

/// A quarantine with a clock and endpoints that crash one after the other.
struct sequence
{
    prompt_quarantine target;
    msec now = 1'000'000;
    endpoint_key endpoints = 0;

    void crash(std::initializer_list<std::uint64_t> ids, msec pause = 200)
    {
        target.on_crash(
            {.endpoint = ++endpoints, .at = now, .parts = prompt(ids)}, now);
        now += pause;
    }
    void serve(std::initializer_list<std::uint64_t> ids, msec pause = 20)
    {
        target.on_sound(prompt(ids), now);
        now += pause;
    }
    bool is_quarantined(std::uint64_t part)
    {
        return target.find(prompt({part}), now).has_value();
    }
};

} // namespace

// Guards against prompts with one part in common that crash endpoint after
// endpoint, beside sound prompts that share their other parts.
BOOST_AUTO_TEST_CASE(the_part_that_crashes_endpoints_is_found)
{
    sequence it;
    it.serve({shared_by_all, sound_second});
    for (int n = 0; n < 3; ++n)
    {
        BOOST_TEST(!it.is_quarantined(bad));
        it.crash({shared_by_all, bad});
        it.serve({shared_by_all, sound_second});
    }
    BOOST_TEST(it.is_quarantined(bad));
    BOOST_TEST(!it.is_quarantined(shared_by_all));
    BOOST_TEST(!it.is_quarantined(sound_second));
}

// Guards against blaming prompts that were at the endpoints by chance: the
// quarantined part explains their crashes.
BOOST_AUTO_TEST_CASE(other_prompts_at_the_crashed_endpoints_are_not_blamed)
{
    sequence it;
    it.serve({shared_by_all});
    for (int n = 0; n < 10; ++n)
    {
        // The endpoint also holds a new prompt that begins late.
        it.target.on_crash({.endpoint = it.endpoints + 1,
                            .at = it.now,
                            .parts = prompt({shared_by_all, sound_second})},
                           it.now);
        it.crash({shared_by_all, sound_second, bad});
        it.serve({shared_by_all});
    }
    BOOST_TEST(it.is_quarantined(bad));
    BOOST_TEST(!it.is_quarantined(sound_second));
    BOOST_TEST(!it.is_quarantined(shared_by_all));
}

// Guards against quarantining what many prompts share when a failure domain is
// lost and all endpoints in it crash at once.
BOOST_AUTO_TEST_CASE(crashes_at_once_quarantine_no_sound_part)
{
    sequence it;
    it.serve({shared_by_all, sound_second});
    for (int n = 0; n < 20; ++n)
        it.crash({shared_by_all, sound_second}, 1);
    it.now += 500;
    it.serve({shared_by_all});
    it.now += 500;
    BOOST_TEST(!it.is_quarantined(shared_by_all));
    BOOST_TEST(!it.is_quarantined(sound_second));
}

// Guards against refusing all prompts after a time in which no endpoint could
// serve any.
BOOST_AUTO_TEST_CASE(a_part_of_all_prompts_is_not_blamed_for_an_outage)
{
    sequence it;
    it.serve({shared_by_all});
    for (int n = 0; n < 30; ++n)
        it.crash({shared_by_all}, 500);
    BOOST_TEST(!it.is_quarantined(shared_by_all));
}

// A part that worked may crash endpoints after a change of their software.
BOOST_AUTO_TEST_CASE(a_part_that_was_sound_is_found_when_it_turns_bad)
{
    sequence it;
    it.serve({shared_by_all, bad});
    for (int n = 0; n < 12; ++n)
    {
        it.crash({shared_by_all, bad});
        it.serve({shared_by_all});
    }
    BOOST_TEST(it.is_quarantined(bad));
    BOOST_TEST(!it.is_quarantined(shared_by_all));
}

// Guards against a quarantine that stays although an endpoint has served the
// part.
BOOST_AUTO_TEST_CASE(a_served_part_leaves_the_quarantine)
{
    sequence it;
    for (int n = 0; n < 4; ++n)
    {
        it.crash({shared_by_all, bad});
        it.serve({shared_by_all});
    }
    BOOST_TEST(it.is_quarantined(bad));
    it.target.on_reports({.sound = {{.part = bad, .at = it.now}}}, it.now);
    it.now += 1000;
    BOOST_TEST(!it.is_quarantined(bad));
}

BOOST_AUTO_TEST_CASE(a_quarantine_ends)
{
    sequence it;
    for (int n = 0; n < 4; ++n)
    {
        it.crash({shared_by_all, bad});
        it.serve({shared_by_all});
    }
    it.now += prompt_quarantine::memory - 10'000;
    BOOST_TEST(it.is_quarantined(bad));
    it.now += 10'000;
    BOOST_TEST(!it.is_quarantined(bad));
    BOOST_TEST(it.target.size() == 0U);
}

// Guards against a node that knows nothing of the crashes before its start.
BOOST_AUTO_TEST_CASE(reports_quarantine_the_same_parts_elsewhere)
{
    sequence it;
    for (int n = 0; n < 40; ++n)
    {
        it.crash({shared_by_all, n % 2 == 0 ? bad : bad + 1});
        it.serve({shared_by_all});
    }
    const auto reports = it.target.reports(it.now);
    BOOST_TEST(reports.crashes.size() <=
               prompt_quarantine::max_reported_crashes);
    prompt_quarantine late;
    late.on_reports(reports, it.now);
    BOOST_TEST(late.find(prompt({bad}), it.now).has_value());
    BOOST_TEST(late.find(prompt({bad + 1}), it.now).has_value());
    BOOST_TEST(!late.find(prompt({shared_by_all}), it.now));
}

// Guards against unbounded memory, and against a quarantine that ends because
// many other endpoints crash.
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_quarantines_stay)
{
    sequence it;
    for (int n = 0; n < 4; ++n)
    {
        it.crash({shared_by_all, bad});
        it.serve({shared_by_all});
    }
    for (std::uint64_t n = 100; n < 1100; ++n)
    {
        it.crash({shared_by_all, n}, 1);
        it.serve({shared_by_all, n + 5000}, 1);
    }
    BOOST_TEST(it.target.size() <= prompt_quarantine::max_crashes);
    BOOST_TEST(it.is_quarantined(bad));
}

// Guards against an evaluation without end: clients choose the ids.
BOOST_AUTO_TEST_CASE(a_part_may_have_any_id)
{
    for (const std::uint64_t id : {std::uint64_t{0}, ~std::uint64_t{0}})
    {
        sequence it;
        for (int n = 0; n < 4; ++n)
        {
            it.crash({shared_by_all, id});
            it.serve({shared_by_all});
        }
        BOOST_TEST(it.is_quarantined(id));
        BOOST_TEST(!it.is_quarantined(shared_by_all));
    }
}

// Guards against nodes that disagree because reports reached them in different
// orders or twice.
RC_BOOST_PROP(order_of_reports_does_not_matter,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& raw,
               std::uint32_t seed))
{
    const msec now = 1'000'000;
    std::vector<prompt_reports> reports;
    for (const auto& [n, at] : raw)
    {
        const std::uint64_t part = n % 5U + 1U;
        const auto time = now - at % 20'000;
        if (n % 4 == 0)
            reports.push_back(
                {.sound = {{.part = part, .at = time}}, .last_sound = time});
        else
            reports.push_back({.crashes = {{.endpoint = at % 50U,
                                            .at = time,
                                            .parts = prompt({9, part})}}});
    }
    prompt_quarantine a;
    prompt_quarantine b;
    for (const auto& it : reports)
        a.on_reports(it, now);
    std::mt19937 random(seed);
    std::shuffle(reports.begin(), reports.end(), random);
    for (int n = 0; n < 2; ++n)
        for (const auto& it : reports)
            b.on_reports(it, now);
    // Parts are judged again some time after the last report.
    RC_ASSERT(a.parts(now + 1000) == b.parts(now + 1000));
}
