// A request that crashes engines is quarantined when its caller retries it.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Two crash reports quarantine a request. A request tries two back ends.
constexpr std::size_t quarantine_crash_reports = 2;

struct fixture
{
    fixture()
        : fleet({.zones = 1,
                 .engines_per_zone = 8,
                 .plains_per_zone = 0,
                 .nodes_per_zone = 3,
                 .engine_args = {"--kv-tokens", "40000", "--time-scale", "4"},
                 .slots = 16,
                 .cold_slots = 16,
                 .kv_tokens = 40'000})
    {
        fleet.install();
        fleet.wait_serving();
    }

    std::size_t dead_engines()
    {
        std::size_t dead = 0;
        for (std::size_t n = 0; n < fleet.engines(); ++n)
            dead += fleet.stats(fleet.engine_address(n)).is_object() ? 0 : 1;
        return dead;
    }

    /// Sends the prompt to all nodes in turn; the last requests must be refused
    /// without reaching an engine.
    void check_quarantined(const std::string& prompt)
    {
        for (std::size_t n = 0; n < 6; ++n)
            fleet.complete(n % fleet.nodes(), prompt);
        const auto seen = fleet.engine_total("seen");
        const auto reserved = fleet.engine_total("reservations");
        for (std::size_t n = 0; n < 2 * fleet.nodes(); ++n)
        {
            const auto result = fleet.complete(n % fleet.nodes(), prompt);
            BOOST_TEST(error_field(result, "kind") == "request_quarantined");
            BOOST_TEST(error_field(result, "ran") == "not_run");
        }
        BOOST_TEST(fleet.engine_total("seen") == seen);
        BOOST_TEST(fleet.engine_total("reservations") == reserved);
    }

    void check_others()
    {
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
        {
            const auto prompt = make_prompt(1000, 900 + n);
            const auto result = fleet.complete(n, prompt);
            BOOST_TEST((completion_text(result) == expected_text(prompt, 8)));
        }
    }

    process_fleet fleet;
};

std::string crashing_prompt(std::size_t tokens, std::uint64_t seed)
{
    return "__crash_engine__ " + make_prompt(tokens, seed);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine, fixture)

// Guards against a request that crashes one engine after the other when its
// caller retries it through every node.
BOOST_AUTO_TEST_CASE(sequential_retries)
{
    check_quarantined(crashing_prompt(1500, 1));
    BOOST_TEST(dead_engines() <= quarantine_crash_reports);
    check_others();
}

// Guards against copies that were in flight before the crash reports reached
// all nodes: each crashes at most one more engine.
BOOST_AUTO_TEST_CASE(concurrent_copies_through_all_nodes)
{
    const auto prompt = crashing_prompt(1500, 2);
    std::vector<pending_call> calls;
    for (std::size_t n = 0; n < fleet.nodes(); ++n)
        calls.push_back(fleet.start_completion(n, prompt));
    for (auto& it : calls)
        BOOST_TEST(it.result.get().status != 200);
    BOOST_TEST(dead_engines() <= quarantine_crash_reports + fleet.nodes() - 1);
    check_quarantined(prompt);
    BOOST_TEST(dead_engines() <= quarantine_crash_reports + fleet.nodes() - 1);
    check_others();
}

// Guards against a segmented prompt that crashes the engine of its first
// segment on every attempt: prefill runs outside of the completion call.
BOOST_AUTO_TEST_CASE(segmented_prompt)
{
    check_quarantined(crashing_prompt(60'000, 3));
    BOOST_TEST(dead_engines() <= quarantine_crash_reports);
    check_others();
}

BOOST_AUTO_TEST_SUITE_END()
