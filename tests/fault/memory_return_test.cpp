// Engines' memory use returns to zero after cancellations and failures.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::uint32_t kv_tokens = 40'000;
/// More than one engine's memory, less than two engines'.
constexpr std::size_t segmented_tokens = 65'000;
constexpr msec lease_ttl = 3000_ms;
/// Bound after a lost release: the shard owner queries the node at intervals of
/// at most 10 s and sweeps every 2 s; a call takes at most 1 s.
constexpr msec release_bound = 14'000_ms;
/// Bound after the death of a node: its shard is claimed after the lease TTL +
/// 2 s grace + 500 ms for the second in rank; the new owner reads the lease row
/// after 1 TTL of silence and then sees it unchanged for 3 TTL. Both
/// steps begin with a sweep, every 2 s, and the last read takes at most 1 s.
constexpr msec dead_node_bound =
    lease_ttl + 2000 + 500 + 4 * lease_ttl + 2 * 2000_ms + 1000;

struct fixture
{
    fixture()
        : fleet({.zones = 1,
                 .engines_per_zone = 4,
                 .plains_per_zone = 0,
                 .nodes_per_zone = 2,
                 .engine_args = {"--kv-tokens", "40000", "--time-scale", "2"},
                 .settings = {{"lease_ttl_ms", lease_ttl},
                              {"lease_renew_ms", 1000}},
                 .slots = 16,
                 .cold_slots = 16,
                 .kv_tokens = kv_tokens})
    {
        fleet.install();
        fleet.wait_serving();
    }

    std::vector<std::size_t> reserved_engines()
    {
        std::vector<std::size_t> list;
        for (std::size_t n = 0; n < fleet.engines(); ++n)
        {
            const auto now = fleet.stats(fleet.engine_address(n));
            if (now.is_object() && now.value("reservations", 0) > 0)
                list.push_back(n);
        }
        return list;
    }

    bool wait_reserved(std::size_t count)
    {
        return process_fleet::wait_until(
            [&] { return reserved_engines().size() >= count; }, 8000);
    }

    bool wait_empty(msec timeout)
    {
        return process_fleet::wait_until(
            [&]
            {
                return fleet.engine_total("kv_used") == 0 &&
                       fleet.engine_total("reservations") == 0 &&
                       fleet.engine_total("running") == 0;
            },
            timeout);
    }

    void check_whole(pending_call& call, const std::string& prompt,
                     std::uint32_t max_tokens)
    {
        const auto result = call.result.get();
        BOOST_TEST(result.status == 200);
        BOOST_TEST(
            (completion_text(result) == expected_text(prompt, max_tokens)));
    }

    /// Engines with a reservation, except those in `others`.
    std::vector<std::size_t>
    newly_reserved(const std::vector<std::size_t>& others)
    {
        auto list = reserved_engines();
        std::erase_if(
            list, [&](std::size_t n)
            { return std::count(others.begin(), others.end(), n) > 0; });
        return list;
    }

    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_return, fixture)

// Guards against memory that stays in use after callers disconnect (many short
// requests and a segmented one), while another segmented request must go on.
BOOST_AUTO_TEST_CASE(callers_disconnect)
{
    const auto live_prompt = make_prompt(segmented_tokens, 1);
    auto live = fleet.start_completion(1, live_prompt, 400);
    BOOST_TEST(wait_reserved(2));
    const auto live_engines = reserved_engines();
    const auto abandoned =
        fleet.start_completion(0, make_prompt(segmented_tokens, 2), 400, true);
    BOOST_TEST(wait_reserved(4));
    fleet.abandon(abandoned);
    BOOST_TEST(process_fleet::wait_until(
        [&] { return newly_reserved(live_engines).empty(); }, release_bound));
    std::vector<pending_call> shorts;
    for (std::size_t n = 0; n < 60; ++n)
        shorts.push_back(fleet.start_completion(
            n % fleet.nodes(), make_prompt(3000, 100 + n), 50, n % 2 == 0));
    BOOST_TEST(process_fleet::wait_until(
        [&] { return fleet.engine_total("running") > 10; }, 5000));
    for (const auto& it : shorts)
        fleet.abandon(it);
    check_whole(live, live_prompt, 400);
    BOOST_TEST(wait_empty(release_bound));
}

// Guards against reservations that a killed node leaves behind, and against a
// sweep that releases live ones as orphans.
BOOST_AUTO_TEST_CASE(node_killed_between_reserve_and_release)
{
    const auto live_prompt = make_prompt(segmented_tokens, 3);
    auto live = fleet.start_completion(1, live_prompt, 1400);
    BOOST_TEST(wait_reserved(2));
    const auto live_engines = reserved_engines();
    const auto lost =
        fleet.start_completion(0, make_prompt(segmented_tokens, 4), 1400, true);
    BOOST_TEST(wait_reserved(4));
    fleet.kill_node(0);
    BOOST_TEST(process_fleet::wait_until(
        [&] { return newly_reserved(live_engines).empty(); }, dead_node_bound));
    check_whole(live, live_prompt, 1400);
    BOOST_TEST(wait_empty(release_bound));
}

// Guards against memory that stays reserved on the other engines of a segmented
// request when one of them dies, and on an engine frozen during the release.
BOOST_AUTO_TEST_CASE(engine_killed_or_frozen)
{
    auto first =
        fleet.start_completion(0, make_prompt(segmented_tokens, 5), 400);
    if (!wait_reserved(2))
        BOOST_FAIL(first.result.get().body);
    fleet.kill_engine(reserved_engines().front());
    const auto retried = first.result.get();
    BOOST_TEST((retried.status == 200 ||
                error_field(retried, "ran") == "may_have_run"));
    BOOST_TEST(wait_empty(release_bound));

    auto second =
        fleet.start_completion(0, make_prompt(segmented_tokens, 6), 400, false,
                               {{"x-deadline-ms", "4000"}});
    BOOST_TEST_REQUIRE(wait_reserved(2));
    const auto frozen = reserved_engines();
    for (const auto n : frozen)
        fleet.freeze_engine(n);
    const auto failed = second.result.get();
    BOOST_TEST(failed.status != 200);
    for (const auto n : frozen)
        fleet.resume_engine(n);
    BOOST_TEST(wait_empty(release_bound));
}

BOOST_AUTO_TEST_SUITE_END()
