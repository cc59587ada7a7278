#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <set>

using namespace galenapulley;

namespace
{

constexpr msec interval = 20;

std::shared_ptr<const routing_table> sample_table()
{
    const route streams{.name = "s",
                        .host = "h",
                        .prefix = "/s/",
                        .kind = request_kind::streaming,
                        .timeout = 10'000,
                        .target_latency = 250,
                        .gap_target = 200,
                        .services = {{.service = "svc"}},
                        .max_attempts = 2,
                        .resumable = true};
    const route calls{.name = "n",
                      .host = "h",
                      .prefix = "/n/",
                      .kind = request_kind::non_idempotent,
                      .timeout = 10'000,
                      .target_latency = 250,
                      .services = {{.service = "svc"}}};
    const engine_profile engine{.slots = 12,
                                .memory_tokens = 450'000,
                                .step_ms = 0.925,
                                .prefill_tokens_per_ms = 256,
                                .steps_per_pass = 52};
    return std::make_shared<routing_table>(
        1, std::vector{streams, calls},
        std::vector<service_profile>{{.name = "svc", .engine = engine}},
        std::vector<client_account>{}, client_limits{});
}

/// A node with endpoints e1 to e6.
struct node
{
    manual_clock time{100'000};
    event_log log{"n1", "error"};
    dispatcher target;
    std::shared_ptr<const routing_table> table = sample_table();
    std::vector<wire::work_update> announced;
    std::uint64_t next = 0;

    explicit node(bool estimates = true, int endpoints = 6)
        : target({.node = "n1",
                  .failure_domain = "east",
                  .cluster_retries = {.base = 1000, .ratio = 1},
                  .endpoint_estimates = estimates},
                 time, log)
    {
        target.set_announce([this](const wire::work_update& it)
                            { announced.push_back(it); });
        target.set_crash_announce([](const crash_report&) {});
        target.set_prompts_announce([](const prompt_reports&) {});
        set_endpoints(endpoints);
    }

    void set_endpoints(int n, std::int64_t started_at = 1)
    {
        std::vector<endpoint> all;
        for (int k = 1; k <= n; ++k)
            all.push_back({.id = "e" + std::to_string(k),
                           .service = "svc",
                           .address = "10.0.0." + std::to_string(k) + ":80",
                           .failure_domain = "east",
                           .slots = 12,
                           .started_at = started_at});
        target.set_endpoints(all, true);
    }

    endpoint_key key(const std::string& id) const
    {
        return target.endpoints().all().at(id).key;
    }

    std::optional<dispatch_grant> place(const std::string& path = "/s/")
    {
        std::optional<dispatch_grant> out;
        target.request({.id = ++next,
                        .attempt = "t",
                        .table = table,
                        .matched_route = table->find("h", path),
                        .service = "svc",
                        .prompt_tokens = 5000,
                        .output_tokens = 100,
                        .received_at = time.now(),
                        .deadline = time.now() + 10'000,
                        .fingerprint = next},
                       [&out](dispatch_result it)
                       {
                           if (auto* const grant =
                                   std::get_if<dispatch_grant>(&it))
                               out = std::move(*grant);
                       });
        if (!out)
            target.cancel(next);
        return out;
    }

    /// Requests that end at once, at "e1" with the outcome. Returns how many
    /// each endpoint got.
    std::map<std::string, int> run(int requests, attempt_outcome at_e1,
                                   const std::string& path = "/s/")
    {
        std::map<std::string, int> got;
        for (int n = 0; n < requests; ++n)
        {
            time.advance(interval);
            const auto grant = place(path);
            if (!grant)
                continue;
            ++got[grant->primary.id];
            const bool first = grant->primary.id == "e1";
            target.on_finished(
                next, {.outcome = first ? at_e1 : attempt_outcome::completed,
                       .connected = true});
        }
        return got;
    }

    bool ejects_e1() const { return target.estimates().is_ejected(key("e1")); }
};

wire::endpoint_estimate_entry entry(endpoint_key key, float failure_rate,
                                    float slowdown = 1, float weight = 20)
{
    wire::endpoint_estimate_entry out;
    out.set_endpoint(key);
    out.set_failure_rate(failure_rate);
    out.set_slowdown(slowdown);
    out.set_weight(weight);
    return out;
}

} // namespace

// Guards against an endpoint that fails its requests and keeps getting them,
// and against trials that risk a call which must run at most once.
BOOST_AUTO_TEST_CASE(an_ejected_endpoint_gets_trials_only)
{
    node target;
    target.run(400, attempt_outcome::endpoint_error);
    BOOST_TEST_REQUIRE(target.ejects_e1());
    BOOST_TEST(target.run(300, attempt_outcome::endpoint_error, "/n/")["e1"] ==
               0);
    const auto trials = target.run(1000, attempt_outcome::endpoint_error)["e1"];
    BOOST_TEST(trials > 0);
    BOOST_TEST(trials < 1000 / 6);
    BOOST_TEST(target.ejects_e1());
    target.run(1000, attempt_outcome::completed);
    BOOST_TEST(!target.ejects_e1());
}

// Guards against decisions that change where the operator has not asked for
// it: the same results leave the placements as they are, and nothing is shared.
BOOST_AUTO_TEST_CASE(without_the_flag_nothing_changes)
{
    node target(false);
    node untouched(false);
    for (int n = 0; n < 200; ++n)
    {
        // The outcome makes no pause, so that both nodes may place alike.
        const auto got = target.run(1, attempt_outcome::endpoint_error);
        const auto expected = untouched.run(1, attempt_outcome::timed_out);
        BOOST_TEST((got == expected));
    }
    wire::work_update report;
    *report.add_estimates() = entry(target.key("e2"), 1, 8);
    for (const auto* const peer : {"n2", "n3", "n4", "n5"})
        target.target.on_update(peer, report);
    BOOST_TEST((target.run(200, attempt_outcome::completed) ==
                untouched.run(200, attempt_outcome::completed)));
    BOOST_TEST(target.target.estimates().ejected() == 0U);
    BOOST_TEST(target.target.all_work().estimates_size() == 0);
    for (const auto& it : target.announced)
        BOOST_TEST(it.estimates_size() == 0);
    BOOST_TEST(target.target.describe_estimates() == R"({"endpoints":[]})");
}

// Guards against ends of attempts that the client, the request or the load
// caused and that are held against the endpoint.
BOOST_AUTO_TEST_CASE(refusals_and_ends_by_clients_are_no_evidence)
{
    for (const auto outcome :
         {attempt_outcome::unproven_refusal, attempt_outcome::not_run,
          attempt_outcome::replaced, attempt_outcome::memory_refused,
          attempt_outcome::paused, attempt_outcome::oversized_response,
          attempt_outcome::timed_out, attempt_outcome::client_gone})
    {
        node target;
        target.run(400, outcome);
        BOOST_TEST(!target.ejects_e1());
    }
}

BOOST_AUTO_TEST_CASE(failures_of_each_kind_are_evidence)
{
    for (const auto outcome :
         {attempt_outcome::endpoint_error, attempt_outcome::unreachable,
          attempt_outcome::invalid_response, attempt_outcome::stalled,
          attempt_outcome::broken_response})
    {
        node target;
        target.run(600, outcome);
        BOOST_TEST(target.ejects_e1(), name_of(outcome));
    }
}

// Guards against a service without endpoints: estimates never take the last
// two, nor what is left where others are paused.
BOOST_AUTO_TEST_CASE(unreliable_endpoints_serve_where_few_others_can)
{
    node two(true, 2);
    two.run(400, attempt_outcome::endpoint_error);
    BOOST_TEST(!two.ejects_e1());
    node target;
    target.run(400, attempt_outcome::endpoint_error);
    BOOST_TEST_REQUIRE(target.ejects_e1());
    for (const auto* const id : {"e2", "e3", "e4", "e5"})
        target.target.on_announcement(target.key(id), {.retry_after = 3000});
    BOOST_TEST(target.run(50, attempt_outcome::completed, "/n/")["e1"] >= 10);
}

namespace
{

/// The slowdown of e1 if clients leave so long after the placement there, and
/// other endpoints send the first token as expected.
double slowdown_after_silence(msec waited)
{
    node target;
    for (int n = 0; n < 300; ++n)
    {
        target.time.advance(interval);
        const auto grant = target.place();
        BOOST_TEST_REQUIRE(grant.has_value());
        const bool silent = grant->primary.id == "e1";
        const auto expected = static_cast<msec>(grant->expected_first_token_ms);
        target.time.advance(silent ? waited : expected);
        if (!silent)
            target.target.on_first_token(target.next);
        target.target.on_finished(
            target.next, {.outcome = silent ? attempt_outcome::client_gone
                                            : attempt_outcome::completed,
                          .events = silent ? 0U : 8U,
                          .connected = true});
    }
    BOOST_TEST(!target.ejects_e1());
    return target.target.estimates().slowdown(target.key("e1"));
}

} // namespace

// Guards against an endpoint whose clients all leave before it responds, and
// against clients that leave early for reasons of their own.
BOOST_AUTO_TEST_CASE(only_a_long_silence_shows_a_slow_endpoint)
{
    BOOST_TEST(slowdown_after_silence(2000) > 2);
    BOOST_TEST(slowdown_after_silence(400) == 1);
}

// Guards against a node without links to the endpoints that takes them, or
// lets others take them, for unreliable.
BOOST_AUTO_TEST_CASE(a_partitioned_node_estimates_nothing)
{
    node target;
    target.run(100, attempt_outcome::completed);
    BOOST_TEST(target.target.all_work().estimates_size() == 6);
    for (int n = 0; n < 1000 && !target.target.is_partitioned(); ++n)
    {
        target.time.advance(interval);
        if (target.place())
            target.target.on_finished(
                target.next, {.outcome = attempt_outcome::unreachable});
    }
    BOOST_TEST_REQUIRE(target.target.is_partitioned());
    BOOST_TEST(target.target.estimates().ejected() == 0U);
    BOOST_TEST(target.target.all_work().estimates_size() == 0);
    for (const auto* const id : {"e1", "e2", "e3"})
        target.target.on_probe(target.key(id), target.time.now(), true);
    BOOST_TEST_REQUIRE(!target.target.is_partitioned());
    BOOST_TEST(target.target.all_work().estimates_size() == 0);
}

// Guards against a new incarnation that is taken for the one before.
BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_clean)
{
    node target;
    target.run(400, attempt_outcome::endpoint_error);
    BOOST_TEST_REQUIRE(target.ejects_e1());
    target.set_endpoints(6, 2);
    BOOST_TEST(!target.ejects_e1());
    BOOST_TEST(target.target.estimates().ejected() == 0U);
}

