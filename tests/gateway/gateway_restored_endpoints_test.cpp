#include "gateway/one_gateway.hpp"

#include "galenapulley/endpoint_registry.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time in which a node must stop using a draining endpoint.
constexpr msec drain_limit = 2000;

/// A gateway whose store is restored from a backup that lacks the latest
/// changes of the endpoints.
struct restored_endpoints : one_gateway
{
    store_backup backup = store.backup();

    /// Whether the gateway avoids the endpoint for as long as entries of ended
    /// endpoints may last.
    bool keeps_avoiding(const endpoint_standin& unused) const
    {
        const boot_time_clock time;
        const auto end =
            time.now() + endpoint_registry::backup_entry_lifetime - 1000;
        while (time.now() < end)
        {
            if (!avoids(*gateway, unused))
                return false;
            pause_for(100);
        }
        return true;
    }

    /// Waits until the gateway has noticed that the store was restored.
    bool notices_restore() const
    {
        return eventually(
            [this] {
                return gateway->log().find("store_restored") !=
                       std::string::npos;
            });
    }
};

} // namespace

// Guards against requests to an endpoint that drains, but is ready in the
// backup.
BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_stays_unused_after_a_restore,
                        restored_endpoints)
{
    east.register_entry("draining");
    BOOST_TEST_REQUIRE(
        eventually([&] { return avoids(*gateway, east); }, drain_limit));
    store.restore(backup);
    BOOST_TEST_REQUIRE(notices_restore());
    BOOST_TEST(keeps_avoiding(east));
}

// Guards against requests to an endpoint that has left, but is in the backup.
BOOST_FIXTURE_TEST_CASE(a_removed_endpoint_stays_unused_after_a_restore,
                        restored_endpoints)
{
    // Removals count once the store has been reachable for a while.
    pause_for(endpoint_registry::lapse_grace);
    east.remove_entry();
    BOOST_TEST_REQUIRE(
        eventually([&] { return avoids(*gateway, east); }, drain_limit));
    store.restore(backup);
    BOOST_TEST_REQUIRE(notices_restore());
    BOOST_TEST(keeps_avoiding(east));
    // By then, entries that the store still has belong to running endpoints.
    BOOST_TEST(eventually([&] { return !avoids(*gateway, east); }, 3000));
}

// Guards against requests to a domain that was withdrawn after the backup,
// until the operator has written that again.
BOOST_FIXTURE_TEST_CASE(a_withdrawn_domain_stays_unused_after_a_restore,
                        restored_endpoints)
{
    store.put("op", "evacuate/east", "{}");
    BOOST_TEST_REQUIRE(
        eventually([&] { return avoids(*gateway, east); }, drain_limit));
    store.restore(backup);
    BOOST_TEST_REQUIRE(notices_restore());
    BOOST_TEST(avoids(*gateway, east));
    store.put("op", "evacuate/east", "{}");
    pause_for(500);
    BOOST_TEST(avoids(*gateway, east));
    store.remove("op", "evacuate/east");
    BOOST_TEST(eventually([&] { return !avoids(*gateway, east); }, 2000));
}

// Guards against endpoints that are dropped since the backup lacks their
// entries, although they are about to register again.
BOOST_FIXTURE_TEST_CASE(endpoints_that_the_backup_lacks_stay_in_use,
                        restored_endpoints)
{
    east.register_entry("draining");
    west.register_entry("draining");
    backup = store.backup();
    const endpoint_standin late(store, "i-late", "svc", "east", {});
    const auto serves = [&]
    {
        return status_of(*gateway, "/i/x") == 200;
    };
    BOOST_TEST_REQUIRE(
        eventually([&] { return serves() && !late.received().empty(); }));
    store.restore(backup);
    BOOST_TEST_REQUIRE(notices_restore());
    const auto before = late.received().size();
    BOOST_TEST(serves());
    BOOST_TEST(late.received().size() == before + 1);
}
