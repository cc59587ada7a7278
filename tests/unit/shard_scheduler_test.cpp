#include "galenapulley/crash_registry.hpp"
#include "galenapulley/load_report.hpp"
#include "galenapulley/shard_scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace galenapulley;

namespace
{

back_end make_back_end(const std::string& name, std::uint32_t slots = 4,
                       std::uint32_t cold_slots = 2)
{
    back_end it;
    it.name = name;
    it.address = name + ":1";
    it.zone = "east";
    it.machine = "vm-" + name;
    it.slots = slots;
    it.cold_slots = cold_slots;
    it.kv_tokens = 100'000;
    return it;
}

service make_service(std::size_t back_ends)
{
    service document;
    document.name = "s";
    document.customers.push_back({"c", "", 1, 1000});
    for (std::size_t n = 0; n < back_ends; ++n)
        document.back_ends.push_back(make_back_end("e" + std::to_string(n)));
    document.classes = {{"short", 8'000, 30'000, 25},
                        {"medium", 32'000, 60'000, 25},
                        {"long", 100'000, 300'000, 0},
                        {"huge", 1'000'000, 900'000, 0}};
    return document;
}

struct scheduler_fixture
{
    explicit scheduler_fixture(std::size_t back_ends = 2)
        : document(make_service(back_ends))
    {
        scheduler.set_service(document);
        warm_all();
    }

    /// Reports every back end as warm and advances the clock past the ramp.
    void warm_all()
    {
        for (const auto& it : document.back_ends)
            report(it.name);
        time.advance(20'000);
        scheduler.tick();
    }

    void report(const std::string& name, std::uint32_t running = 0)
    {
        load_report it;
        it.incarnation = 1;
        it.running = running;
        scheduler.on_load_report(name, it);
    }

    permit_query query(std::uint32_t tokens = 1'000)
    {
        permit_query it;
        it.key = {"n1", 1, ++last};
        it.customer = "c";
        it.prompt_tokens = tokens;
        it.length_class = document.class_for(tokens);
        it.deadline = time.now() + 30'000;
        return it;
    }

    /// Sends requests of that length until one isn't granted.
    std::size_t fill(std::uint32_t tokens = 1'000)
    {
        std::size_t n = 0;
        for (; n < 1000; ++n)
        {
            const auto it = scheduler.request(query(tokens));
            if (it.state == permit_state::queued)
                scheduler.cancel(it.key);
            if (it.state != permit_state::granted)
                break;
        }
        return n;
    }

    void release(const permit_key& key, msec first_token = 0,
                 permit_outcome outcome = permit_outcome::completed,
                 const std::string& failed = {})
    {
        scheduler.release(key, {outcome, first_token, 0, failed});
    }

    manual_clock time{1'000'000};
    shard_scheduler::generator random{1};
    service document;
    shard_scheduler scheduler{"s/east/0", time, random};
    std::uint64_t last = 0;
};

struct large_fixture : scheduler_fixture
{
    large_fixture() : scheduler_fixture(4) {}
};

bool is_granted(const permit_decision& it)
{
    return it.state == permit_state::granted;
}

bool is_refused(const permit_decision& it, error_kind kind)
{
    return it.state == permit_state::refused && it.refusal == kind;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(shard_scheduler_suite, scheduler_fixture)

// Guards against full load on cold back ends (P3).
BOOST_AUTO_TEST_CASE(cold_back_ends_get_cold_slots)
{
    scheduler.on_back_end_unreachable("e0");
    scheduler.on_back_end_unreachable("e1");
    report("e0");
    report("e1");
    BOOST_TEST(fill() == 4U);
    time.advance(2'000);
    scheduler.tick();
    BOOST_TEST(fill() == 4U);
}

// Guards against unused capacity of a warm shard, and against queued requests
// that a release doesn't serve.
BOOST_AUTO_TEST_CASE(releases_serve_the_queue)
{
    const auto first = scheduler.request(query());
    BOOST_TEST(fill() == 7U);
    const auto waiting = scheduler.request(query());
    BOOST_TEST((waiting.state == permit_state::queued));
    BOOST_TEST(scheduler.tick().empty());
    const auto nodes = scheduler.queued_by_node();
    BOOST_REQUIRE(nodes.size() == 1U);
    BOOST_TEST(nodes[0].requests == std::vector{waiting.key.request});
    release(first.key);
    const auto decisions = scheduler.tick();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(is_granted(decisions[0]));
    BOOST_TEST((decisions[0].key == waiting.key));
    BOOST_TEST(scheduler.queued() == 0U);
}

// Guards against two slots for one request whose message arrives twice.
BOOST_AUTO_TEST_CASE(repeated_request_gets_the_same_decision)
{
    const auto it = query();
    const auto first = scheduler.request(it);
    const auto second = scheduler.request(it);
    BOOST_TEST(is_granted(second));
    BOOST_TEST(first.shares[0].back_end == second.shares[0].back_end);
    BOOST_TEST(scheduler.running() == 1U);
}

// Guards against slots lost to nodes that never release their permits (P2).
BOOST_AUTO_TEST_CASE(unreleased_permit_ends_after_its_deadline)
{
    fill();
    time.advance(30'000 + 4'999);
    scheduler.tick();
    BOOST_TEST(scheduler.running() == 8U);
    time.advance(1);
    scheduler.tick();
    BOOST_TEST(scheduler.running() == 0U);
    BOOST_TEST(scheduler.expired_permits() == 8U);
    BOOST_TEST(scheduler.find_load("e0")->kv_booked() == 0U);
}

// Guards against queueing a request that can't be served by its deadline.
BOOST_AUTO_TEST_CASE(unservable_request_is_refused_at_once)
{
    std::vector<permit_key> keys(8);
    for (auto& key : keys)
        key = scheduler.request(query()).key;
    time.advance(20'000);
    for (const auto& key : keys)
        release(key);
    BOOST_TEST(fill() == 8U);
    auto it = query();
    it.deadline = time.now() + 2'000;
    const auto decision = scheduler.request(it);
    BOOST_TEST(is_refused(decision, error_kind::deadline_unreachable));
    BOOST_TEST(decision.retry_after > 2'000);
    it.deadline = time.now();
    it.key.request = 5000;
    BOOST_TEST(
        is_refused(scheduler.request(it), error_kind::deadline_unreachable));
    BOOST_TEST(scheduler.refusals()[static_cast<std::size_t>(
                   error_kind::deadline_unreachable)] == 2U);
}

// Guards against a customer above its limit, which counts running and queued
// requests together.
BOOST_AUTO_TEST_CASE(customer_limit_counts_running_and_queued)
{
    document.customers[0].max_in_flight = 9;
    scheduler.set_service(document);
    const auto first = scheduler.request(query());
    for (int n = 0; n < 8; ++n)
        scheduler.request(query());
    BOOST_TEST(scheduler.queued() == 1U);
    BOOST_TEST(
        is_refused(scheduler.request(query()), error_kind::customer_limit));
    release(first.key);
    BOOST_TEST(
        !is_refused(scheduler.request(query()), error_kind::customer_limit));
}

// Guards against a customer that uses its whole limit in each shard, and
// against a per-shard part that stays reduced while the other zones are
// withdrawn.
BOOST_AUTO_TEST_CASE(customer_limit_is_shared_by_the_shards)
{
    document.customers[0].max_in_flight = 3;
    auto other = make_back_end("other");
    other.zone = "west";
    document.back_ends.push_back(other);
    scheduler.set_service(document);
    scheduler.request(query());
    scheduler.request(query());
    BOOST_TEST(
        is_refused(scheduler.request(query()), error_kind::customer_limit));
    fleet withdrawn;
    withdrawn.withdrawn_zones.insert("west");
    scheduler.set_fleet(withdrawn, {});
    BOOST_TEST(
        !is_refused(scheduler.request(query()), error_kind::customer_limit));
}

// Guards against a request that crashes one back end after another.
BOOST_AUTO_TEST_CASE(quarantined_fingerprint_is_refused)
{
    crash_registry crashes;
    scheduler.set_crash_registry(&crashes);
    auto it = query();
    it.fingerprint = 77;
    crashes.add({77, 1, time.now()}, time.now());
    BOOST_TEST(is_granted(scheduler.request(it)));
    crashes.add({77, 2, time.now()}, time.now());
    it.key = query().key;
    BOOST_TEST(
        is_refused(scheduler.request(it), error_kind::request_quarantined));
}

// Guards against a retry on the back end that failed the request, and against
// waiting when every back end is excluded.
BOOST_AUTO_TEST_CASE(excluded_back_ends_are_not_used)
{
    for (int n = 0; n < 4; ++n)
    {
        auto it = query();
        it.excluded = {"e0"};
        const auto decision = scheduler.request(it);
        BOOST_REQUIRE(is_granted(decision));
        BOOST_TEST(decision.shares[0].back_end == "e1");
    }
    auto it = query();
    it.excluded = {"e0", "e1"};
    BOOST_TEST(is_refused(scheduler.request(it), error_kind::no_back_end));
}

// Guards against queued requests that wait for a withdrawn zone (P4).
BOOST_AUTO_TEST_CASE(withdrawal_refuses_the_queue)
{
    fill();
    const auto waiting = scheduler.request(query());
    scheduler.set_fleet({{"east"}, {}}, {});
    const auto decisions = scheduler.tick();
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((decisions[0].key == waiting.key));
    BOOST_TEST(is_refused(decisions[0], error_kind::no_back_end));
    BOOST_TEST(scheduler.running() == 8U);
    scheduler.set_fleet({}, {"vm-e0"});
    BOOST_TEST(scheduler.free_slots(0) == 0U);
}

// Guards against grants before nodes have registered their running permits, and
// against a new owner that doesn't count registered permits.
BOOST_AUTO_TEST_CASE(new_epoch_waits_and_counts_registered_permits)
{
    scheduler.start_epoch(2);
    const auto waiting = scheduler.request(query());
    BOOST_TEST((waiting.state == permit_state::queued));
    for (std::uint64_t n = 1; n <= 7; ++n)
    {
        const permit_key key{"n2", 1, n};
        const std::string name = n <= 4 ? "e0" : "e1";
        scheduler.register_permit(key, {{name, 1'000}});
        scheduler.register_permit(key, {{name, 1'000}});
    }
    time.advance(999);
    BOOST_TEST(scheduler.tick().empty());
    time.advance(1);
    BOOST_TEST(scheduler.tick().size() == 1U);
    BOOST_TEST(fill() == 0U);
    scheduler.drop_node("n2", 2);
    BOOST_TEST(fill() == 7U);
}

// Guards against overload by requests that run without a registered permit.
BOOST_AUTO_TEST_CASE(reported_load_without_permits_counts)
{
    report("e0", 4);
    report("e1", 3);
    BOOST_TEST(fill() == 1U);
    report("e0", 0);
    time.advance(100);
    report("e1", 4);
    BOOST_TEST(fill() == 4U);
}

// Guards against a document change that loses running permits or stops limiting
// a removed back end.
BOOST_AUTO_TEST_CASE(document_change_keeps_permits)
{
    const auto first = scheduler.request(query());
    fill();
    auto changed = document;
    changed.back_ends.erase(changed.back_ends.begin());
    changed.back_ends.push_back(make_back_end("e2", 4, 1));
    scheduler.set_service(changed);
    BOOST_TEST(scheduler.running() == 8U);
    BOOST_TEST(fill() == 1U);
    scheduler.set_service(document);
    BOOST_TEST(scheduler.find_load("e0")->permits() == 4U);
    BOOST_TEST(fill() == 0U);
    release(first.key);
    BOOST_TEST(fill() == 1U);
}

// Guards against a crashed back end that gets full load at once.
BOOST_AUTO_TEST_CASE(crash_makes_the_back_end_cold)
{
    const auto first = scheduler.request(query());
    const auto name = first.shares[0].back_end;
    release(first.key, 0, permit_outcome::crashed, name);
    BOOST_TEST(scheduler.find_load(name)->is_unreachable(time.now()));
    report(name);
    BOOST_TEST(scheduler.find_load(name)->ramp().limit(time.now()) == 2U);
}

// Guards against full load on a back end that became cold without reporting it.
BOOST_AUTO_TEST_CASE(slow_first_tokens_make_the_back_end_cold)
{
    const auto* load = scheduler.find_load("e0");
    for (int n = 0; n < 40; ++n)
    {
        time.advance(1'000);
        release(scheduler.request(query()).key, 200);
    }
    BOOST_TEST(load->ramp().is_warm(time.now()));
    for (int n = 0; n < 2; ++n)
    {
        // Waits until the previous request's prefill has ended.
        time.advance(200);
        auto it = query();
        it.excluded = {"e1"};
        const auto key = scheduler.request(it).key;
        time.advance(1'000);
        release(key, 950);
        BOOST_TEST(load->ramp().limit(time.now()) == 2U);
    }
}

// Guards against plain servers that get no requests or stay cold because they
// have no KV memory and send no reports.
BOOST_AUTO_TEST_CASE(plain_servers_need_no_memory_and_no_reports)
{
    document.kind = service_kind::plain;
    for (auto& it : document.back_ends)
        it.kv_tokens = 0;
    shard_scheduler plain("s/east/0", time, random);
    plain.set_service(document);
    BOOST_TEST(plain.free_slots(0) == 4U);
    time.advance(2'000);
    plain.tick();
    BOOST_TEST(plain.free_slots(0) == 8U);
    BOOST_TEST(is_granted(plain.request(query(0))));
}

// Guards against two owners that together grant more than the limit.
BOOST_AUTO_TEST_CASE(allowances_of_successive_owners_add_up)
{
    for (std::uint32_t limit = 0; limit < 40; ++limit)
    {
        std::uint32_t sum = 0;
        for (std::uint32_t lapsed = 0; lapsed < 8; ++lapsed)
        {
            scheduler.set_allowance(lapsed, false);
            const auto former = scheduler.allowance(limit);
            scheduler.set_allowance(lapsed, true);
            BOOST_TEST(sum + scheduler.allowance(limit) == limit);
            sum += former;
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(segments, large_fixture)

// Guards against a segmented prompt that is granted segment by segment, or
// memory that other prompts use.
BOOST_AUTO_TEST_CASE(large_prompt_gets_all_segments_in_one_step)
{
    auto it = query(250'000);
    it.output_tokens = 1'000;
    const auto decision = scheduler.request(it);
    BOOST_REQUIRE(is_granted(decision));
    BOOST_TEST(decision.shares.size() == 3U);
    std::uint32_t sum = 0;
    for (const auto& share : decision.shares)
    {
        sum += share.tokens;
        BOOST_TEST(share.tokens <= 100'000U);
    }
    BOOST_TEST(sum == 251'000U);
    BOOST_TEST(
        is_refused(scheduler.request(query(450'000)), error_kind::no_back_end));
    const auto second = scheduler.request(query(250'000));
    BOOST_TEST((second.state == permit_state::queued));
    release(decision.key);
    // Waits until the first request's estimated prefill has ended.
    time.advance(25'000);
    scheduler.tick();
    BOOST_TEST(scheduler.queued() == 0U);
}

// Guards against starvation of a large prompt because medium ones take all
// memory as it is released.
BOOST_AUTO_TEST_CASE(queued_large_prompt_reserves_memory)
{
    std::vector<permit_key> keys(12);
    for (auto& key : keys)
        key = scheduler.request(query(30'000)).key;
    auto large = query(190'000);
    large.deadline += 600'000;
    BOOST_TEST((scheduler.request(large).state == permit_state::queued));
    for (std::size_t n = 0; n < 100; ++n)
    {
        time.advance(500);
        const auto i = n % keys.size();
        release(keys[i]);
        for (const auto& it : scheduler.tick())
        {
            if (it.key == large.key)
                return;
        }
        keys[i] = scheduler.request(query(30'000)).key;
    }
    BOOST_TEST(false, "the large prompt was not granted");
}

// Guards against long prompts that occupy all engines.
BOOST_AUTO_TEST_CASE(long_prompts_use_at_most_half_of_the_engines)
{
    std::set<std::string> used;
    for (int n = 0; n < 20; ++n)
    {
        const auto it = scheduler.request(query(60'000));
        if (!is_granted(it))
            break;
        BOOST_TEST(used.insert(it.shares[0].back_end).second);
        time.advance(1'000);
    }
    BOOST_TEST(used.size() >= 1U);
    BOOST_TEST(used.size() <= 2U);
}

// Guards against huge prompts that compete with short ones while a third or
// more of the back ends is withdrawn.
BOOST_AUTO_TEST_CASE(huge_prompts_yield_when_a_third_is_withdrawn)
{
    BOOST_TEST(scheduler.free_slots(3) == 8U);
    scheduler.set_fleet({{}, {"vm-e0", "vm-e1"}}, {});
    BOOST_TEST(scheduler.free_slots(3) == 2U);
    std::vector<permit_key> keys(8);
    for (auto& key : keys)
        key = scheduler.request(query()).key;
    auto large = query(150'000);
    large.deadline += 600'000;
    BOOST_TEST((scheduler.request(large).state == permit_state::queued));
    const auto waiting = scheduler.request(query());
    BOOST_TEST((waiting.state == permit_state::queued));
    for (int n = 0; n < 4; ++n)
        release(keys[static_cast<std::size_t>(n)]);
    const auto decisions = scheduler.tick();
    BOOST_REQUIRE(!decisions.empty());
    BOOST_TEST((decisions[0].key == waiting.key));
}

BOOST_AUTO_TEST_SUITE_END()
