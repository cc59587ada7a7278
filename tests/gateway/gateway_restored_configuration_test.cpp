#include "gateway/one_gateway.hpp"

#include <csignal>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time within which a confirmed change has to be in force, counted from the
/// start of a node that is ready.
constexpr msec apply_limit = 2000;

} // namespace

// Guards against a node that starts after the store was restored from a backup
// and puts the backup's older configuration in force, although its peers know
// the one that was lost.
BOOST_FIXTURE_TEST_CASE(
    a_node_started_after_a_restore_has_the_lost_configuration, one_gateway)
{
    const auto backup = store.backup();
    store.put("op", "config", sample_configuration(3, "/lost/"));
    BOOST_TEST_REQUIRE(
        eventually([&] { return status_of(*gateway, "/lost/x") == 200; }));
    store.restore(backup);
    gateway_process other("n2", "west", store.address(), {gateway->peer()});
    BOOST_TEST_REQUIRE(other.wait_until_ready());
    BOOST_TEST(eventually([&] { return status_of(other, "/lost/x") == 200; },
                          apply_limit));
    BOOST_TEST(status_of(*gateway, "/lost/x") == 200);

    // A node passes it on, too.
    gateway->process().signal(SIGKILL);
    gateway_process third("n3", "west", store.address(), {other.peer()});
    BOOST_TEST_REQUIRE(third.wait_until_ready());
    BOOST_TEST(eventually([&] { return status_of(third, "/lost/x") == 200; },
                          apply_limit));

    store.put("op", "config", sample_configuration(5, "/new/"));
    for (const auto* const it : {&other, &third})
    {
        BOOST_TEST(eventually([&] { return status_of(*it, "/new/x") == 200; },
                              apply_limit));
        BOOST_TEST(status_of(*it, "/lost/x") == 404);
    }
}
