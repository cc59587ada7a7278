#include "support/process_fleet.hpp"
#include "support/request_load.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time for an accepted change to be in force on every node.
constexpr msec in_force_bound = 5000;

struct fixture
{
    fixture()
        : fleet({.engines_per_zone = 1,
                 .plains_per_zone = 0,
                 .nodes_per_zone = 2,
                 .engine_args = {"--time-scale", "20", "--warm-after-s", "1"}})
    {
        fleet.install();
    }

    void set_outage(msec duration)
    {
        fleet.control(fleet.platform_address(),
                      {{"outage_ms", duration}, {"outage", "silent"}});
    }

    std::int64_t version_on(std::size_t node)
    {
        const auto result = fleet.call(
            "GET", fleet.node_address(node), "/admin/services/drafting", {},
            {{"Authorization",
              std::string("Bearer ") + process_fleet::operator_token}},
            2000);
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        return body.is_object() ? body.value("version", std::int64_t{0}) : 0;
    }

    bool all_have(std::int64_t version, const std::vector<std::size_t>& nodes)
    {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](std::size_t node)
                           { return version_on(node) == version; });
    }

    /// Puts a document that differs by its number of output tokens.
    http_result put(std::size_t node, std::uint32_t output_tokens,
                    const std::string& change_id,
                    std::map<std::string, std::string> headers = {})
    {
        auto document = fleet.drafting_document();
        document["max_output_tokens"] = output_tokens;
        return fleet.put_document(node, "drafting", document, change_id,
                                  std::move(headers));
    }

    static std::int64_t version_of(const http_result& result)
    {
        return nlohmann::json::parse(result.body).at("version");
    }

    /// Whether a node refuses a request that exceeds the new limit only.
    bool takes_effect(std::size_t node, std::uint32_t limit)
    {
        return fleet.complete(node, make_prompt(1000), limit + 1).status ==
                   400 &&
               fleet.complete(node, make_prompt(1000), limit).status == 200;
    }

    wall_clock time;
    process_fleet fleet;
    std::vector<std::size_t> everyone = nodes_without(fleet, {});
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(accepted_change, fixture)

// Guards against two operators who overwrite each other's change, and against
// the loss of one of two concurrent withdrawals.
BOOST_AUTO_TEST_CASE(concurrent_operators)
{
    const auto base = std::to_string(version_on(0));
    const auto race = [&](std::size_t node)
    {
        return std::async(std::launch::async,
                          [this, node, base]
                          {
                              return put(node, 20 + node,
                                         "race-" + std::to_string(node),
                                         {{"x-expected-version", base}});
                          });
    };
    auto first = race(0);
    auto second = race(3);
    const auto one = first.get();
    const auto two = second.get();
    const auto& winner = one.status == 200 ? one : two;
    const auto& loser = one.status == 200 ? two : one;
    BOOST_REQUIRE_EQUAL(change_state(winner), "accepted");
    BOOST_TEST(error_field(loser, "kind") == "version_conflict");
    BOOST_TEST(process_fleet::wait_until(
        [&] { return all_have(version_of(winner), everyone); },
        in_force_bound));

    auto zone_1 =
        std::async(std::launch::async, [&]
                   { return fleet.post_admin(1, "zones/zone-1/withdraw"); });
    auto zone_2 = fleet.post_admin(5, "zones/zone-2/withdraw");
    BOOST_TEST(change_state(zone_1.get()) == "accepted");
    BOOST_TEST(change_state(zone_2) == "accepted");
    BOOST_TEST(process_fleet::wait_until(
        [&] {
            return all_withdrawn(fleet, everyone, {"zone-1", "zone-2"});
        },
        in_force_bound));
    const auto withdrawn_at = time.now();
    for (const auto node : everyone)
        BOOST_TEST(fleet.complete(node, make_prompt(1000, node)).status == 200);
    BOOST_TEST(zone_starts(fleet, 1, withdrawn_at) == 0);
    BOOST_TEST(zone_starts(fleet, 2, withdrawn_at) == 0);
}

// Guards against a change that is committed twice, or reported as failed,
// because the store's response to the commit was lost.
BOOST_AUTO_TEST_CASE(lost_commit_response_is_resolved)
{
    const auto commits = [&]
    {
        return fleet.stats(fleet.platform_address())
            .at("prefixes")
            .at("services/")
            .at("writes")
            .get<int>();
    };
    const auto before = commits();
    fleet.control(fleet.platform_address(),
                  {{"lose_answers", 1}, {"lose_prefix", "services/"}});
    const auto response = put(2, 30, "lost-answer");
    BOOST_REQUIRE_EQUAL(change_state(response), "accepted");
    BOOST_TEST(fleet.stats(fleet.platform_address()).at("lost_answers") == 1);
    const auto again = put(4, 30, "lost-answer");
    BOOST_REQUIRE_EQUAL(change_state(again), "accepted");
    BOOST_TEST(version_of(again) == version_of(response));
    BOOST_TEST(commits() == before + 1);
    BOOST_TEST(process_fleet::wait_until(
        [&] { return all_have(version_of(response), everyone); },
        in_force_bound));
}

// Guards against the loss of an accepted change when the store and the node
// that accepted it both fail, and against a restarted node without state that
// adopts an older document.
BOOST_AUTO_TEST_CASE(accepting_node_and_store_fail_after_acceptance)
{
    const auto response = put(0, 40, "before-death");
    set_outage(60'000);
    fleet.kill_node(0);
    const auto accepted_at = time.now();
    BOOST_REQUIRE_EQUAL(change_state(response), "accepted");
    const auto version = version_of(response);
    const auto others = nodes_without(fleet, {0});
    BOOST_TEST(process_fleet::wait_until(
        [&] { return all_have(version, others); }, in_force_bound));
    BOOST_TEST_MESSAGE("in force on the others after "
                       << time.now() - accepted_at << " ms");
    for (const auto node : others)
        BOOST_TEST(takes_effect(node, 40));
    fleet.start_node(0);
    http_result last;
    BOOST_TEST(process_fleet::wait_until(
        [&]
        {
            last = fleet.complete(0, make_prompt(1000), 41);
            return error_field(last, "kind") != "no_baseline";
        },
        20'000));
    BOOST_TEST(error_field(last, "kind") == "bad_request");
    BOOST_TEST(version_on(0) == version);
}

// Guards against a node that reverts to older documents after a stale read.
BOOST_AUTO_TEST_CASE(stale_reads_do_not_revert)
{
    const auto response = put(3, 50, "before-stale-reads");
    BOOST_REQUIRE_EQUAL(change_state(response), "accepted");
    const auto version = version_of(response);
    fleet.control(fleet.platform_address(), {{"stale_reads_ms", 6000}});
    const auto began_at = time.now();
    BOOST_REQUIRE(process_fleet::wait_until(
        [&] { return all_have(version, everyone); }, in_force_bound));
    // Two reads of config_head by every node.
    while (time.now() < began_at + 7000)
        BOOST_TEST_REQUIRE(all_have(version, everyone));
    fleet.control(fleet.platform_address(), {{"stale_reads_ms", 0}});
}

BOOST_AUTO_TEST_SUITE_END()
