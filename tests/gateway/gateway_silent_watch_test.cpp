#include "gateway/one_gateway.hpp"

#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time within which a confirmed change has to be in force, and within which a
/// draining endpoint must not be used any more.
constexpr msec apply_limit = 2000;
constexpr msec drain_limit = 2000;
/// How long the store loses its responses.
constexpr msec loss_time = 300;
constexpr std::size_t domain_nodes = 3;

/// Three nodes in each of three failure domains.
struct three_domains : one_gateway
{
    std::vector<std::unique_ptr<gateway_process>> others;

    three_domains()
    {
        int n = 1;
        for (const auto* const domain : {"east", "west", "south"})
            for (std::size_t k = 0; k < domain_nodes; ++k)
                if (n++ > 1 || k > 0)
                    others.push_back(std::make_unique<gateway_process>(
                        "n" + std::to_string(n - 1), domain, store.address(),
                        std::vector{gateway->peer()}));
        for (const auto& it : others)
            BOOST_TEST_REQUIRE(it->wait_until_ready());
    }

    bool all_serve(const std::string& target) const
    {
        for (const auto& it : others)
            if (status_of(*it, target) != 200)
                return false;
        return status_of(*gateway, target) == 200;
    }
};

/// Makes a change while the store loses its responses.
template <typename Change>
void change_in_loss(store_standin& store, Change change)
{
    store.set_mode(store_mode::losing);
    change();
    pause_for(loss_time);
    store.set_mode(store_mode::normal);
}

} // namespace

// Guards against a confirmed configuration that isn't in force for 20 s, since
// the response to the watch that had it was lost on a connection that stays
// open.
BOOST_FIXTURE_TEST_CASE(
    a_configuration_is_in_force_in_time_if_watch_responses_are_lost,
    one_gateway)
{
    change_in_loss(
        store, [this]
        { store.put("op", "config", sample_configuration(4, "/new/")); });
    BOOST_TEST(eventually([&] { return status_of(*gateway, "/new/x") == 200; },
                          apply_limit - loss_time));
}

// The same where relay nodes watch the store for their failure domains.
BOOST_FIXTURE_TEST_CASE(
    a_configuration_reaches_all_nodes_in_time_if_watch_responses_are_lost,
    three_domains)
{
    change_in_loss(
        store, [this]
        { store.put("op", "config", sample_configuration(4, "/new/")); });
    BOOST_TEST(eventually([this] { return all_serve("/new/x"); },
                          apply_limit - loss_time));
}

// Guards against requests to a draining endpoint whose entry changed while the
// store lost its responses.
BOOST_FIXTURE_TEST_CASE(
    a_draining_endpoint_gets_nothing_if_watch_responses_are_lost, one_gateway)
{
    change_in_loss(store, [this] { east.register_entry("draining"); });
    BOOST_TEST(eventually([this] { return avoids(*gateway, east); },
                          drain_limit - loss_time));
}

// Guards against a withdrawn failure domain that gets requests for 20 s.
BOOST_FIXTURE_TEST_CASE(
    a_withdrawn_domain_gets_nothing_if_watch_responses_are_lost, one_gateway)
{
    change_in_loss(store, [this] { store.put("op", "evacuate/east", "{}"); });
    BOOST_TEST(eventually([this] { return avoids(*gateway, east); },
                          apply_limit - loss_time));
}

// Guards against watches that wait for a number of the store's former era, as a
// restore left them open. The new era uses the number only much later.
BOOST_FIXTURE_TEST_CASE(
    a_configuration_is_in_force_in_time_if_a_restore_keeps_watches_open,
    one_gateway)
{
    const auto backup = store.backup();
    for (int n = 0; n < 20; ++n)
        store.put("op", "evacuate/none", std::to_string(n));
    pause_for(500);
    store.restore(backup, open_watches::kept);
    store.put("op", "config", sample_configuration(4, "/new/"));
    BOOST_TEST(eventually([&] { return status_of(*gateway, "/new/x") == 200; },
                          apply_limit));
}

// The same for the table of endpoints.
BOOST_FIXTURE_TEST_CASE(
    a_draining_endpoint_gets_nothing_if_a_restore_keeps_watches_open,
    one_gateway)
{
    const auto backup = store.backup();
    for (int n = 0; n < 20; ++n)
        store.put("servers", "i-none", std::to_string(n));
    pause_for(500);
    store.restore(backup, open_watches::kept);
    east.register_entry("draining");
    BOOST_TEST(
        eventually([this] { return avoids(*gateway, east); }, drain_limit));
}

// Guards against a node that relies on relay nodes although the store is silent
// to them. Here these have a store of their own.
BOOST_FIXTURE_TEST_CASE(
    a_node_doesnt_wait_for_relays_to_which_the_store_is_silent, one_gateway)
{
    const gateway_process second("n2", "east", store.address(),
                                 {gateway->peer()});
    store_standin other_store(store.backup());
    gateway_process third("n3", "east", other_store.address(),
                          {gateway->peer()});
    BOOST_TEST_REQUIRE(third.wait_until_ready());
    const auto relies_on_relays = [&]
    {
        // Each change ends the open watches, which a node that relies on relay
        // nodes doesn't renew.
        store.put("op", "evacuate/none", "{}");
        other_store.put("op", "evacuate/none", "{}");
        pause_for(100);
        return other_store.watchers("op") == 0;
    };
    BOOST_TEST_REQUIRE(eventually(relies_on_relays));
    // The other store's versions are above those that relay nodes have sent.
    for (int n = 0; n < 20; ++n)
        other_store.put("other", "key", std::to_string(n));
    store.set_mode(store_mode::losing);
    other_store.put("op", "config", sample_configuration(4, "/new/"));
    BOOST_TEST(eventually([&] { return status_of(third, "/new/x") == 200; },
                          apply_limit));
}

// Guards against a node that waits 2.5 s for the response to a read that was
// lost, after the store has dropped its history.
BOOST_FIXTURE_TEST_CASE(a_configuration_is_in_force_in_time_if_a_read_is_lost,
                        one_gateway)
{
    store.lose_next_read("op");
    store.drop_history();
    store.put("op", "config", sample_configuration(4, "/new/"));
    BOOST_TEST(eventually([&] { return status_of(*gateway, "/new/x") == 200; },
                          apply_limit));
}
