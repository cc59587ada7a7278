#include "support/process_fleet.hpp"

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

    boot_time_clock time;
    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(isolation, fixture)

// Guards against a node that goes on placing requests while it can learn of no
// change, because neither the store nor a peer responds, and against one that
// keeps refusing after its connections are restored.
BOOST_AUTO_TEST_CASE(isolated_node_refuses)
{
    set_outage("silent", 60'000);
    fleet.freeze_node(1);
    fleet.freeze_node(2);
    const auto outage_at = time.now();
    std::size_t sent = 0;
    http_result last;
    const auto is_isolated = [&]
    {
        const auto prompt = make_prompt(1000, sent++);
        last = fleet
                   .start_completion(0, prompt, 8, false,
                                     {{"x-deadline-ms", "2000"}})
                   .result.get();
        return error_field(last, "kind") == "isolated";
    };
    BOOST_TEST(process_fleet::wait_until(is_isolated, 9000));
    const auto refused_at = time.now();
    BOOST_TEST_MESSAGE("refuses after " << refused_at - outage_at << " ms");
    BOOST_TEST(refused_at - outage_at <= 7000);
    BOOST_TEST(error_field(last, "ran") == "not_run");
    // It must stay isolated: after it drops the silent peers from its
    // membership, it must not take itself for the whole fleet.
    while (time.now() < refused_at + 4000)
        BOOST_TEST_REQUIRE(is_isolated());

    set_outage("silent", 0);
    const auto restored_at = time.now();
    BOOST_TEST(process_fleet::wait_until(
        [&]
        {
            const auto prompt = make_prompt(1000, sent++);
            return fleet.complete(0, prompt).status == 200;
        },
        8000));
    BOOST_TEST_MESSAGE("serves again after " << time.now() - restored_at
                                             << " ms");
    fleet.resume_node(1);
    fleet.resume_node(2);
}

BOOST_AUTO_TEST_SUITE_END()
