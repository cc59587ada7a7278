#include "galenapulley/relay_role.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

std::vector<ranked_node> nodes(int n, std::uint32_t capacity = 100)
{
    std::vector<ranked_node> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int k = 0; k < n; ++k)
        out.push_back({.node = "n" + std::to_string(k), .capacity = capacity});
    return out;
}

void erase_node(std::vector<ranked_node>& from, const std::string& node)
{
    std::erase_if(from,
                  [&node](const ranked_node& it) { return it.node == node; });
}

} // namespace

// Guards against load on the store by a large cluster in which every node
// watches the store, so that each change costs one request per node.
BOOST_AUTO_TEST_CASE(only_relay_nodes_watch_the_store)
{
    const auto all = nodes(40);
    std::size_t relays = 0;
    for (const auto& it : all)
    {
        auto others = all;
        erase_node(others, it.node);
        relay_role role(it);
        role.set_domain_nodes(others);
        role.on_heartbeat("n7", 1000);
        relays += role.is_relay();
        BOOST_TEST(role.must_watch(1000) == role.is_relay());
    }
    BOOST_TEST(relays == relay_role::relays_per_domain);
}

// Guards against a node that uses an outdated configuration because the relay
// nodes of its domain are paused or can't reach the store.
BOOST_AUTO_TEST_CASE(a_node_without_relay_heartbeats_watches_the_store)
{
    const auto all = nodes(40);
    for (const auto& it : all)
    {
        relay_role role(it);
        BOOST_TEST(role.must_watch(0));
        auto others = all;
        erase_node(others, it.node);
        role.set_domain_nodes(others);
        BOOST_TEST(role.must_watch(0));
        role.on_heartbeat(others.front().node, 5000);
        BOOST_TEST(role.must_watch(5000 + relay_role::heartbeat_timeout));
    }
}

// Guards against relying on a relay node that sends heartbeats although the
// store is silent to it.
BOOST_AUTO_TEST_CASE(a_relay_node_without_the_stores_confirmation_doesnt_count)
{
    relay_role role({.node = "n20", .capacity = 100});
    role.set_domain_nodes(nodes(20));
    constexpr msec confirmed_at = 5000;
    constexpr msec later = confirmed_at + relay_role::heartbeat_timeout;
    role.on_heartbeat("n0", confirmed_at);
    BOOST_TEST(!role.must_watch(later - 1));
    role.on_heartbeat("n0", confirmed_at);
    BOOST_TEST(role.must_watch(later));
    // Another relay node is followed, also if an older heartbeat comes late.
    role.on_heartbeat("n1", later);
    role.on_heartbeat("n1", confirmed_at);
    BOOST_TEST(!role.must_watch(later));
}

// Guards against relying on the heartbeat of a node that is no longer a member.
BOOST_AUTO_TEST_CASE(heartbeats_of_former_members_are_ignored)
{
    relay_role role({.node = "n20", .capacity = 100});
    auto others = nodes(20);
    role.set_domain_nodes(others);
    role.on_heartbeat("n3", 1000);
    BOOST_TEST(role.must_watch(1100) == role.is_relay());
    erase_node(others, "n3");
    role.set_domain_nodes(others);
    BOOST_TEST(role.must_watch(1100));
}

// Guards against rows for a whole failure domain that fill the network link of
// a weak node, while strong nodes have room.
BOOST_AUTO_TEST_CASE(the_strongest_nodes_relay)
{
    auto others = nodes(40);
    others[11].capacity = 500;
    relay_role strong({.node = "s", .capacity = 500});
    strong.set_domain_nodes(others);
    BOOST_TEST(strong.is_relay());
    others[12].capacity = 500;
    relay_role weak({.node = "w", .capacity = 100});
    weak.set_domain_nodes(others);
    BOOST_TEST(!weak.is_relay());
}
