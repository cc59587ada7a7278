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
        : fleet({.plains_per_zone = 0,
                 .engine_args = {"--time-scale", "20", "--warm-after-s", "1"},
                 .platform_args = {"--vm-lag-ms", "1000"},
                 .placement = "round_robin"})
    {
        fleet.install();
    }

    nlohmann::json engine_since(std::size_t engine, msec since)
    {
        return nlohmann::json::parse(
            fleet
                .call("GET", fleet.engine_address(engine),
                      "/stats?since_ms=" + std::to_string(since))
                .body);
    }

    /// Makes the machine of engine 0 leave by `leave`, and checks that the
    /// engine gets no new request after `bound`.
    template <typename Leave>
    void check_leaving(Leave leave, msec bound)
    {
        request_load load(fleet, {.nodes = {0, 1, 2}});
        BOOST_REQUIRE(load.wait_completed(30));
        std::vector<pending_call> running;
        for (std::size_t n = 0; n < 6; ++n)
            running.push_back(
                fleet.start_completion(0, make_prompt(1000, 9000 + n), 3000));
        leave();
        const auto left_at = time.now();
        load.run_until(left_at + bound + 2000);
        const auto stats = engine_since(0, left_at + bound);
        BOOST_TEST_MESSAGE("last new work "
                           << stats.at("last_start_ms").get<msec>() - left_at
                           << " ms after the machine began to leave");
        BOOST_TEST(stats.at("seen_since").get<int>() == 0);
        BOOST_TEST(engine_since(3, left_at + bound).at("seen_since") > 0);
        for (std::size_t n = 0; n < running.size(); ++n)
            BOOST_TEST(completion_text(running[n].result.get()) ==
                       expected_text(make_prompt(1000, 9000 + n), 3000));
        BOOST_TEST(describe_failures(load.stop()) == "");
    }

    wall_clock time;
    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(machine_leaving, fixture)

// Guards against new work on a machine that operators withdrew, and against the
// interruption of requests that run there.
BOOST_AUTO_TEST_CASE(withdrawn_machine_gets_no_new_work)
{
    check_leaving(
        [&]
        {
            const auto response =
                fleet.post_admin(1, "machines/vm-engine-0/withdraw");
            BOOST_REQUIRE_EQUAL(change_state(response), "accepted");
        },
        5000);
}

// Guards against new work on a machine that the platform is about to remove.
// The VM list lags by 1 s and is read every 5 s.
BOOST_AUTO_TEST_CASE(machine_leaving_in_vm_list_gets_no_new_work)
{
    check_leaving(
        [&]
        {
            fleet.control(fleet.platform_address(),
                          {{"vms",
                            {{{"machine", "vm-engine-0"}, {"state", "leaving"}},
                             {{"machine", "vm-engine-3"}, {"state", "live"}},
                             {{"machine", "vm-node-0"}, {"state", "live"}}}}});
        },
        7500);
}

BOOST_AUTO_TEST_SUITE_END()
