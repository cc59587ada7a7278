#include "galenapulley/prefixes/prefix_placement.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace galenapulley;

namespace
{

engine_profile engine()
{
    return {.slots = 16,
            .memory_tokens = 405'000,
            .step_ms = 1.31,
            .decode_ms_per_request = 0.000917,
            .context_ms_per_1k = 0.00213,
            .prefill_tokens_per_ms = 154,
            .attention_ms_per_million_pairs = 0.162,
            .chunk_tokens = 2048,
            .steps_per_pass = 34};
}

placement_request medium_prompt()
{
    return {.prompt_tokens = 45'000,
            .output_tokens = 400,
            .first_token_target_ms = 1500,
            .token_gap_ms = 500,
            .deadline_ms = 10'000,
            .value = 6,
            .max_segments = 16};
}

placement_candidate with_backlog(double ms)
{
    placement_candidate out{.slots = 16};
    out.load.backlog_ms = ms;
    out.load.running = ms > 0 ? 1 : 0;
    return out;
}

double random_number(int low, int high)
{
    return *rc::gen::inRange(low, high);
}

placement_request random_request()
{
    placement_request out = medium_prompt();
    out.prompt_tokens = random_number(100, 600'000);
    out.first_token_target_ms = random_number(0, 8000);
    out.token_gap_ms = random_number(0, 1000);
    out.waited_ms = random_number(0, 3000);
    out.value = random_number(1, 100) / 4;
    out.max_segments = *rc::gen::element<std::size_t>(1, 16);
    out.may_distribute_kv = *rc::gen::arbitrary<bool>();
    return out;
}

placement_candidate random_candidate()
{
    placement_candidate out{.slots = 16};
    out.load.running = *rc::gen::inRange<std::uint32_t>(0, 18);
    out.load.backlog_ms = random_number(0, 3000);
    out.load.context_tokens = random_number(0, 300'000);
    out.load.memory_tokens = random_number(0, 420'000);
    out.load.decoding_requests.assign(
        out.load.running,
        {.token_gap_target = *rc::gen::inRange(100, 1000), .value = 1});
    out.load.pending_prefills = {{.value = 3,
                                  .finish_ms = out.load.backlog_ms,
                                  .due_in_ms = random_number(-500, 4000),
                                  .first_token_target_ms = 4000}};
    out.same_domain = *rc::gen::arbitrary<bool>();
    out.may_be_primary = *rc::gen::inRange(0, 8) > 0;
    out.jitter = random_number(0, 1000) / 1000;
    return out;
}

std::vector<placement_candidate> random_fleet()
{
    std::vector<placement_candidate> out(*rc::gen::inRange<std::size_t>(0, 10));
    for (auto& it : out)
        it = random_candidate();
    return out;
}

} // namespace

// Guards against an endpoint that holds most of the prompt and isn't used.
BOOST_AUTO_TEST_CASE(the_endpoint_that_holds_the_prefix_is_chosen)
{
    std::vector<placement_candidate> fleet(4, with_backlog(0));
    const auto before = place_prompt(engine(), medium_prompt(), fleet);
    fleet[2].retained_tokens = 40'000;
    fleet[2].jitter = 1;
    const auto choice =
        place_prompt_by_prefix(engine(), medium_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen == std::vector<std::size_t>{2},
               boost::test_tools::per_element());
    BOOST_TEST(choice->retained_tokens == 40'000);
    BOOST_TEST(choice->first_token_ms < before->first_token_ms);
    // The part of the prompt that is prefilled attends to all of it.
    BOOST_TEST(choice->segment_ms > engine().prefill_ms(5000));
    BOOST_TEST(choice->segment_ms < engine().prefill_ms(45'000) / 4);
}

// Guards against requests that queue for a busy endpoint: its prefix saves
// about 380 ms of prefill at one endpoint, less at several.
BOOST_AUTO_TEST_CASE(a_busy_holder_is_passed_over)
{
    auto request = medium_prompt();
    request.max_segments = 1;
    std::vector<placement_candidate> fleet(3, with_backlog(0));
    fleet[1].retained_tokens = 40'000;
    const double saved = engine().prefill_ms(40'000);
    for (const double wait : {0.5 * saved, 1.5 * saved})
    {
        fleet[1].load.backlog_ms = wait;
        const auto choice = place_prompt_by_prefix(engine(), request, fleet);
        BOOST_TEST_REQUIRE(choice.has_value());
        BOOST_TEST((choice->chosen.front() == 1) == (wait < saved));
        BOOST_TEST((choice->retained_tokens > 0) == (wait < saved));
    }
}

// A holder without a free slot, or without room for the prompt, can't take it.
BOOST_AUTO_TEST_CASE(a_full_holder_is_passed_over)
{
    std::vector<placement_candidate> fleet(2, with_backlog(0));
    fleet[0].retained_tokens = 45'000;
    auto full = fleet;
    full[0].load.running = 16;
    auto no_memory = fleet;
    no_memory[0].load.memory_tokens = 400'000;
    auto not_primary = fleet;
    not_primary[0].may_be_primary = false;
    for (const auto& it : {full, no_memory, not_primary})
    {
        const auto choice =
            place_prompt_by_prefix(engine(), medium_prompt(), it);
        BOOST_TEST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->chosen.front() == 1U);
    }
}

// Guards against a saving that other requests pay for: decoding requests that
// wait for the rest of the prefill.
BOOST_AUTO_TEST_CASE(a_holder_whose_requests_would_lose_more_is_passed_over)
{
    auto request = medium_prompt();
    request.max_segments = 1;
    std::vector<placement_candidate> fleet(2, with_backlog(0));
    fleet[0].load.running = 12;
    fleet[0].load.decoding_requests.assign(
        12, {.token_gap_target = 60, .value = 20});
    fleet[0].retained_tokens = 20'000;
    const auto choice = place_prompt_by_prefix(engine(), request, fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.front() == 1U);
}

// Guards against any change of the decisions while nothing is retained.
RC_BOOST_PROP(without_prefixes_the_choice_is_that_of_place_prompt, ())
{
    const auto request = random_request();
    const auto fleet = random_fleet();
    const auto expected = place_prompt(engine(), request, fleet);
    const auto choice = place_prompt_by_prefix(engine(), request, fleet);
    RC_ASSERT(choice.has_value() == expected.has_value());
    if (!choice)
        return;
    RC_ASSERT(choice->chosen == expected->chosen);
    RC_ASSERT(choice->reserved_tokens == expected->reserved_tokens);
    RC_ASSERT(choice->segment_ms == expected->segment_ms);
    RC_ASSERT(choice->first_token_ms == expected->first_token_ms);
    RC_ASSERT(choice->cost == expected->cost);
    RC_ASSERT(choice->cost_to_others == expected->cost_to_others);
    RC_ASSERT(choice->retained_tokens == 0.0);
}

// Guards against a retained prefix that makes any request later, or that leaves
// one without a placement.
RC_BOOST_PROP(a_prefix_never_delays_the_first_token, ())
{
    const auto request = random_request();
    auto fleet = random_fleet();
    const auto before = place_prompt(engine(), request, fleet);
    for (auto& it : fleet)
        it.retained_tokens = random_number(0, 700'000);
    const auto choice = place_prompt_by_prefix(engine(), request, fleet);
    RC_ASSERT(choice.has_value() || !before.has_value());
    if (!choice)
        return;
    RC_ASSERT(choice->retained_tokens <= request.prompt_tokens);
    RC_ASSERT(choice->segment_ms >= 0.0);
    if (before)
        RC_ASSERT(choice->first_token_ms <= before->first_token_ms);
    if (choice->retained_tokens > 0)
        RC_ASSERT(fleet[choice->chosen.front()].retained_tokens >=
                  choice->retained_tokens);
}
