#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time in which a node must stop using an endpoint whose entry is removed.
constexpr msec drain_limit = 2000;

/// Two nodes of one domain, of which the second loses the store for a while: it
/// uses a replica of the store with the same rows and versions.
struct two_nodes : one_gateway
{
    store_standin replica{store.backup()};
    std::unique_ptr<gateway_process> other;

    two_nodes()
    {
        other = std::make_unique<gateway_process>(
            "n2", "east", replica.address(), std::vector{gateway->peer()});
        BOOST_TEST_REQUIRE(other->wait_until_ready());
    }

    bool other_reaches_store() const
    {
        return other->metrics().find("galenapulley_store_reached 1") !=
               std::string::npos;
    }
};

} // namespace

// Guards against requests to a removed endpoint: a node that has just regained
// the store took each missing entry for one that would return, although its
// peers had reached the store all the while.
BOOST_FIXTURE_TEST_CASE(an_entry_removed_after_the_store_is_regained_is_dropped,
                        two_nodes)
{
    replica.set_mode(store_mode::refusing);
    BOOST_TEST_REQUIRE(eventually([this] { return !other_reaches_store(); }));
    pause_for(3000);
    replica.set_mode(store_mode::normal);
    BOOST_TEST_REQUIRE(eventually([this] { return other_reaches_store(); }));
    east.remove_entry();
    replica.remove("servers", "i-east");
    BOOST_TEST(
        eventually([this] { return avoids(*other, east); }, drain_limit));
}

// Guards against dropping endpoints whose entries lapsed in an outage, because
// a peer vouches for the store that has only just regained it, too.
BOOST_FIXTURE_TEST_CASE(endpoints_that_lapsed_in_an_outage_of_all_stay,
                        two_nodes)
{
    pause_for(3000);
    for (auto* const it : {&store, &replica})
        it->set_mode(store_mode::refusing);
    BOOST_TEST_REQUIRE(eventually([this] { return !other_reaches_store(); }));
    pause_for(1000);
    for (auto* const it : {&store, &replica})
    {
        it->remove("servers", "i-east");
        it->remove("servers", "i-west");
        it->set_mode(store_mode::normal);
    }
    BOOST_TEST_REQUIRE(eventually([this] { return other_reaches_store(); }));
    const boot_time_clock time;
    for (const auto end = time.now() + 1500; time.now() < end;)
    {
        for (const auto* const it : {gateway.get(), other.get()})
            BOOST_TEST(it->call(sample_request("GET", "/i/x", "t")).status ==
                       200);
        pause_for(100);
    }
}
