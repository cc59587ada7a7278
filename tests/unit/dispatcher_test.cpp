#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace galenapulley;

namespace
{

constexpr msec cold_time = 3000;
constexpr double cold_rate = 36;

std::shared_ptr<const routing_table> sample_table()
{
    const route sample_route{.name = "r",
                             .host = "h",
                             .prefix = "/",
                             .kind = request_kind::streaming,
                             .timeout = 10'000,
                             .target_latency = 4000,
                             .gap_target = 1000,
                             .services = {{.service = "svc"}},
                             .max_attempts = 2,
                             .resumable = true};
    const engine_profile engine{.slots = 100,
                                .memory_tokens = 400'000,
                                .step_ms = 1.3,
                                .prefill_tokens_per_ms = 154,
                                .attention_ms_per_million_pairs = 0.16,
                                .steps_per_pass = 34};
    return std::make_shared<routing_table>(
        1, std::vector{sample_route},
        std::vector<service_profile>{
            {.name = "svc", .cold_rate = cold_rate, .engine = engine}},
        std::vector<client_account>{}, client_limits{});
}

struct one_endpoint
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

    explicit one_endpoint(msec cold_remaining, int endpoints = 1)
    {
        target.set_announce([](const wire::work_update&) {});
        target.set_crash_announce([](const crash_report&) {});
        target.set_prompts_announce([](const prompt_reports&) {});
        std::vector<endpoint> all;
        for (int n = 1; n <= endpoints; ++n)
            all.push_back({.id = "e" + std::to_string(n),
                           .service = "svc",
                           .address = "10.0.0." + std::to_string(n) + ":80",
                           .failure_domain = "east",
                           .slots = 100,
                           .cold_remaining = cold_remaining});
        target.set_endpoints(all, true);
    }

    std::optional<dispatch_result> ask(double prompt_tokens,
                                       bool is_retry = false,
                                       std::uint64_t fingerprint = 0)
    {
        std::optional<dispatch_result> out;
        target.request({.id = ++next,
                        .attempt = "t",
                        .table = table,
                        .matched_route = table->find("h", "/x"),
                        .service = "svc",
                        .prompt_tokens = prompt_tokens,
                        .output_tokens = 100,
                        .received_at = time.now(),
                        .deadline = time.now() + 15'000,
                        .fingerprint = fingerprint == 0 ? next : fingerprint,
                        .is_retry = is_retry},
                       [&out](dispatch_result it) { out = std::move(it); });
        // A later callback would refer to a local variable that is gone.
        if (!out)
            target.cancel(next);
        return out;
    }
};

} // namespace

