#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "gateway/work_message.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

using namespace galenapulley;

namespace
{

constexpr std::size_t slots = 2;
constexpr msec target_latency = 300;
/// Longer than the shares stay the same.
constexpr msec step = 50;

std::shared_ptr<const routing_table> sample_table()
{
    const route sample_route{.name = "r",
                             .host = "h",
                             .prefix = "/",
                             .kind = request_kind::idempotent,
                             .timeout = 600'000,
                             .target_latency = target_latency,
                             .services = {{.service = "svc"}},
                             .max_attempts = 2};
    return std::make_shared<routing_table>(
        1, std::vector{sample_route},
        std::vector<service_profile>{{.name = "svc"}},
        std::vector<client_account>{{.name = "large"}, {.name = "small"}},
        client_limits{});
}

/// A node with one endpoint of a service without a model.
struct one_node
{
    manual_clock time{100'000};
    event_log log{"n1", "error"};
    dispatcher target;
    std::shared_ptr<const routing_table> table = sample_table();
    std::uint64_t next = 0;
    std::set<std::uint64_t> running{};
    std::size_t refused = 0;
    std::vector<wire::work_update> announced{};

    explicit one_node(bool account_shares)
        : target({.node = "n1",
                  .failure_domain = "east",
                  .account_shares = account_shares},
                 time, log)
    {
        target.set_announce([this](const wire::work_update& it)
                            { announced.push_back(it); });
        target.set_crash_announce([](const crash_report&) {});
        target.set_prompts_announce([](const prompt_reports&) {});
        target.set_routing(table);
        target.set_endpoints({{.id = "e1",
                               .service = "svc",
                               .address = "10.0.0.1:80",
                               .failure_domain = "east",
                               .slots = slots}},
                             true);
    }

    std::uint64_t ask(const std::string& account, int priority = 1)
    {
        const auto id = ++next;
        target.request({.id = id,
                        .attempt = "t",
                        .table = table,
                        .matched_route = table->find("h", "/x"),
                        .service = "svc",
                        .account = account,
                        .priority = priority,
                        .received_at = time.now(),
                        .deadline = time.now() + 600'000,
                        .fingerprint = id},
                       [this, id](const dispatch_result& it)
                       {
                           if (!std::holds_alternative<dispatch_grant>(it))
                           {
                               ++refused;
                               return;
                           }
                           running.insert(id);
                       });
        return id;
    }

    void finish_oldest()
    {
        const auto id = *running.begin();
        running.erase(id);
        target.on_finished(id, {.outcome = attempt_outcome::completed});
    }

    /// Lets the account use as many calls, at this node.
    void use(const std::string& account, int calls)
    {
        for (int n = 0; n < calls; ++n)
        {
            ask(account);
            finish_oldest();
        }
    }

    /// A peer's announcement of calls of the account.
    wire::work_update peer_calls(const std::string& account, int calls,
                                 std::uint64_t first_id)
    {
        wire::work_update out;
        for (int n = 0; n < calls; ++n)
        {
            placed_work work{
                .request = first_id + static_cast<std::uint64_t>(n),
                .node = "n2",
                .account = account_key_of(account),
                .endpoints = {target.endpoints().all().begin()->second.key}};
            write_entry(work, time.now(), *out.add_placed());
            out.add_ended(work.request);
        }
        return out;
    }

    /// Fills the endpoint, then lets a request of the large account and, later,
    /// one of the small account wait. Returns whether the small one is first.
    bool small_goes_first()
    {
        while (running.size() < slots)
            ask("small");
        const auto one = ask("large");
        time.advance(step);
        const auto two = ask("small");
        time.advance(step);
        while (!running.contains(one) && !running.contains(two))
            finish_oldest();
        const bool out = running.contains(two);
        while (target.waiting() > 0)
            finish_oldest();
        return out;
    }
};

} // namespace

// Guards against an account that has used much and still goes first.
BOOST_AUTO_TEST_CASE(requests_over_the_share_go_after_others)
{
    one_node node(true);
    node.use("large", 50);
    BOOST_TEST(node.small_goes_first());
    BOOST_TEST(node.refused == 0U);
}

// Guards against decisions that change where the flag is off.
BOOST_AUTO_TEST_CASE(the_order_is_by_due_time_without_the_flag)
{
    one_node node(false);
    node.use("large", 50);
    BOOST_TEST(!node.small_goes_first());
    // Use is not recorded, which would cost memory.
    BOOST_TEST(node.target.account_reports().empty());
    BOOST_TEST(node.target.limited_accounts() == 0U);
}

BOOST_AUTO_TEST_CASE(a_higher_priority_goes_before_the_share)
{
    one_node node(true);
    node.use("large", 50);
    while (node.running.size() < slots)
        node.ask("small");
    const auto urgent = node.ask("large", 0);
    node.ask("small", 1);
    node.time.advance(step);
    node.finish_oldest();
    BOOST_TEST(node.running.contains(urgent));
}

// Guards against a node that counts only its own placements: an account that
// spreads its requests would never be over its share.
BOOST_AUTO_TEST_CASE(use_of_other_nodes_counts)
{
    one_node node(true);
    BOOST_TEST(!node.small_goes_first());
    node.target.on_update("n2", node.peer_calls("large", 50, 1000));
    BOOST_TEST(node.small_goes_first());
}

// Guards against use that is counted again with each repeated or delayed
// announcement.
BOOST_AUTO_TEST_CASE(repeated_announcements_count_once)
{
    one_node node(true);
    auto update = node.peer_calls("large", 3, 1000);
    update.clear_ended();
    for (int n = 0; n < 20; ++n)
    {
        update.set_complete(n % 2 == 1);
        node.target.on_update("n2", update);
    }
    node.target.on_node_lost("n2");
    const auto reports = node.target.account_reports();
    BOOST_TEST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().account == "large");
    BOOST_TEST(reports.front().use_ms < 301);
}