// Guards against nodes that learn of an ejection only by failures of their own.
BOOST_AUTO_TEST_CASE(nodes_share_their_estimates)
{
    node target;
    target.run(400, attempt_outcome::endpoint_error);
    BOOST_TEST_REQUIRE(target.ejects_e1());
    std::size_t shared = 0;
    for (const auto& it : target.announced)
        shared += it.estimates_size() > 0;
    // At the ejection; further ones come with the complete announcements.
    BOOST_TEST(shared == 1U);
    const auto update = target.target.all_work();
    BOOST_TEST(update.estimates_size() == 6);
    node other;
    other.target.on_update("n2", update);
    BOOST_TEST(!other.ejects_e1());
    for (const auto* const peer : {"n3", "n4", "n5"})
        other.target.on_update(peer, update);
    other.time.advance(200);
    other.target.on_update("n2", update);
    BOOST_TEST(other.ejects_e1());
}

// Guards against a peer's values that end the node or change its decisions.
BOOST_AUTO_TEST_CASE(faulty_estimates_of_peers_change_nothing)
{
    node target;
    node untouched;
    const float nan = std::nanf("");
    const float infinite = std::numeric_limits<float>::infinity();
    const auto key = target.key("e1");
    for (const auto* const peer : {"n2", "n3", "n4", "n5", ""})
    {
        wire::work_update update;
        *update.add_estimates() = wire::endpoint_estimate_entry();
        *update.add_estimates() = entry(12'345, 1);
        for (const float bad : {nan, infinite, -infinite, -1.0F, 1e30F})
        {
            *update.add_estimates() = entry(key, bad);
            *update.add_estimates() = entry(key, 1, bad);
            *update.add_estimates() = entry(key, 1, 1, bad);
        }
        *update.add_estimates() = entry(key, 1);
        update.mutable_estimates()->rbegin()->set_age_ms(
            std::numeric_limits<std::uint32_t>::max());
        target.target.on_update(peer, update);
        target.time.advance(200);
        untouched.time.advance(200);
    }
    BOOST_TEST((target.run(100, attempt_outcome::completed) ==
                untouched.run(100, attempt_outcome::completed)));
}

// Guards against estimates that operators can't see.
BOOST_AUTO_TEST_CASE(estimates_are_described)
{
    node target;
    target.run(400, attempt_outcome::endpoint_error);
    const auto rows =
        nlohmann::json::parse(target.target.describe_estimates())["endpoints"];
    BOOST_TEST_REQUIRE(rows.size() == 6U);
    std::set<std::string> ejected;
    for (const auto& it : rows)
        if (it["state"] == "ejected")
            ejected.insert(it["endpoint"].get<std::string>());
    BOOST_TEST((ejected == std::set<std::string>{"e1"}));
}
