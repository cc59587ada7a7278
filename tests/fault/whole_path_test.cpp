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

    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(whole_path, fixture)

// Guards against a truncated, mixed-up or missing response on the path through
// any node, for each length class and both kinds of service.
BOOST_AUTO_TEST_CASE(every_node_serves_every_length)
{
    for (std::size_t node = 0; node < fleet.nodes(); ++node)
        for (const std::size_t tokens : {1000, 20'000, 150'000})
        {
            const auto prompt = make_prompt(tokens, node);
            const auto result = fleet.complete(node, prompt, 8);
            BOOST_TEST(result.status == 200);
            BOOST_TEST(completion_text(result) == expected_text(prompt, 8));
        }
    const auto prompt = make_prompt(1000, 77);
    bool complete = false;
    const auto streamed =
        fleet.start_completion(1, prompt, 20, true).result.get();
    BOOST_TEST(streamed_text(streamed, complete) == expected_text(prompt, 20));
    BOOST_TEST(complete);
}

// Guards against a second run of a non-idempotent call through another node.
BOOST_AUTO_TEST_CASE(adjustment_runs_once_over_all_nodes)
{
    for (std::size_t node = 0; node < fleet.nodes(); ++node)
    {
        const auto result = fleet.log_adjustment(node, "key-1");
        BOOST_TEST(result.status == 200);
    }
    BOOST_TEST(fleet.runs_of("key-1") == 1U);
    const auto other = fleet.log_adjustment(0, "key-1", "{\"gate\":2}");
    BOOST_TEST(error_field(other, "kind") == "key_reused");
    BOOST_TEST(error_field(other, "ran") == "not_run");
}

BOOST_AUTO_TEST_SUITE_END()