// Guards against a limit that outlives the node whose use caused it.
BOOST_AUTO_TEST_CASE(use_of_a_lost_node_ages_out)
{
    one_node node(true);
    node.target.on_update("n2", node.peer_calls("large", 50, 1000));
    node.target.on_node_lost("n2");
    BOOST_TEST(node.small_goes_first());
    for (int n = 0; n < 60; ++n)
    {
        node.time.advance(1000);
        node.use("small", 1);
    }
    BOOST_TEST(!node.small_goes_first());
}

// Guards against a node without news of others that limits no account.
BOOST_AUTO_TEST_CASE(own_use_counts_without_announcements)
{
    one_node node(true);
    node.target.on_update("n2", node.peer_calls("small", 20, 1000));
    node.target.on_node_lost("n2");
    node.time.advance(60'000);
    node.use("large", 50);
    BOOST_TEST(node.small_goes_first());
}

// Guards against nodes that announce no accounts, as earlier builds, and that
// would count as one account whose use raises all shares.
BOOST_AUTO_TEST_CASE(work_of_other_nodes_without_an_account_does_not_count)
{
    one_node node(true);
    node.use("large", 50);
    node.target.on_update("n2", node.peer_calls("", 1000, 1000));
    BOOST_TEST(node.small_goes_first());
}

// Guards against a restart of a peer's clock or a peer with another clock: a
// request that has run for long there must not count as new.
BOOST_AUTO_TEST_CASE(listed_work_counts_by_its_age)
{
    one_node node(true);
    auto update = node.peer_calls("large", 1, 1000);
    update.clear_ended();
    update.set_complete(true);
    update.mutable_placed(0)->set_target_ms(target_latency);
    update.mutable_placed(0)->set_due_in_ms(target_latency - 10'000);
    node.target.on_update("n2", update);
    const auto reports = node.target.account_reports();
    BOOST_TEST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().use_ms < 40);
}

BOOST_AUTO_TEST_CASE(placements_are_announced_with_their_account)
{
    one_node node(true);
    node.ask("large");
    BOOST_TEST_REQUIRE(node.announced.size() == 1U);
    BOOST_TEST(node.announced.front().placed(0).account() ==
               account_key_of("large"));
    const auto all = node.target.all_work();
    BOOST_TEST(all.placed(0).account() == account_key_of("large"));
}

BOOST_AUTO_TEST_CASE(reports_name_limits_and_refusals)
{
    one_node node(true);
    node.use("large", 50);
    while (node.running.size() < slots)
        node.ask("small");
    node.ask("large");
    node.time.advance(step);
    node.ask("small");
    BOOST_TEST(node.target.limited_accounts() == 1U);
    for (const auto& it : node.target.account_reports())
    {
        BOOST_TEST(it.service == "svc");
        BOOST_TEST(it.share == 0.5);
        BOOST_TEST(it.waiting == 1U);
        BOOST_TEST(it.limited == (it.account == "large"));
    }
    node.time.advance(400'000);
    node.target.tick();
    node.target.end_account_limits();
    // The last pass has seen the large account over its share no more.
    BOOST_TEST(node.target.limited_accounts() == 0U);
    for (const auto& it : node.target.account_reports())
        BOOST_TEST(it.refused.at("overloaded") == 1U);
}

namespace
{

/// One random step: a request of an account or the end of a request.
void act(one_node& node, std::uint8_t choice)
{
    node.time.advance(choice % 3 * step);
    if (choice % 2 == 0 && !node.running.empty())
        node.finish_oldest();
    else
        node.ask("account" + std::to_string(choice / 2 % 4));
    node.target.tick();
}

} // namespace

// Guards against an endpoint that idles, or a refusal, for the sake of shares.
BOOST_AUTO_TEST_CASE(shares_are_work_conserving)
{
    rc::check(
        [](const std::vector<std::uint8_t>& choices)
        {
            one_node with(true);
            one_node without(false);
            for (const auto it : choices)
            {
                act(with, it);
                act(without, it);
                RC_ASSERT(with.running.size() == without.running.size());
                RC_ASSERT(with.target.waiting() == without.target.waiting());
                RC_ASSERT(with.target.waiting() == 0U ||
                          with.running.size() == slots);
                RC_ASSERT(with.refused == 0U);
            }
        });
}
