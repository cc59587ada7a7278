#include "support/process_fleet.hpp"
#include "support/request_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

struct fixture
{
    fixture()
        : fleet({.engine_args = {"--time-scale", "20", "--warm-after-s", "1"}})
    {
        fleet.install();
    }

    void set_outage(const char* kind, msec duration)
    {
        fleet.control(fleet.platform_address(),
                      {{"outage_ms", duration}, {"outage", kind}});
    }

    /// Checks that during an outage model requests are served and
    /// non-idempotent calls are refused.
    void check_outage(const char* kind, msec outage)
    {
        const std::string key = std::string("in-outage-") + kind;
        set_outage(kind, outage);
        const auto began_at = time.now();
        request_load load(fleet, {.nodes = {0, 1, 2}});
        for (std::size_t node = 0; node < 3; ++node)
        {
            const auto refused = fleet.log_adjustment(node, key);
            BOOST_TEST(error_field(refused, "kind") == "store_unavailable");
            BOOST_TEST(error_field(refused, "ran") == "not_run");
        }
        load.run_until(began_at + outage);
        BOOST_TEST(fleet.runs_of(key) == 0U);
        BOOST_TEST(process_fleet::wait_until(
            [&] { return fleet.log_adjustment(1, key).status == 200; },
            10'000));
        BOOST_TEST_MESSAGE("calls are taken again "
                           << time.now() - began_at - outage
                           << " ms after the outage");
        BOOST_TEST(fleet.runs_of(key) == 1U);
        BOOST_TEST(describe_failures(load.stop()) == "");
        BOOST_TEST(load.completed() > 100U);
    }

    wall_clock time;
    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_outage, fixture)

// Guards against refused model requests, and against actions that run without a
// record, while the store does not respond.
BOOST_AUTO_TEST_CASE(silent_store_stops_no_model_request)
{
    check_outage("silent", 20'000);
}

// The same, while the store rejects each call immediately.
BOOST_AUTO_TEST_CASE(failing_store_stops_no_model_request)
{
    check_outage("503", 8000);
}

BOOST_AUTO_TEST_SUITE_END()