// Guards against a client that waits although its prompt exceeds the memory of
// all engines.
BOOST_AUTO_TEST_CASE(a_prompt_that_fits_no_engine_is_refused_at_once)
{
    one_endpoint fleet(0);
    const auto result = fleet.ask(500'000);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto* const refusal = std::get_if<dispatch_refusal>(&*result);
    BOOST_TEST_REQUIRE(refusal != nullptr);
    BOOST_TEST(refusal->retry_after > 0);
    BOOST_TEST(fleet.target.waiting() == 0U);
    const auto fits = fleet.ask(300'000);
    BOOST_TEST(std::holds_alternative<dispatch_grant>(*fits));
}

// Guards against refusing prompts that exceed one engine's memory: several
// engines hold segments, with memory reserved at each helper.
BOOST_AUTO_TEST_CASE(a_prompt_above_one_engines_memory_is_split)
{
    one_endpoint fleet(0, 4);
    const auto result = fleet.ask(500'000);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto* const grant = std::get_if<dispatch_grant>(&*result);
    BOOST_TEST_REQUIRE(grant != nullptr);
    BOOST_TEST(grant->needs_reservation);
    double reserved = 0;
    for (const auto& it : grant->helpers)
        reserved += it.reserved_tokens;
    BOOST_TEST(reserved >= 100'000);
    BOOST_TEST(reserved <= 500'000);
    const auto smaller = fleet.ask(200'000);
    BOOST_TEST(!std::get<dispatch_grant>(*smaller).needs_reservation);
}

// Guards against a prefill of seconds that can't finish before the client's
// deadline.
BOOST_AUTO_TEST_CASE(a_prompt_with_too_long_a_prefill_is_refused_at_once)
{
    one_endpoint fleet(0, 16);
    const auto result = fleet.ask(3'000'000);
    BOOST_TEST_REQUIRE(result.has_value());
    BOOST_TEST(std::holds_alternative<dispatch_refusal>(*result));
    BOOST_TEST(fleet.target.waiting() == 0U);
}

// Guards against avoiding a primary endpoint because its helper has failed.
BOOST_AUTO_TEST_CASE(a_helper_at_fault_is_avoided_and_not_its_primary)
{
    one_endpoint fleet(0, 2);
    const auto result = fleet.ask(420'000);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto& grant = std::get<dispatch_grant>(*result);
    BOOST_TEST_REQUIRE(grant.helpers.size() == 1U);
    fleet.target.on_finished(fleet.next,
                             {.outcome = attempt_outcome::not_run,
                              .at_fault = grant.helpers.front().key});
    const auto usable =
        fleet.target.endpoints().usable("svc", fleet.time.now());
    BOOST_TEST_REQUIRE(usable.size() == 1U);
    BOOST_TEST(usable.front()->description.id == grant.primary.id);
}

// Guards against overloading an endpoint that has just started with a burst of
// short prompts: well above its cold rate it crashes.
BOOST_AUTO_TEST_CASE(a_cold_endpoint_gets_no_more_than_its_rate)
{
    one_endpoint fleet(cold_time);
    int granted = 0;
    for (int n = 0; n < 100; ++n)
    {
        fleet.time.advance(9);
        const auto result = fleet.ask(500);
        granted += result && std::holds_alternative<dispatch_grant>(*result);
    }
    BOOST_TEST(granted > 0);
    BOOST_TEST(granted <= cold_rate);
    fleet.time.advance(cold_time);
    BOOST_TEST(fleet.ask(500).has_value());
}

namespace
{

/// A peer's announcement of one placement on the first endpoint.
wire::work_update announcement(const one_endpoint& fleet, std::uint64_t request,
                               bool is_retry)
{
    wire::work_update out;
    auto& entry = *out.add_placed();
    entry.set_request(request);
    entry.add_endpoints(fleet.target.endpoints().all().begin()->second.key);
    entry.set_repeat(is_retry);
    return out;
}

std::size_t retries_granted(one_endpoint& fleet, int asked)
{
    std::size_t out = 0;
    for (int n = 0; n < asked; ++n)
    {
        const auto result = fleet.ask(500, true);
        out += result && std::holds_alternative<dispatch_grant>(*result);
    }
    return out;
}

} // namespace

// Guards against a fixed share of the retry budget for each node: if all
// requests that meet a few failed endpoints came through one node, its share
// would be used up while those of the other nodes are unused.
BOOST_AUTO_TEST_CASE(one_node_may_use_retries_of_idle_nodes)
{
    one_endpoint fleet(0);
    fleet.target.set_nodes(99, 99);
    const auto granted = retries_granted(fleet, 80);
    BOOST_TEST(granted >= 60U);
    BOOST_TEST(granted <= 100U);
}

// Guards against nodes that together exceed the retry budget of the cluster.
BOOST_AUTO_TEST_CASE(retries_of_peers_count)
{
    one_endpoint fleet(0);
    fleet.target.set_nodes(99, 99);
    for (std::uint64_t n = 0; n < 70; ++n)
        fleet.target.on_update("n2", announcement(fleet, 1000 + n, true));
    BOOST_TEST(retries_granted(fleet, 10) <= 1U);
}

// Guards against a network partition in which each half of the cluster uses the
// whole retry budget.
BOOST_AUTO_TEST_CASE(unreachable_nodes_keep_their_share_of_the_budget)
{
    one_endpoint fleet(0);
    fleet.target.set_nodes(49, 99);
    BOOST_TEST(retries_granted(fleet, 80) <= 50U);
}

// Guards against endpoints that look loaded for ever: a node that leaves the
// serving set gets no more announcements, and neither do the others of it.
BOOST_AUTO_TEST_CASE(work_of_a_silent_node_is_forgotten)
{
    one_endpoint fleet(0);
    fleet.target.on_update("n2", announcement(fleet, 1000, false));
    const auto key = fleet.target.endpoints().all().begin()->second.key;
    const auto running = [&]
    {
        return fleet.target.load().load_of(key, fleet.time.now()).running;
    };
    fleet.time.advance(6000);
    fleet.target.drop_silent_nodes();
    BOOST_TEST(running() == 1U);
    fleet.time.advance(1000);
    fleet.target.drop_silent_nodes();
    BOOST_TEST(running() == 0U);
}

BOOST_AUTO_TEST_CASE(the_request_rate_leaves_out_retries)
{
    one_endpoint fleet(0);
    for (int n = 0; n < 300; ++n)
    {
        fleet.ask(1000, n % 3 == 0);
        fleet.time.advance(10);
    }
    BOOST_TEST(fleet.target.request_rate() > 40);
    BOOST_TEST(fleet.target.request_rate() < 80);
}

// Guards against prompts that were accepted before their part was quarantined
// and are sent to endpoints afterwards.
BOOST_AUTO_TEST_CASE(a_waiting_prompt_with_a_quarantined_part_is_refused)
{
    one_endpoint fleet(0);
    const auto all = fleet.target.endpoints().all().begin()->second.description;
    fleet.target.set_endpoints({}, true);
    std::optional<dispatch_result> result;
    fleet.target.request({.id = 1,
                          .table = fleet.table,
                          .matched_route = fleet.table->find("h", "/x"),
                          .service = "svc",
                          .prompt_tokens = 500,
                          .received_at = fleet.time.now(),
                          .deadline = fleet.time.now() + 15'000,
                          .shared_parts = {{.id = 7}}},
                         [&result](dispatch_result it)
                         { result = std::move(it); });
    BOOST_TEST(fleet.target.waiting() == 1U);
    prompt_reports reports;
    for (endpoint_key n = 1; n <= 5; ++n)
    {
        fleet.time.advance(200);
        reports.crashes.push_back({.endpoint = 100 + n,
                                   .at = fleet.time.now(),
                                   .parts = {{.id = 7}}});
    }
    fleet.target.on_prompt_reports(reports);
    fleet.target.set_endpoints({all}, true);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto* const refusal = std::get_if<dispatch_refusal>(&*result);
    BOOST_TEST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->kind == error_kind::request_quarantined));
    BOOST_TEST(fleet.target.waiting() == 0U);
}

namespace
{

endpoint_key first_key(const one_endpoint& fleet)
{
    return fleet.target.endpoints().all().begin()->second.key;
}

/// Requests granted in 4 s if one comes every 50 ms and ends at once.
int granted_in_four_seconds(one_endpoint& fleet)
{
    int granted = 0;
    for (int n = 0; n < 80; ++n)
    {
        fleet.time.advance(50);
        const auto result = fleet.ask(500);
        if (!result || !std::holds_alternative<dispatch_grant>(*result))
            continue;
        ++granted;
        fleet.target.on_finished(fleet.next,
                                 {.outcome = attempt_outcome::completed});
    }
    return granted;
}

/// A peer's report of the first endpoint's limit.
wire::work_update limit_report(const one_endpoint& fleet,
                               std::optional<double> per_second, msec age)
{
    wire::work_update out;
    auto& entry = *out.add_rate_limits();
    entry.set_endpoint(first_key(fleet));
    if (per_second)
        entry.set_per_second(*per_second);
    entry.set_age_ms(age);
    return out;
}

} // namespace

// Guards against an endpoint in need that gets more than the rate it names.
BOOST_AUTO_TEST_CASE(an_endpoint_gets_the_rate_that_it_names)
{
    one_endpoint fleet(0);
    fleet.target.on_announcement(first_key(fleet), {.rate_limit = 2.5});
    BOOST_TEST(granted_in_four_seconds(fleet) == 10);
    BOOST_TEST(granted_in_four_seconds(fleet) <= 10);
    fleet.target.on_announcement(first_key(fleet),
                                 {.rate_limit = std::nullopt});
    BOOST_TEST(granted_in_four_seconds(fleet) == 80);
}

// Guards against nodes that each use the whole limit.
BOOST_AUTO_TEST_CASE(placements_of_peers_count_against_the_limit)
{
    one_endpoint fleet(0);
    fleet.target.on_update("n2", limit_report(fleet, 2, 0));
    for (std::uint64_t n = 0; n < 8; ++n)
    {
        fleet.target.on_update("n2", announcement(fleet, 1000 + n, false));
        wire::work_update ended;
        ended.add_ended(1000 + n);
        fleet.target.on_update("n2", ended);
    }
    BOOST_TEST(!fleet.ask(500).has_value());
    fleet.time.advance(4000);
    BOOST_TEST(fleet.ask(500).has_value());
}

// Guards against a late report that restores a limit which has ended.
BOOST_AUTO_TEST_CASE(an_older_report_of_a_limit_is_ignored)
{
    one_endpoint fleet(0);
    fleet.target.on_announcement(first_key(fleet), {.rate_limit = 1.0});
    fleet.time.advance(1000);
    fleet.target.on_announcement(first_key(fleet),
                                 {.rate_limit = std::nullopt});
    fleet.target.on_update("n2", limit_report(fleet, 1, 500));
    BOOST_TEST(granted_in_four_seconds(fleet) == 80);
    BOOST_TEST(fleet.target.all_work().rate_limits_size() == 1);
    BOOST_TEST(!fleet.target.all_work().rate_limits(0).has_per_second());
    fleet.time.advance(10'000);
    BOOST_TEST(fleet.target.all_work().rate_limits_size() == 0);
}

// Guards against an endpoint with a limit of 0 that never shows its recovery.
BOOST_AUTO_TEST_CASE(an_endpoint_with_a_limit_of_zero_is_still_asked)
{
    one_endpoint fleet(0);
    fleet.target.on_announcement(first_key(fleet), {.rate_limit = 0.0});
    BOOST_TEST(granted_in_four_seconds(fleet) == 1);
}

// Guards against long prompts that wait for engines which may not get another
// request but can still prefill a segment.
BOOST_AUTO_TEST_CASE(an_endpoint_at_its_limit_may_be_a_helper)
{
    one_endpoint fleet(0, 2);
    fleet.target.on_announcement(first_key(fleet), {.rate_limit = 0.0});
    for (int n = 0; n < 4; ++n)
        fleet.ask(500);
    const auto result = fleet.ask(420'000);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto* const grant = std::get_if<dispatch_grant>(&*result);
    BOOST_TEST_REQUIRE(grant != nullptr);
    BOOST_TEST(grant->primary.id == "e2");
    BOOST_TEST_REQUIRE(grant->helpers.size() == 1U);
    BOOST_TEST(grant->helpers.front().id == "e1");
}

// Guards against refusing a client's sound request, which it repeats after
// crashes that other requests caused in the middle of the response.
BOOST_AUTO_TEST_CASE(a_crash_in_mid_stream_is_not_blamed_on_the_request)
{
    constexpr std::uint64_t fingerprint = 12'345;
    one_endpoint fleet(0, 4);
    const auto end_attempt = [&](std::uint64_t events)
    {
        fleet.target.on_finished(
            fleet.next,
            {.outcome = attempt_outcome::broken_response, .events = events});
        fleet.time.advance(5000);
    };
    const auto is_granted = [&]
    {
        const auto result = fleet.ask(500, false, fingerprint);
        return result && std::holds_alternative<dispatch_grant>(*result);
    };
    for (int n = 0; n < 5; ++n)
    {
        BOOST_TEST(is_granted());
        end_attempt(20);
    }
    for (int n = 0; n < 3; ++n)
    {
        BOOST_TEST(is_granted());
        end_attempt(0);
    }
    BOOST_TEST(!is_granted());
}

namespace
{

wire::work_update pause_report_of(const one_endpoint& fleet, msec left)
{
    wire::work_update out;
    auto& entry = *out.add_pauses();
    entry.set_endpoint(first_key(fleet));
    entry.set_left_ms(static_cast<std::uint32_t>(left));
    return out;
}

/// The endpoints that get the next requests.
std::set<std::string> next_primaries(one_endpoint& fleet)
{
    std::set<std::string> out;
    for (int n = 0; n < 20; ++n)
    {
        const auto result = fleet.ask(500);
        if (!result)
            continue;
        if (const auto* const grant = std::get_if<dispatch_grant>(&*result))
            out.insert(grant->primary.id);
        fleet.target.on_finished(fleet.next, {});
    }
    return out;
}

} // namespace

// Guards against helpers of a long prompt that asked for a pause.
BOOST_AUTO_TEST_CASE(a_paused_endpoint_is_no_helper)
{
    one_endpoint fleet(0, 3);
    fleet.target.on_announcement(first_key(fleet), {.retry_after = 2000});
    const auto result = fleet.ask(420'000);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto& grant = std::get<dispatch_grant>(*result);
    BOOST_TEST(grant.primary.id != "e1");
    for (const auto& it : grant.helpers)
        BOOST_TEST(it.id != "e1");
}

// Guards against a request that waits until its deadline for endpoints which
// want a longer pause.
BOOST_AUTO_TEST_CASE(waiting_requests_are_refused_when_all_endpoints_pause)
{
    one_endpoint fleet(0);
    fleet.target.on_announcement(first_key(fleet), {.retry_after = 100});
    std::optional<dispatch_result> result;
    fleet.target.request({.id = 1'000'000,
                          .attempt = "t",
                          .table = fleet.table,
                          .matched_route = fleet.table->find("h", "/x"),
                          .service = "svc",
                          .prompt_tokens = 500,
                          .received_at = fleet.time.now(),
                          .deadline = fleet.time.now() + 15'000},
                         [&result](dispatch_result it)
                         { result = std::move(it); });
    BOOST_TEST(!result.has_value());
    fleet.target.on_announcement(first_key(fleet), {.retry_after = 2000});
    BOOST_TEST_REQUIRE(result.has_value());
    const auto& refusal = std::get<dispatch_refusal>(*result);
    BOOST_TEST(refusal.retry_after >= 2000);
    BOOST_TEST(refusal.retry_after <= 3000);
}

// Guards against clients that all return in the moment when a pause ends.
BOOST_AUTO_TEST_CASE(refused_clients_return_spread_over_time)
{
    one_endpoint fleet(0);
    fleet.target.on_announcement(first_key(fleet), {.retry_after = 2000});
    std::set<msec> returns;
    for (int n = 0; n < 20; ++n)
        returns.insert(std::get<dispatch_refusal>(*fleet.ask(500)).retry_after);
    BOOST_TEST(returns.size() > 10U);
    BOOST_TEST(*returns.rbegin() - *returns.begin() > 200);
}

// Guards against a node that has to be refused itself by an endpoint that
// refuses its peers.
BOOST_AUTO_TEST_CASE(an_endpoint_that_paused_for_a_peer_is_avoided)
{
    one_endpoint fleet(0, 4);
    fleet.target.on_update("n2", pause_report_of(fleet, 2000));
    BOOST_TEST(!next_primaries(fleet).contains("e1"));
    fleet.time.advance(2000);
    BOOST_TEST(next_primaries(fleet).contains("e1"));
}

// Guards against a peer's word that takes a service away: only what an endpoint
// said to this node itself excludes the last endpoints.
BOOST_AUTO_TEST_CASE(pauses_of_peers_do_not_exclude_the_last_endpoint)
{
    one_endpoint fleet(0);
    fleet.target.on_update("n2", pause_report_of(fleet, 2000));
    BOOST_TEST(next_primaries(fleet).contains("e1"));
    BOOST_TEST(fleet.target.all_work().pauses_size() == 0);
    fleet.target.on_announcement(first_key(fleet), {.retry_after = 2000});
    BOOST_TEST(next_primaries(fleet).empty());
    BOOST_TEST(fleet.target.all_work().pauses_size() == 1);
}

namespace
{

/// A node with peers "n2" and "n3" and eight endpoints.
struct node_with_peers : one_endpoint
{
    std::vector<wire::work_update> announced;
    std::vector<endpoint_key> probed;

    node_with_peers() : one_endpoint(0, 8)
    {
        target.set_announce([this](const wire::work_update& it)
                            { announced.push_back(it); });
        target.set_probe([this](endpoint_key key, const std::string&)
                         { probed.push_back(key); });
        target.set_peers({{"n2", {.address = "10.1.0.2:80"}},
                          {"n3", {.address = "10.1.0.3:80"}}});
    }

    void hear(const std::string& peer, std::optional<msec> contact_age,
              bool partitioned)
    {
        wire::work_update update;
        if (contact_age)
            update.set_contact_age_ms(static_cast<std::uint32_t>(*contact_age));
        update.set_partitioned(partitioned);
        target.on_update(peer, update);
    }

    std::optional<dispatch_result> ask_for(bool relayed, bool may_hand_over)
    {
        std::optional<dispatch_result> out;
        target.request({.id = ++next,
                        .attempt = "t",
                        .table = table,
                        .matched_route = table->find("h", "/x"),
                        .service = "svc",
                        .prompt_tokens = 500,
                        .received_at = time.now(),
                        .deadline = time.now() + 15'000,
                        .is_relayed = relayed,
                        .may_hand_over = may_hand_over},
                       [&out](dispatch_result it) { out = std::move(it); });
        if (!out)
            target.cancel(next);
        return out;
    }

    /// Fails attempts at endpoints until the node takes itself for partitioned.
    void lose_endpoints()
    {
        while (!target.is_partitioned())
        {
            BOOST_TEST_REQUIRE(ask(500).has_value());
            target.on_finished(next, {.outcome = attempt_outcome::unreachable});
            time.advance(10);
        }
    }

    /// The peers that the next requests are handed over to.
    std::set<std::string> peers_asked()
    {
        std::set<std::string> out;
        for (int n = 0; n < 20; ++n)
        {
            const auto result = ask_for(false, true);
            if (!result)
                continue;
            if (const auto* const to = std::get_if<handover>(&*result))
                out.insert(to->node);
            target.on_finished(next, {});
        }
        return out;
    }
};

} // namespace

// Guards against requests that a partitioned node passes to nodes which are
// partitioned as well.
BOOST_FIXTURE_TEST_CASE(requests_go_to_peers_that_reach_endpoints,
                        node_with_peers)
{
    hear("n2", 0, false);
    hear("n3", 4000, false);
    lose_endpoints();
    BOOST_TEST((peers_asked() == std::set<std::string>{"n2"}));
    hear("n3", 0, false);
    hear("n2", 0, true);
    BOOST_TEST((peers_asked() == std::set<std::string>{"n3"}));
    hear("n3", std::nullopt, true);
    BOOST_TEST(peers_asked().empty());
}

// Guards against a peer that refuses a request and gets the next ones at once.
BOOST_FIXTURE_TEST_CASE(a_peer_that_refused_a_request_is_avoided,
                        node_with_peers)
{
    hear("n2", 0, false);
    lose_endpoints();
    const auto result = ask_for(false, true);
    BOOST_TEST(std::get<handover>(*result).node == "n2");
    hear("n3", 0, false);
    target.on_finished(next, {.outcome = attempt_outcome::handover_refused});
    BOOST_TEST((peers_asked() == std::set<std::string>{"n3"}));
}

// Guards against requests that are handed over more than once.
BOOST_FIXTURE_TEST_CASE(a_partitioned_node_refuses_relayed_requests,
                        node_with_peers)
{
    hear("n2", 0, false);
    lose_endpoints();
    const auto result = ask_for(true, false);
    BOOST_TEST_REQUIRE(result.has_value());
    const auto& refusal = std::get<dispatch_refusal>(*result);
    BOOST_TEST((refusal.kind == error_kind::isolated));
}

// Guards against sound endpoints that peers avoid because of a node that is
// partitioned from them.
BOOST_FIXTURE_TEST_CASE(a_partitioned_node_reports_no_endpoint_as_failing,
                        node_with_peers)
{
    const auto last = ask(500);
    const auto last_id = next;
    lose_endpoints();
    announced.clear();
    target.on_finished(last_id, {.outcome = attempt_outcome::unreachable});
    for (const auto& it : announced)
        BOOST_TEST(it.failed_size() == 0);
    BOOST_TEST(announced.back().partitioned());
}

// Guards against a node that stays partitioned, and against endpoints that it
// still avoids afterwards.
BOOST_FIXTURE_TEST_CASE(probes_end_a_partition, node_with_peers)
{
    hear("n2", 0, false);
    lose_endpoints();
    BOOST_TEST_REQUIRE(probed.size() == 2U);
    BOOST_TEST(probed[0] != probed[1]);
    time.advance(10);
    target.on_probe(probed[0], time.now(), true);
    BOOST_TEST(target.is_partitioned());
    target.on_probe(probed[1], time.now(), true);
    BOOST_TEST(!target.is_partitioned());
    BOOST_TEST(!announced.back().partitioned());
    BOOST_TEST(peers_asked().empty());
    const auto result = ask_for(false, true);
    BOOST_TEST(std::holds_alternative<dispatch_grant>(*result));
}
