// A caller gets either the complete, correct text or a visible failure.
#include "support/process_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

struct fixture
{
    fixture()
        : fleet({.plains_per_zone = 0,
                 .engine_args = {"--time-scale", "4"},
                 .slots = 16,
                 .cold_slots = 16})
    {
        fleet.install();
        fleet.wait_serving();
    }

    void control_engines(const nlohmann::json& body)
    {
        for (std::size_t n = 0; n < fleet.engines(); ++n)
            fleet.control(fleet.engine_address(n), body);
    }

    /// Whether the response is complete; an incomplete one must have a
    /// correct beginning of the text and an error.
    bool check_response(const http_result& result, const std::string& prompt,
                        std::uint32_t max_tokens, bool stream)
    {
        const auto expected = expected_text(prompt, max_tokens);
        bool complete = result.status == 200;
        std::string text;
        if (stream)
            text = streamed_text(result, complete);
        else if (complete)
            text = completion_text(result);
        if (complete)
            BOOST_TEST((text == expected));
        else
        {
            BOOST_TEST(expected.compare(0, text.size(), text) == 0);
            BOOST_TEST(result.body.find("\"error\"") != std::string::npos);
        }
        return complete;
    }

    /// Number of first tokens that the node has received, from its metrics.
    double first_tokens(std::size_t node)
    {
        const auto text =
            fleet.call("GET", fleet.node_address(node), "/metrics").body;
        const std::string name = "\ngalenapulley_first_token_seconds_count{";
        double sum = 0;
        for (auto at = text.find(name); at != std::string::npos;
             at = text.find(name, at + 1))
            sum += std::stod(text.substr(text.find(' ', at)));
        return sum;
    }

    /// An engine that runs a request, or engines() after the time limit.
    std::size_t busy_engine()
    {
        std::size_t found = fleet.engines();
        process_fleet::wait_until(
            [&]
            {
                for (std::size_t n = 0; n < fleet.engines(); ++n)
                {
                    const auto now = fleet.stats(fleet.engine_address(n));
                    if (now.is_object() && now.value("running", 0) > 0)
                        found = n;
                }
                return found < fleet.engines();
            },
            5000);
        return found;
    }

    process_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(whole_answer, fixture)

// Guards against a truncated stream, or one with a gap, that is forwarded as if
// it were complete, and against a failure that a resumed stream or a retry
// would have avoided.
BOOST_AUTO_TEST_CASE(streams_truncated_or_with_a_gap)
{
    const std::vector<nlohmann::json> faults{
        {{"truncate_next", 0}}, {{"truncate_next", 7}}, {{"skip_index", true}}};
    const nlohmann::json none{{"truncate_next", -1}, {"skip_index", false}};
    std::uint64_t seed = 0;
    for (const auto& fault : faults)
        for (const bool stream : {true, false})
        {
            const auto run = [&](std::size_t node)
            {
                const auto prompt = make_prompt(1500, ++seed);
                auto call = fleet.start_completion(node, prompt, 30, stream);
                return check_response(call.result.get(), prompt, 30, stream);
            };
            for (std::size_t n = 0; n < fleet.engines(); ++n)
            {
                fleet.control(fleet.engine_address(n), fault);
                BOOST_TEST(run(n % fleet.nodes()));
                control_engines(none);
            }
            // With the fault on every engine, only a stream that has already
            // reached the caller in part is resumed; other requests end
            // after attempts at two back ends.
            control_engines(fault);
            const bool whole = run(0);
            const bool resumes = stream && fault != faults.front();
            BOOST_TEST((whole || !resumes));
            control_engines(none);
        }
}

// Guards against a truncated text that looks complete when the engine dies in
// the middle of its response.
BOOST_AUTO_TEST_CASE(engine_killed_in_mid_stream)
{
    for (const bool stream : {true, false})
    {
        const auto prompt = make_prompt(1500, stream ? 51 : 52);
        const auto before = first_tokens(0);
        auto call = fleet.start_completion(0, prompt, 300, stream);
        const auto engine = busy_engine();
        BOOST_TEST_REQUIRE(engine < fleet.engines());
        BOOST_TEST(process_fleet::wait_until(
            [&] { return first_tokens(0) > before; }, 5000));
        fleet.kill_engine(engine);
        const auto result = call.result.get();
        const bool whole = check_response(result, prompt, 300, stream);
        // The second caller, without streaming, has received nothing yet, so
        // its request is retried.
        BOOST_TEST(whole != stream, result.body.substr(0, 500));
    }
}

// Guards against late responses of a frozen engine that reach the caller after
// the response of another engine, or that reach another caller.
BOOST_AUTO_TEST_CASE(late_responses_of_frozen_engine)
{
    std::vector<std::string> prompts;
    std::vector<pending_call> calls;
    for (std::size_t n = 0; n < 12; ++n)
    {
        prompts.push_back(make_prompt(1500, 200 + n));
        calls.push_back(fleet.start_completion(n % fleet.nodes(),
                                               prompts.back(), 200, n % 2 == 0,
                                               {{"x-deadline-ms", "16000"}}));
    }
    const auto engine = busy_engine();
    BOOST_TEST_REQUIRE(engine < fleet.engines());
    fleet.freeze_engine(engine);
    // Meanwhile another engine has responded; new requests follow.
    calls.front().result.wait_for(std::chrono::seconds(11));
    fleet.resume_engine(engine);
    for (std::size_t n = 0; n < 12; ++n)
    {
        const auto prompt = make_prompt(1500, 300 + n);
        check_response(fleet.complete(n % fleet.nodes(), prompt), prompt, 8,
                       false);
        check_response(calls[n].result.get(), prompts[n], 200, n % 2 == 0);
    }
}

// Guards against responses that reach the wrong caller when the descriptor of a
// closed connection is reused.
BOOST_AUTO_TEST_CASE(half_of_many_callers_abort)
{
    constexpr std::size_t rounds = 10;
    constexpr std::size_t per_round = 48;
    std::size_t whole = 0;
    for (std::size_t round = 0; round < rounds; ++round)
    {
        std::vector<std::string> prompts;
        std::vector<pending_call> calls;
        for (std::size_t n = 0; n < per_round; ++n)
        {
            prompts.push_back(make_prompt(1000, 1000 + round * per_round + n));
            calls.push_back(fleet.start_completion(
                n % fleet.nodes(), prompts.back(), 20, n % 4 < 2));
            if (n % 2 == 1)
                fleet.abandon(calls[n - 1]);
        }
        for (std::size_t n = 1; n < per_round; n += 2)
            whole +=
                check_response(calls[n].result.get(), prompts[n], 20, n % 4 < 2)
                    ? 1
                    : 0;
    }
    BOOST_TEST(whole == rounds * per_round / 2);
}

BOOST_AUTO_TEST_SUITE_END()
