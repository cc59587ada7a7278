// A planned stop of a node interrupts no request.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr msec drain = 2000_ms;
/// Longest wait for a new shard owner: the node of the first or second rank
/// (500 ms) finds the released shard by its next poll (2 s), gossip announces
/// the new owner (1 s), which grants permits after 1 s.
constexpr msec owner_wait_bound = 2000_ms + 500 + 1000 + 1000 + 1500;

struct fixture
{
    fixture()
        : fleet({.zones = 3,
                 .engines_per_zone = 1,
                 .plains_per_zone = 1,
                 .nodes_per_zone = 1,
                 .settings = {{"drain_ms", drain},
                              {"lease_ttl_ms", 3000},
                              {"lease_renew_ms", 1000}},
                 .slots = 16,
                 .cold_slots = 16})
    {
        fleet.install();
        fleet.wait_serving();
    }

    process_fleet fleet;
};

struct outcomes
{
    std::size_t succeeded = 0;
    std::size_t rerouted = 0;
    msec longest = 0;
    std::vector<std::string> failures;
};

/// A caller that refreshes its list of nodes within the drain time, as callers
/// keep the response of GET /v1/nodes for its valid_ms only.
class caller
{
public:
    caller(process_fleet& fleet, std::size_t number)
        : fleet_(fleet), first_seed_(number * 100'000)
    {
        for (std::size_t n = 0; n < fleet.nodes(); ++n)
            nodes_.push_back(n);
    }

    outcomes run(const std::atomic<bool>& stop)
    {
        for (auto seed = first_seed_; !stop; ++seed)
        {
            if (time_.now() - listed_at_ > drain / 2)
                list_nodes();
            send(seed);
        }
        return out_;
    }

private:
    void list_nodes()
    {
        for (const auto n : nodes_)
        {
            const auto result =
                fleet_.call("GET", fleet_.node_address(n), "/v1/nodes");
            const auto body =
                nlohmann::json::parse(result.body, nullptr, false);
            if (!body.is_object() || body["nodes"].empty())
                continue;
            listed_at_ = time_.now();
            nodes_.clear();
            for (const auto& it : body["nodes"])
                for (std::size_t i = 0; i < fleet_.nodes(); ++i)
                    if (it["address"] == fleet_.node_address(i))
                        nodes_.push_back(i);
            return;
        }
    }

    void send(std::uint64_t seed)
    {
        const bool plain = seed % 3 == 2;
        const auto prompt = make_prompt(1000, seed);
        const auto key = "stop-" + std::to_string(seed);
        http_result result;
        const auto begin = time_.now();
        for (std::size_t attempt = 0; attempt < nodes_.size(); ++attempt)
        {
            const auto node = nodes_[(seed + attempt) % nodes_.size()];
            result = plain ? fleet_.log_adjustment(node, key)
                           : fleet_.complete(node, prompt, 6);
            if (error_field(result, "kind") != "node_leaving" ||
                error_field(result, "ran") != "not_run")
                break;
            ++out_.rerouted;
        }
        out_.longest = std::max(out_.longest, time_.now() - begin);
        const bool right =
            result.status == 200 &&
            (plain ? fleet_.runs_of(key) == 1
                   : completion_text(result) == expected_text(prompt, 6));
        if (right)
            ++out_.succeeded;
        else
            out_.failures.push_back(std::to_string(result.status) + " " +
                                    result.error_text + result.body);
    }

    process_fleet& fleet_;
    std::uint64_t first_seed_;
    boot_time_clock time_;
    msec listed_at_ = 0;
    std::vector<std::size_t> nodes_;
    outcomes out_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(graceful_stop, fixture)

// Guards against a stop that interrupts a stream longer than the drain time,
// that refuses callers whose list still has the node's address, or that never
// finishes.
BOOST_AUTO_TEST_CASE(long_stream_during_stop)
{
    const auto prompt = make_prompt(1500, 1);
    auto call = fleet.start_completion(0, prompt, 320, true);
    BOOST_TEST(process_fleet::wait_until(
        [&] { return fleet.engine_total("running") == 1; }, 3000));
    fleet.stop_node(0);
    BOOST_TEST(process_fleet::wait_until(
        [&] { return fleet.status(0).value("leaving", false); }, 1000));
    // This node's shards change owner while these requests wait.
    const auto other = make_prompt(1000, 2);
    auto late = fleet.start_completion(0, other, 8);
    auto late_action = fleet.start_adjustment(0, "late");
    BOOST_TEST((completion_text(late.result.get()) == expected_text(other, 8)));
    BOOST_TEST(late_action.result.get().status == 200);

    const auto seen = [&]
    {
        return fleet.engine_total("seen");
    };
    auto before = seen();
    const auto refuses = [&]
    {
        before = seen();
        const auto result = fleet.complete(0, other);
        return error_field(result, "kind") == "node_leaving" &&
               error_field(result, "ran") == "not_run" &&
               result.headers.count("x-other-nodes") == 1;
    };
    BOOST_TEST(process_fleet::wait_until(refuses, drain + 3000));
    BOOST_TEST(seen() == before);

    bool complete = false;
    const auto text = streamed_text(call.result.get(), complete);
    BOOST_TEST(complete);
    BOOST_TEST((text == expected_text(prompt, 320)));
    BOOST_TEST(fleet.wait_node(0, 5000) == 0);
}

// Guards against requests that fail because their node, or the owner of their
// back end's shard, is replaced.
BOOST_AUTO_TEST_CASE(rolling_restart_under_requests)
{
    std::atomic<bool> stop = false;
    std::vector<std::future<outcomes>> callers;
    for (std::size_t n = 0; n < 6; ++n)
        callers.push_back(std::async(std::launch::async, [&, n]
                                     { return caller(fleet, n).run(stop); }));
    for (std::size_t n = 0; n < fleet.nodes(); ++n)
    {
        fleet.stop_node(n);
        BOOST_TEST(fleet.wait_node(n, drain + 10'000) == 0);
        fleet.start_node(n);
        const auto ready = [&]
        {
            const auto now = fleet.status(n);
            return now.value("fresh", false) && now.value("baseline", false);
        };
        BOOST_TEST(process_fleet::wait_until(ready, 10'000));
    }
    stop = true;
    std::size_t succeeded = 0;
    std::size_t rerouted = 0;
    msec longest = 0;
    for (auto& it : callers)
    {
        const auto out = it.get();
        succeeded += out.succeeded;
        rerouted += out.rerouted;
        longest = std::max(longest, out.longest);
        BOOST_TEST(out.failures.empty());
        for (const auto& failure : out.failures)
            BOOST_TEST_MESSAGE(failure);
    }
    BOOST_TEST(succeeded > 30U);
    BOOST_TEST(longest < owner_wait_bound);
    BOOST_TEST_MESSAGE(succeeded << " succeeded, " << rerouted
                                 << " rerouted, longest " << longest << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
