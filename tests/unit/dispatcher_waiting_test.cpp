#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace galenapulley;

namespace
{

constexpr std::uint32_t slots = 100;
constexpr double short_prompt = 1000;

std::shared_ptr<const routing_table> sample_table()
{
    const route sample_route{.name = "r",
                             .host = "h",
                             .prefix = "/",
                             .kind = request_kind::streaming,
                             .timeout = 10'000,
                             .target_latency = 4000,
                             .gap_target = 1000,
                             .services = {{.service = "svc"}}};
    const engine_profile engine{.slots = slots,
                                .memory_tokens = 400'000,
                                .step_ms = 1.3,
                                .prefill_tokens_per_ms = 154,
                                .steps_per_pass = 34};
    return std::make_shared<routing_table>(
        1, std::vector{sample_route},
        std::vector<service_profile>{{.name = "svc", .engine = engine}},
        std::vector<client_account>{}, client_limits{});
}

/// A node whose endpoints are all in use unless a test says otherwise.
struct busy_node
{
    manual_clock time{100'000};
    event_log log{"n1", "error"};
    dispatcher target{{.node = "n1",
                       .failure_domain = "east",
                       .cluster_retries = {.base = 100, .ratio = 0.2}},
                      time,
                      log};
    std::shared_ptr<const routing_table> table = sample_table();
    std::uint64_t next = 0;
    int continuations = 0;
    std::vector<std::uint64_t> granted;
    std::size_t refused = 0;

    busy_node()
    {
        target.set_announce([](const wire::work_update&) {});
        target.set_crash_announce([](const crash_report&) {});
        target.set_prompts_announce([](const prompt_reports&) {});
        target.set_continue([this] { ++continuations; });
    }

    void add_endpoints(int count)
    {
        std::vector<endpoint> all;
        for (int n = 1; n <= count; ++n)
            all.push_back({.id = "e" + std::to_string(n),
                           .service = "svc",
                           .address = "10.0.0." + std::to_string(n) + ":80",
                           .failure_domain = "east",
                           .slots = slots});
        target.set_endpoints(all, true);
    }

    std::uint64_t ask(double prompt_tokens,
                      std::vector<endpoint_key> tried = {})
    {
        const auto id = ++next;
        target.request({.id = id,
                        .attempt = "t",
                        .table = table,
                        .matched_route = table->find("h", "/x"),
                        .service = "svc",
                        .prompt_tokens = prompt_tokens,
                        .output_tokens = 10,
                        .received_at = time.now(),
                        .deadline = time.now() + 10'000,
                        .fingerprint = id,
                        .tried = std::move(tried)},
                       [this, id](const dispatch_result& it)
                       {
                           if (std::holds_alternative<dispatch_grant>(it))
                               granted.push_back(id);
                           else
                               ++refused;
                       });
        return id;
    }

    /// Placement attempts of one event.
    std::uint64_t attempts_of(const std::function<void()>& event)
    {
        const auto before = target.placing().attempts;
        event();
        return target.placing().attempts - before;
    }

    /// Runs the continuations that were posted, and returns how many there
    /// were.
    int run_continuations()
    {
        int runs = 0;
        for (; continuations > 0; ++runs)
        {
            --continuations;
            target.continue_placing();
        }
        return runs;
    }
};

/// Placement attempts of the end of a request while so many wait.
std::uint64_t attempts_with_waiting(std::size_t waiting)
{
    busy_node node;
    node.add_endpoints(1);
    for (std::uint32_t n = 0; n < slots; ++n)
        node.ask(short_prompt);
    for (std::size_t n = 0; n < waiting; ++n)
        node.ask(short_prompt + static_cast<double>(n % 7));
    BOOST_TEST_REQUIRE(node.granted.size() == slots);
    BOOST_TEST_REQUIRE(node.target.waiting() == waiting);
    const auto out = node.attempts_of([&] { node.target.on_finished(1, {}); });
    BOOST_TEST(node.granted.size() == slots + 1);
    BOOST_TEST(node.granted.back() == slots + 1);
    return out;
}

} // namespace

// Guards against an event loop that is blocked for seconds, because each event
// tries every waiting request at every endpoint.
BOOST_AUTO_TEST_CASE(an_event_takes_as_many_attempts_with_a_long_queue)
{
    const auto few = attempts_with_waiting(10);
    const auto many = attempts_with_waiting(10'000);
    BOOST_TEST_MESSAGE("attempts: " << few << " and " << many);
    BOOST_TEST(many <= 2 * few);
}

// Guards against unbounded work where no failed attempt shows that others would
// fail as well: each of these requests has tried an endpoint already.
BOOST_AUTO_TEST_CASE(attempts_of_an_event_are_bounded)
{
    busy_node node;
    node.add_endpoints(1);
    const auto key = node.target.endpoints().all().begin()->second.key;
    constexpr std::size_t waiting = 2000;
    for (std::size_t n = 0; n < waiting; ++n)
        node.ask(short_prompt, {key});
    BOOST_TEST_REQUIRE(node.target.waiting() == waiting);
    const placement_turn_limits limits;
    const auto bound = limits.attempts + limits.split_attempts;
    BOOST_TEST(node.attempts_of([&] { node.add_endpoints(1); }) <= bound);
    BOOST_TEST(node.attempts_of([&] { node.target.tick(); }) <= 2 * bound);
    BOOST_TEST(node.target.placing().most_attempts <= bound);
}

// Guards against requests behind the limit of a turn that are never tried.
BOOST_AUTO_TEST_CASE(ticks_reach_every_waiting_request)
{
    busy_node node;
    node.add_endpoints(2);
    std::vector<endpoint_key> keys;
    for (const auto& [id, it] : node.target.endpoints().all())
        keys.push_back(it.key);
    for (int n = 0; n < 200; ++n)
        node.ask(short_prompt, keys);
    const auto last = node.ask(short_prompt);
    BOOST_TEST_REQUIRE(node.granted.empty());
    for (int n = 0; n < 200 && node.granted.empty(); ++n)
    {
        node.time.advance(1);
        node.target.tick();
    }
    BOOST_TEST_REQUIRE(node.granted.size() == 1U);
    BOOST_TEST(node.granted.front() == last);
}

// Guards against free endpoints that stay unused while requests wait, and
// against a change of the order in which they are served.
BOOST_AUTO_TEST_CASE(continuations_fill_free_endpoints_in_order)
{
    busy_node node;
    for (int n = 0; n < 10'000; ++n)
        node.ask(short_prompt);
    BOOST_TEST_REQUIRE(node.granted.empty());
    node.add_endpoints(3);
    BOOST_TEST(node.granted.size() <= placement_turn_limits().attempts);
    BOOST_TEST(node.run_continuations() > 0);
    BOOST_TEST(node.granted.size() == 3 * slots);
    BOOST_TEST(std::is_sorted(node.granted.begin(), node.granted.end()));
    BOOST_TEST(node.granted.back() == 3 * slots);
}

// Guards against a request that is skipped although it needs less room than the
// one that could not be placed.
BOOST_AUTO_TEST_CASE(a_smaller_request_is_placed_behind_a_larger_one)
{
    busy_node node;
    node.add_endpoints(1);
    node.ask(300'000);
    node.ask(150'000);
    BOOST_TEST_REQUIRE(node.granted.size() == 1U);
    const auto small = node.ask(short_prompt);
    BOOST_TEST_REQUIRE(node.granted.size() == 2U);
    BOOST_TEST(node.granted.back() == small);
}

// Guards against a tick that is blocked when thousands of requests have waited
// too long.
BOOST_AUTO_TEST_CASE(refusals_of_a_tick_are_bounded)
{
    busy_node node;
    for (int n = 0; n < 2000; ++n)
        node.ask(short_prompt);
    node.time.advance(6000);
    node.target.tick();
    BOOST_TEST(node.refused > 0U);
    BOOST_TEST(node.refused <= 256U);
    for (int n = 0; n < 10; ++n)
        node.target.tick();
    BOOST_TEST(node.refused == 2000U);
}
