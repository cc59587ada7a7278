#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time within which a confirmed change has to be in force.
constexpr msec apply_limit = 2000;

/// A store that has been restored from a backup of version 2 of the
/// configuration, although gateways have put version 3 in force.
struct restored_store : one_gateway
{
    restored_store()
    {
        store.put("op", "config", sample_configuration(2));
        const auto backup = store.backup();
        // Versions that the restored store gives out again.
        for (int n = 0; n < 5; ++n)
            store.put("other", "key", std::to_string(n));
        store.put("op", "config", sample_configuration(3, "/lost/"));
        BOOST_TEST_REQUIRE(
            eventually([&] { return status_of(*gateway, "/lost/x") == 200; }));
        store.restore(backup);
    }
};

} // namespace

// Guards against a change that isn't put in force since the restored store has
// a lower version than before.
BOOST_FIXTURE_TEST_CASE(a_change_after_a_restore_is_in_force_soon,
                        restored_store)
{
    store.put("op", "config", sample_configuration(4, "/new/"));
    BOOST_TEST(eventually([&] { return status_of(*gateway, "/new/x") == 200; },
                          apply_limit));
}

// Guards against changes that are skipped since the restored store gave them
// versions that the gateway had seen before.
BOOST_FIXTURE_TEST_CASE(a_change_with_a_version_seen_before_isnt_skipped,
                        restored_store)
{
    store.put("op", "evacuate/east", "{}");
    for (int n = 0; n < 10; ++n)
        store.put("other", "key", std::to_string(n));
    pause_for(apply_limit);
    const auto before = east.received().size();
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(status_of(*gateway, "/i/x") == 200);
    BOOST_TEST(east.received().size() == before);
}

// Guards against a gateway without the store that refuses the newer rows of its
// peers since their version is lower.
BOOST_FIXTURE_TEST_CASE(a_node_without_the_store_learns_of_a_restore,
                        one_gateway)
{
    store_standin dead;
    dead.set_mode(store_mode::refusing);
    gateway_process other("n2", "west", dead.address(), {gateway->peer()});
    BOOST_TEST_REQUIRE(other.wait_until_ready());
    const auto backup = store.backup();
    for (int n = 0; n < 5; ++n)
        store.put("op", "evacuate/none", std::to_string(n));
    store.put("op", "config", sample_configuration(3, "/lost/"));
    BOOST_TEST_REQUIRE(
        eventually([&] { return status_of(other, "/lost/x") == 200; }));
    store.restore(backup);
    store.put("op", "config", sample_configuration(4, "/new/"));
    // Gossip and a pull come on top of the time of the first node.
    BOOST_TEST(eventually([&] { return status_of(other, "/new/x") == 200; },
                          2 * apply_limit));
}

// Guards against a node that new nodes can't find, since the restored store has
// lost its address.
BOOST_AUTO_TEST_CASE(a_node_registers_its_address_again)
{
    store_standin store;
    store.put("op", "config", sample_configuration(1));
    const auto backup = store.backup();
    const gateway_process gateway("n1", "east", store.address(), {});
    const auto is_registered = [&]
    {
        return store.contains("nodes", "n1");
    };
    BOOST_TEST_REQUIRE(eventually(is_registered));
    store.restore(backup);
    BOOST_TEST(!is_registered());
    BOOST_TEST(eventually(is_registered));
}
