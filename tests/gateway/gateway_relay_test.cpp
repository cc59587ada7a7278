#include "platform/gateway_fixture.hpp"

#include "galenapulley/relay_role.hpp"
#include "gateway/one_gateway.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::size_t node_count = 5;
/// Time in which a node must stop using a draining endpoint.
constexpr msec drain_limit = 2000;

struct one_domain : one_gateway
{
    std::vector<std::unique_ptr<gateway_process>> others;

    one_domain()
    {
        for (std::size_t n = 2; n <= node_count; ++n)
            others.push_back(std::make_unique<gateway_process>(
                "n" + std::to_string(n), "east", store.address(),
                std::vector{gateway->peer()}));
        for (const auto& it : others)
            BOOST_TEST_REQUIRE(it->wait_until_ready());
    }

    /// Waits until only the relay nodes watch the store. Each change of a row
    /// ends the open watches, which other nodes then don't renew.
    bool is_relayed()
    {
        return eventually(
            [this]
            {
                west.register_entry();
                pause_for(100);
                return store.watchers("servers") ==
                       relay_role::relays_per_domain;
            });
    }

    static bool only_uses(const gateway_process& node,
                          const endpoint_standin& used,
                          const endpoint_standin& unused)
    {
        const auto before = unused.received().size();
        for (int n = 0; n < 4; ++n)
            if (node.call(sample_request("GET", "/i/x", "t")).status != 200)
                return false;
        return unused.received().size() == before && !used.received().empty();
    }
};

} // namespace

// With many nodes, each change of an endpoint must not cost a request of every
// node to the store: only the relay nodes of a failure domain watch it.
BOOST_FIXTURE_TEST_CASE(
    only_relay_nodes_watch_the_store_and_all_know_the_endpoints, one_domain)
{
    BOOST_TEST_REQUIRE(is_relayed());
    east.register_entry("draining");
    pause_for(200);
    BOOST_TEST(only_uses(*gateway, west, east));
    for (const auto& it : others)
        BOOST_TEST(only_uses(*it, west, east));
    BOOST_TEST(store.watchers("servers") == relay_role::relays_per_domain);
}

// Guards against a node that keeps sending requests to a draining endpoint
// because its relay nodes hang.
BOOST_FIXTURE_TEST_CASE(a_node_watches_the_store_when_all_relays_are_silent,
                        one_domain)
{
    BOOST_TEST_REQUIRE(is_relayed());
    for (const auto& it : others)
        it->process().signal(SIGSTOP);
    east.register_entry("draining");
    BOOST_TEST(eventually([this] { return only_uses(*gateway, west, east); },
                          drain_limit));
    for (const auto& it : others)
        it->process().signal(SIGCONT);
}

// Guards against nodes that keep a removed endpoint for ever. If the store
// drops its history together with the removal, the relay nodes notice it only
// by reading the table, and have no change to relay. Seen on tuulcount-grown
// scale-1 (platform_compact, drain).
BOOST_FIXTURE_TEST_CASE(a_removal_without_history_reaches_all_nodes, one_domain)
{
    BOOST_TEST_REQUIRE(is_relayed());
    store.remove_with_history("servers", east.id());
    for (const auto& it : others)
        BOOST_TEST(eventually([&] { return only_uses(*it, west, east); },
                              drain_limit));
    BOOST_TEST(only_uses(*gateway, west, east));
}
