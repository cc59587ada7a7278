#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <numeric>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;

namespace
{

constexpr std::uint32_t part_tokens = 20'000;
constexpr msec retention = 60'000;

std::shared_ptr<const routing_table> sample_table()
{
    const route sample_route{.name = "r",
                             .host = "h",
                             .prefix = "/",
                             .kind = request_kind::streaming,
                             .timeout = 10'000,
                             .target_latency = 1500,
                             .gap_target = 500,
                             .services = {{.service = "svc"}},
                             .max_attempts = 2,
                             .resumable = true};
    const engine_profile engine{.slots = 16,
                                .memory_tokens = 400'000,
                                .step_ms = 1.3,
                                .prefill_tokens_per_ms = 154,
                                .attention_ms_per_million_pairs = 0.16,
                                .steps_per_pass = 34};
    return std::make_shared<routing_table>(
        1, std::vector{sample_route},
        std::vector<service_profile>{{.name = "svc", .engine = engine}},
        std::vector<client_account>{}, client_limits{});
}

std::vector<endpoint> endpoints(std::optional<prefix_retention> declared,
                                std::int64_t started_at = 1)
{
    std::vector<endpoint> out;
    for (int n = 1; n <= 4; ++n)
        out.push_back({.id = "e" + std::to_string(n),
                       .service = "svc",
                       .address = "10.0.0." + std::to_string(n) + ":80",
                       .failure_domain = "east",
                       .slots = 16,
                       .started_at = started_at,
                       .retention = declared,
                       .weights = 5});
    return out;
}

const prefix_retention declared{.tokens = 300'000, .time = retention};

/// One gateway's dispatcher with four endpoints.
struct node
{
    manual_clock& time;
    event_log log{"n", "error"};
    dispatcher target;
    std::shared_ptr<const routing_table> table = sample_table();
    std::vector<wire::work_update> announced;
    std::vector<double> saved;
    std::uint64_t next = 0;

    explicit node(manual_clock& clock, std::optional<prefix_retention> it,
                  const std::string& name = "n1")
        : time(clock)
        , target({.node = name,
                  .failure_domain = "east",
                  .cluster_retries = {.base = 100, .ratio = 0.2}},
                 clock, log)
    {
        target.set_announce([this](const wire::work_update& update)
                            { announced.push_back(update); });
        target.set_crash_announce([](const crash_report&) {});
        target.set_prompts_announce([](const prompt_reports&) {});
        target.set_prefix_use([this](double n) { saved.push_back(n); });
        target.set_endpoints(endpoints(it), true);
    }

    /// A prompt whose last part no other request has.
    std::optional<dispatch_grant> ask(const std::vector<std::uint64_t>& shared)
    {
        std::vector<prompt_part> parts;
        parts.reserve(shared.size());
        for (const auto id : shared)
            parts.push_back(
                {.id = id,
                 .position = static_cast<std::uint32_t>(parts.size()),
                 .tokens = part_tokens});
        std::optional<dispatch_grant> out;
        target.request(
            {.id = ++next,
             .attempt = "t",
             .table = table,
             .matched_route = table->find("h", "/x"),
             .service = "svc",
             .prompt_tokens =
                 500.0 + part_tokens * static_cast<double>(shared.size()),
             .output_tokens = 100,
             .received_at = time.now(),
             .deadline = time.now() + 10'000,
             .fingerprint = next,
             .shared_parts = parts},
            [&out](const dispatch_result& it)
            {
                if (const auto* const grant = std::get_if<dispatch_grant>(&it))
                    out = *grant;
            });
        return out;
    }

    void finish(std::uint64_t id,
                attempt_outcome outcome = attempt_outcome::completed,
                std::uint64_t events = 10)
    {
        target.on_first_token(id);
        target.on_finished(
            id, {.outcome = outcome, .events = events, .connected = true});
    }

    /// Serves the prompt, and returns where.
    endpoint_key serve(const std::vector<std::uint64_t>& shared)
    {
        const auto grant = ask(shared);
        BOOST_TEST_REQUIRE(grant.has_value());
        time.advance(static_cast<msec>(grant->expected_first_token_ms));
        finish(next);
        return grant->key;
    }

    /// Tokens that the next placement of the prompt saves.
    double saving(const std::vector<std::uint64_t>& shared)
    {
        saved.clear();
        ask(shared);
        target.on_finished(next, {.outcome = attempt_outcome::client_gone});
        return std::accumulate(saved.begin(), saved.end(), 0.0);
    }

    void hear(const node& from)
    {
        for (const auto& it : from.announced)
            target.on_update("n2", it);
    }
};

/// Sessions that return with a prompt that has grown by one part, several at
/// the same time. Returns the expected times to first token.
std::vector<double> replay_sessions(node& gateway)
{
    constexpr int turns = 7;
    constexpr std::uint64_t sessions = 6;
    constexpr msec between_requests = 40;
    constexpr msec between_turns = 2000;
    std::vector<double> out;
    for (int turn = 1; turn <= turns; ++turn)
    {
        std::vector<std::uint64_t> running;
        for (std::uint64_t session = 0; session < sessions; ++session)
        {
            std::vector<std::uint64_t> shared{1};
            for (int n = 1; n < turn; ++n)
                shared.push_back(1000 * (session + 1) + n);
            const auto grant = gateway.ask(shared);
            BOOST_TEST_REQUIRE(grant.has_value());
            out.push_back(grant->expected_first_token_ms);
            running.push_back(gateway.next);
            gateway.time.advance(between_requests);
        }
        gateway.time.advance(between_turns);
        for (const auto id : running)
            gateway.finish(id);
    }
    return out;
}

double sum(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

// Guards against the prefill of a whole prompt of which an endpoint still holds
// nearly all: without the declaration every turn of a session pays for it.
BOOST_AUTO_TEST_CASE(returning_sessions_get_their_first_token_sooner)
{
    manual_clock first_time{100'000};
    manual_clock second_time{100'000};
    node without(first_time, std::nullopt);
    node with(second_time, declared);
    const auto before = replay_sessions(without);
    const auto after = replay_sessions(with);
    BOOST_TEST(without.saved.empty());
    BOOST_TEST(!with.saved.empty());
    BOOST_TEST(sum(after) < 0.7 * sum(before));
}

// Guards against decisions that change although no endpoint declares anything,
// or although no prompt has parts that requests share.
RC_BOOST_PROP(without_a_declaration_the_decisions_are_the_same, ())
{
    manual_clock time_a{100'000};
    manual_clock time_b{100'000};
    const bool declares = *rc::gen::arbitrary<bool>();
    node plain(time_a, std::nullopt);
    node other(time_b, declares ? std::optional(declared) : std::nullopt);
    std::vector<std::uint64_t> running;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; ++n)
    {
        const auto size = *rc::gen::inRange<std::size_t>(0, 12);
        const auto pause = *rc::gen::inRange<msec>(0, 300);
        const std::vector<std::uint64_t> shared(size, 7);
        const auto tokens = static_cast<std::uint32_t>(size) * part_tokens;
        const auto expected = plain.ask(shared);
        // The same prompt, with parts only if the endpoint declares nothing.
        std::optional<dispatch_grant> found;
        other.target.request(
            {.id = ++other.next,
             .attempt = "t",
             .table = other.table,
             .matched_route = other.table->find("h", "/x"),
             .service = "svc",
             .prompt_tokens = 500.0 + tokens,
             .output_tokens = 100,
             .received_at = time_b.now(),
             .deadline = time_b.now() + 10'000,
             .fingerprint = other.next,
             .shared_parts = declares
                                 ? std::vector<prompt_part>{}
                                 : std::vector<prompt_part>(
                                       size, {.id = 7, .tokens = part_tokens})},
            [&found](const dispatch_result& it)
            {
                if (const auto* const grant = std::get_if<dispatch_grant>(&it))
                    found = *grant;
            });
        RC_ASSERT(found.has_value() == expected.has_value());
        if (found)
        {
            RC_ASSERT(found->key == expected->key);
            RC_ASSERT(found->helpers.size() == expected->helpers.size());
            RC_ASSERT(found->expected_first_token_ms ==
                      expected->expected_first_token_ms);
            running.push_back(plain.next);
        }
        else
        {
            plain.target.cancel(plain.next);
            other.target.cancel(other.next);
        }
        time_a.advance(pause);
        time_b.advance(pause);
        if (!running.empty() && *rc::gen::arbitrary<bool>())
        {
            plain.finish(running.front());
            other.finish(running.front());
            running.erase(running.begin());
        }
    }
    RC_ASSERT(other.saved.empty());
    for (const auto& it : other.announced)
        RC_ASSERT(it.prefixes_size() == 0);
}

// Guards against a prefix that is thought to be held after its endpoint has
// restarted, refused a request or crashed.
BOOST_AUTO_TEST_CASE(a_restart_refusal_or_crash_loses_the_prefix)
{
    manual_clock time{100'000};
    node gateway(time, declared);
    gateway.serve({1, 2});
    BOOST_TEST(gateway.saving({1, 2}) == 2.0 * part_tokens);
    gateway.target.set_endpoints(endpoints(declared, 2), true);
    BOOST_TEST(gateway.saving({1, 2}) == 0);
    for (const auto outcome :
         {attempt_outcome::not_run, attempt_outcome::unproven_refusal,
          attempt_outcome::broken_before_response,
          attempt_outcome::broken_response, attempt_outcome::unreachable})
    {
        const auto key = gateway.serve({1, 2});
        BOOST_TEST(gateway.saving({1, 2}) == 2.0 * part_tokens);
        const auto grant = gateway.ask({1, 2});
        BOOST_TEST_REQUIRE(grant->key == key);
        gateway.finish(gateway.next, outcome, 0);
        // The pause after the failure is over.
        time.advance(5000);
        BOOST_TEST(gateway.saving({1, 2}) == 0);
    }
}

// Guards against prefixes recorded for responses that may be errors, and for
// requests that ended early.
BOOST_AUTO_TEST_CASE(only_served_prompts_leave_a_prefix)
{
    manual_clock time{100'000};
    node gateway(time, declared);
    gateway.ask({1, 2});
    gateway.finish(gateway.next, attempt_outcome::completed, 0);
    gateway.ask({1, 2});
    gateway.finish(gateway.next, attempt_outcome::client_gone, 5);
    BOOST_TEST(gateway.saving({1, 2}) == 0);
    gateway.serve({1, 2});
    time.advance(retention);
    BOOST_TEST(gateway.saving({1, 2}) == 0);
}

// Guards against gateways that don't know each other's prefixes: a session may
// return through any of them.
BOOST_AUTO_TEST_CASE(peers_learn_of_prefixes)
{
    manual_clock time{100'000};
    node first(time, declared);
    node second(time, declared, "n2");
    node late(time, declared, "n3");
    const auto key = first.serve({1, 2});
    second.hear(first);
    BOOST_TEST(second.saving({1, 2}) == 2.0 * part_tokens);
    BOOST_TEST(second.ask({1, 2})->key == key);
    // A node that has missed the announcement learns from the next complete
    // one.
    late.target.on_update("n1", first.target.all_work());
    BOOST_TEST(late.saving({1, 2}) == 2.0 * part_tokens);
    // What it has only heard of it doesn't announce.
    BOOST_TEST(late.target.all_work().prefixes_size() == 0);
}

// Guards against an announcement that arrives after the endpoint has lost its
// memory, and against entries that can't be true.
BOOST_AUTO_TEST_CASE(stale_and_bad_announcements_are_ignored)
{
    manual_clock time{100'000};
    node first(time, declared);
    node second(time, declared, "n2");
    const auto key = first.serve({1, 2});
    second.hear(first);
    second.ask({1, 2});
    second.finish(second.next, attempt_outcome::broken_response, 0);
    time.advance(5000);
    second.target.on_update("n1", first.target.all_work());
    BOOST_TEST(second.saving({1, 2}) == 0);

    wire::work_update bad;
    for (int n = 0; n < 10'000; ++n)
    {
        auto& it = *bad.add_prefixes();
        it.set_endpoint(n % 2 == 0 ? key : 99);
        it.set_prefix(n);
        it.set_tokens(n % 3 == 0 ? 0 : 4'000'000'000U);
        it.set_left_ms(n % 5 == 0 ? 0 : 4'000'000'000U);
        it.set_weights(n);
    }
    second.target.on_update("n1", bad);
    BOOST_TEST(second.saving({1, 2}) == 0);
    BOOST_TEST(second.target.all_work().prefixes_size() == 0);
}
