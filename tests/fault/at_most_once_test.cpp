// A non-idempotent call runs at most once, and an error that says "not run" is
// correct.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// A node is suspected 5 s after its last heartbeat, which travels by gossip.
constexpr msec suspicion_bound = 12'000_ms;

struct fixture
{
    fixture() : fleet({.engines_per_zone = 0, .slots = 16, .cold_slots = 16})
    {
        fleet.install();
        fleet.wait_serving();
    }

    void control_plains(const nlohmann::json& body)
    {
        for (std::size_t n = 0; n < fleet.plains(); ++n)
            fleet.control(fleet.plain_address(n), body);
    }

    bool wait_for_run(const std::string& key)
    {
        return process_fleet::wait_until([&] { return fleet.runs_of(key) > 0; },
                                         5000);
    }

    bool wait_for_kind(std::size_t node, const std::string& key,
                       const std::string& kind, msec timeout)
    {
        return process_fleet::wait_until(
            [&] {
                return error_field(fleet.log_adjustment(node, key), "kind") ==
                       kind;
            },
            timeout);
    }

    /// Number of writes of action rows that the store has counted.
    int action_writes()
    {
        const auto now = fleet.stats(fleet.platform_address());
        const auto prefixes = now.value("prefixes", nlohmann::json::object());
        return prefixes.contains("actions/")
                   ? prefixes["actions/"].value("writes", 0)
                   : 0;
    }

    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(at_most_once, fixture)

// Guards against two nodes that both treat the same idempotency key as new.
BOOST_AUTO_TEST_CASE(same_key_at_all_nodes_at_once)
{
    control_plains({{"delay_ms", 50}});
    for (int round = 0; round < 20; ++round)
    {
        const auto key = "race-" + std::to_string(round);
        std::vector<pending_call> calls;
        for (std::size_t n = 0; n < 2 * fleet.nodes(); ++n)
            calls.push_back(fleet.start_adjustment(n % fleet.nodes(), key));
        std::size_t succeeded = 0;
        for (auto& it : calls)
        {
            const auto result = it.result.get();
            succeeded += result.status == 200 ? 1 : 0;
            BOOST_TEST(error_field(result, "ran") != "not_run", result.body);
        }
        BOOST_TEST(succeeded >= 1U);
        BOOST_TEST(fleet.runs_of(key) == 1U);
    }
}

// Guards against a second run when a caller times out and retries at another
// node.
BOOST_AUTO_TEST_CASE(retry_after_caller_timeout)
{
    control_plains({{"delay_ms", 1500}});
    const auto first =
        fleet.call("POST", fleet.node_address(0),
                   "/services/records/call/gate-adjustments", "{\"gate\":1}",
                   {{"Idempotency-Key", "timeout-1"},
                    {"Content-Type", "application/json"},
                    {"Authorization",
                     std::string("Bearer ") + process_fleet::customer_token}},
                   500);
    BOOST_TEST((first.error == transfer_error::timed_out));
    BOOST_TEST(wait_for_run("timeout-1"));
    BOOST_TEST(error_field(fleet.log_adjustment(1, "timeout-1"), "kind") ==
               "in_progress");
    const auto recorded = [&]
    {
        return fleet.log_adjustment(2, "timeout-1").status == 200;
    };
    BOOST_TEST(process_fleet::wait_until(recorded, 5000));
    BOOST_TEST(fleet.runs_of("timeout-1") == 1U);
}

// Guards against a second run after the node that sent the call was killed, and
// against a restarted node that treats its old record as an attempt in
// progress.
BOOST_AUTO_TEST_CASE(node_killed_after_it_sent_the_call)
{
    control_plains({{"delay_ms", 3000}});
    const auto first = fleet.start_adjustment(0, "killed-1");
    BOOST_TEST(wait_for_run("killed-1"));
    fleet.kill_node(0);
    for (std::size_t n = 1; n < fleet.nodes(); ++n)
        BOOST_TEST(error_field(fleet.log_adjustment(n, "killed-1"), "ran") ==
                   "may_have_run");
    BOOST_TEST(
        wait_for_kind(1, "killed-1", "outcome_unknown", suspicion_bound));
    fleet.start_node(0);
    BOOST_TEST(
        wait_for_kind(0, "killed-1", "outcome_unknown", suspicion_bound));
    BOOST_TEST(fleet.runs_of("killed-1") == 1U);
}

// Guards against a refusal or a second run when the store applied the insert,
// or the record of the result, but its response was lost.
BOOST_AUTO_TEST_CASE(store_responses_lost)
{
    for (int lost = 1; lost <= 3; ++lost)
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
        {
            const auto key =
                "lost-" + std::to_string(lost) + "-" + std::to_string(n);
            fleet.control(
                fleet.platform_address(),
                {{"lose_answers", lost}, {"lose_prefix", "actions/"}});
            BOOST_TEST(fleet.log_adjustment(n, key).status == 200);
            BOOST_TEST(
                fleet.log_adjustment((n + 1) % fleet.nodes(), key).status != 0);
            fleet.control(fleet.platform_address(), {{"lose_answers", 0}});
            const auto replayed = [&]
            {
                const auto again =
                    fleet.log_adjustment((n + 2) % fleet.nodes(), key);
                return again.status == 200;
            };
            BOOST_TEST(process_fleet::wait_until(replayed, 5000));
            BOOST_TEST(fleet.runs_of(key) == 1U);
        }
}

// Guards against a run without a record while the store is unavailable, and
// against a key that stays blocked after its call was refused as not run.
BOOST_AUTO_TEST_CASE(same_key_works_after_store_outage)
{
    for (const std::string mode : {"503", "silent"})
    {
        const auto key = "away-" + mode;
        fleet.control(fleet.platform_address(),
                      {{"outage_ms", 600'000}, {"outage", mode}});
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
        {
            const auto result = fleet.log_adjustment(n, key);
            BOOST_TEST(error_field(result, "kind") == "store_unavailable");
            BOOST_TEST(error_field(result, "ran") == "not_run");
        }
        BOOST_TEST(fleet.runs_of(key) == 0U);
        fleet.control(fleet.platform_address(), {{"outage_ms", 0}});
        const auto works = [&]
        {
            return fleet.log_adjustment(1, key).status == 200;
        };
        BOOST_TEST(process_fleet::wait_until(works, 10'000));
        BOOST_TEST(fleet.runs_of(key) == 1U);
    }
}

// Guards against a late insert: the caller got the error "not run", but the
// store inserts the row afterwards. That row must neither cause a run nor block
// the key.
BOOST_AUTO_TEST_CASE(insert_acknowledged_after_the_refusal)
{
    fleet.control(fleet.platform_address(), {{"slow_ms", 2600}});
    const auto result = fleet.log_adjustment(0, "slow-1");
    BOOST_TEST(error_field(result, "kind") == "store_unavailable");
    BOOST_TEST(error_field(result, "ran") == "not_run");
    fleet.control(fleet.platform_address(), {{"slow_ms", 0}});
    BOOST_TEST(fleet.runs_of("slow-1") == 0U);
    const auto works = [&]
    {
        return fleet.log_adjustment(1, "slow-1").status == 200;
    };
    BOOST_TEST(process_fleet::wait_until(works, 10'000));
    BOOST_TEST(fleet.runs_of("slow-1") == 1U);
}

// Guards against a second run of a call whose response from the plain server
// was lost, also when that server restarts.
BOOST_AUTO_TEST_CASE(plain_server_response_lost)
{
    control_plains({{"lose_answers", 1}});
    const auto first = fleet.log_adjustment(0, "unanswered");
    BOOST_TEST(error_field(first, "kind") == "outcome_unknown");
    BOOST_TEST(error_field(first, "ran") == "may_have_run");
    control_plains({{"lose_answers", 0}, {"crash_after_run", true}});
    const auto crashed = fleet.log_adjustment(1, "crashed");
    BOOST_TEST(error_field(crashed, "kind") == "outcome_unknown");
    for (std::size_t n = 0; n < fleet.plains(); ++n)
    {
        fleet.kill_plain(n);
        fleet.start_plain(n);
    }
    for (const std::string key : {"unanswered", "crashed"})
    {
        for (std::size_t n = 0; n < 2 * fleet.nodes(); ++n)
        {
            const auto again = fleet.log_adjustment(n % fleet.nodes(), key);
            BOOST_TEST(error_field(again, "ran") == "may_have_run");
        }
        BOOST_TEST(fleet.runs_of(key) == 1U);
    }
}

// Guards against "not run" for a call that a plain server has run before it
// failed: its caller would send it again under a new key.
BOOST_AUTO_TEST_CASE(plain_server_refuses_after_the_run)
{
    for (const int status : {429, 503})
    {
        const auto key = "refused-" + std::to_string(status);
        control_plains({{"status", status}});
        const auto first = fleet.log_adjustment(0, key);
        BOOST_TEST(first.status == 502);
        BOOST_TEST(error_field(first, "kind") == "outcome_unknown");
        control_plains({{"status", 200}});
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
        {
            const auto again = fleet.log_adjustment(n, key);
            BOOST_TEST(error_field(again, "ran") == "may_have_run");
        }
        BOOST_TEST(fleet.runs_of(key) == 1U);
    }
}

// Guards against a paused node that, once resumed, sends or retries a call that
// the other nodes already treat as ended.
BOOST_AUTO_TEST_CASE(node_frozen_across_the_call)
{
    control_plains({{"delay_ms", 1000}});
    auto sent = fleet.start_adjustment(0, "frozen-sent");
    BOOST_TEST(wait_for_run("frozen-sent"));
    fleet.control(fleet.platform_address(), {{"slow_ms", 700}});
    const auto before = action_writes();
    auto recorded = fleet.start_adjustment(0, "frozen-recorded");
    const bool inserted = process_fleet::wait_until(
        [&] { return action_writes() > before; }, 2000);
    fleet.freeze_node(0);
    BOOST_TEST(inserted);
    fleet.control(fleet.platform_address(), {{"slow_ms", 0}});
    for (const std::string key : {"frozen-sent", "frozen-recorded"})
        BOOST_TEST(wait_for_kind(1, key, "outcome_unknown", suspicion_bound));
    fleet.resume_node(0);
    sent.result.get();
    const auto late = recorded.result.get();
    if (error_field(late, "ran") == "not_run")
    {
        BOOST_TEST(fleet.runs_of("frozen-recorded") == 0U);
        const auto works = [&]
        {
            return fleet.log_adjustment(1, "frozen-recorded").status == 200;
        };
        BOOST_TEST(process_fleet::wait_until(works, 10'000));
    }
    fleet.log_adjustment(2, "frozen-sent");
    fleet.log_adjustment(2, "frozen-recorded");
    BOOST_TEST(fleet.runs_of("frozen-sent") == 1U);
    BOOST_TEST(fleet.runs_of("frozen-recorded") <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
