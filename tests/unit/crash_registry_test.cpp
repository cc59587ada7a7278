#include "galenapulley/crash_registry.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>
#include <set>

using namespace galenapulley;

// Guards against a quarantine after one crash that is reported several times.
BOOST_AUTO_TEST_CASE(same_crash_counts_once)
{
    crash_registry registry;
    BOOST_TEST(registry.add({.fingerprint = 1, .crash_id = 10, .at = 0}, 0));
    BOOST_TEST(!registry.add({.fingerprint = 1, .crash_id = 10, .at = 5}, 5));
    BOOST_TEST(!registry.is_quarantined(1, 5));
    BOOST_TEST(registry.add({.fingerprint = 1, .crash_id = 11, .at = 6}, 6));
    BOOST_TEST(registry.is_quarantined(1, 6));
    BOOST_TEST(!registry.is_quarantined(2, 6));
}

// Guards against a quarantine that ends early or never, also if gossip repeats
// old crash reports.
BOOST_AUTO_TEST_CASE(quarantine_ends_after_ten_minutes)
{
    crash_registry registry;
    registry.add({.fingerprint = 1, .crash_id = 10, .at = 0}, 0);
    registry.add({.fingerprint = 1, .crash_id = 11, .at = 300'000}, 300'000);
    for (msec now = 300'000; now < 900'000; now += 1'000)
    {
        BOOST_TEST(registry.is_quarantined(1, now));
        for (const auto& it : registry.recent(10, now))
            registry.add({.fingerprint = it.fingerprint,
                          .crash_id = it.crash_id,
                          .at = it.at + 50},
                         now);
    }
    BOOST_TEST(!registry.is_quarantined(1, 900'000));
}

// Guards against nodes that disagree because reports reached them in different
// orders. The reference keeps every report.
RC_BOOST_PROP(order_of_arrival_does_not_matter,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& raw,
               std::uint32_t seed))
{
    std::vector<crash_report> reports;
    std::set<std::uint64_t> used;
    for (const auto& [n, at] : raw)
    {
        if (used.insert(at).second)
            reports.push_back(
                {.fingerprint = n % 3U, .crash_id = at, .at = at * 20_ms});
    }
    const msec now = 65'536 * 20_ms;
    crash_registry registry;
    crash_registry other;
    for (const auto& it : reports)
        registry.add(it, now);
    std::mt19937 random(seed);
    std::shuffle(reports.begin(), reports.end(), random);
    for (const auto& it : reports)
        other.add(it, now);
    for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint)
    {
        std::vector<msec> times;
        for (const auto& it : reports)
        {
            if (it.fingerprint == fingerprint)
                times.push_back(it.at);
        }
        std::sort(times.rbegin(), times.rend());
        const bool expected =
            times.size() > 1 &&
            times[0] - times[1] < crash_registry::quarantine_time &&
            times[0] + crash_registry::quarantine_time > now;
        RC_ASSERT(registry.is_quarantined(fingerprint, now) == expected);
        RC_ASSERT(other.is_quarantined(fingerprint, now) == expected);
    }
}

// Guards against unbounded memory, and against a client that ends its
// quarantine by crashing back ends with other prompts.
BOOST_AUTO_TEST_CASE(size_is_bounded_and_quarantines_stay)
{
    crash_registry registry(100);
    registry.add({.fingerprint = 1, .crash_id = 1, .at = 0}, 0);
    registry.add({.fingerprint = 1, .crash_id = 2, .at = 0}, 0);
    for (std::uint64_t n = 10; n < 1000; ++n)
        registry.add({.fingerprint = n, .crash_id = n, .at = 1}, 1);
    BOOST_TEST(registry.size() == 100U);
    BOOST_TEST(registry.is_quarantined(1, 1));
    BOOST_TEST(registry.recent(5, 1).size() == 5U);
}
