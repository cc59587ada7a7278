#include "galenapulley/prompt_placement.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

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

placement_request short_prompt()
{
    return {.prompt_tokens = 5000,
            .output_tokens = 1300,
            .first_token_target_ms = 300,
            .token_gap_ms = 250,
            .deadline_ms = 10'000,
            .value = 1,
            .max_segments = 1};
}

placement_request long_prompt()
{
    return {.prompt_tokens = 182'000,
            .output_tokens = 650,
            .first_token_target_ms = 4000,
            .token_gap_ms = 1000,
            .deadline_ms = 15'000,
            .value = 24,
            .max_segments = 16};
}

placement_candidate idle()
{
    return {.slots = 16};
}

placement_candidate with_decoding(std::uint32_t n)
{
    placement_candidate out{.slots = 16};
    out.load.running = n;
    out.load.context_tokens = 5000.0 * n;
    out.load.memory_tokens = 6000.0 * n;
    out.load.decoding_requests.assign(n, {.token_gap_target = 250, .value = 1});
    return out;
}

placement_candidate with_backlog(double ms)
{
    placement_candidate out{.slots = 16};
    out.load.backlog_ms = ms;
    out.load.pending_prefills = {{.value = 24,
                                  .finish_ms = ms,
                                  .due_in_ms = 4000 - ms,
                                  .first_token_target_ms = 4000}};
    out.load.running = 1;
    return out;
}

} // namespace

// Guards against placing a long prompt on one engine: its prefill of 182,000
// tokens takes about 4 s there, which is the whole time to first token allowed.
BOOST_AUTO_TEST_CASE(a_long_prefill_is_split_over_engines_without_decoding)
{
    std::vector<placement_candidate> fleet(14, idle());
    fleet[0] = with_decoding(14);
    fleet[1] = with_decoding(14);
    const auto choice = place_prompt(engine(), long_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.size() >= 2U);
    BOOST_TEST(choice->first_token_ms < 0.6 * 4000);
    for (const auto n : choice->chosen)
        BOOST_TEST(n >= 2U);
}

// Guards against queueing a short prompt behind seconds of prefill.
BOOST_AUTO_TEST_CASE(a_short_prompt_avoids_engines_that_prefill)
{
    const std::vector<placement_candidate> fleet{
        with_backlog(900), with_backlog(500), with_decoding(10)};
    const auto choice = place_prompt(engine(), short_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen == std::vector<std::size_t>{2},
               boost::test_tools::per_element());
}

// Guards against spreading few short prompts evenly, which leaves no idle
// engine for a long prefill.
BOOST_AUTO_TEST_CASE(short_prompts_share_engines)
{
    const std::vector<placement_candidate> fleet{idle(), with_decoding(5),
                                                 idle()};
    const auto choice = place_prompt(engine(), short_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.front() == 1U);
}

// Guards against several nodes choosing an engine's last slot at the same time,
// unaware of each other: all but one request would wait there for seconds,
// until another request ends.
BOOST_AUTO_TEST_CASE(the_last_slots_are_left_free_while_others_are)
{
    const std::vector<placement_candidate> fleet{
        with_decoding(15), with_decoding(10), with_decoding(14)};
    const auto choice = place_prompt(engine(), short_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.front() == 1U);
    const std::vector<placement_candidate> nearly_full{with_decoding(15)};
    BOOST_TEST(place_prompt(engine(), short_prompt(), nearly_full).has_value());
}

// Guards against several nodes that choose the same of several equal engines.
BOOST_AUTO_TEST_CASE(jitter_decides_between_equal_engines)
{
    std::vector<placement_candidate> fleet(3, with_decoding(5));
    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        for (auto& it : fleet)
            it.jitter = 0.9;
        fleet[n].jitter = 0.1;
        const auto choice = place_prompt(engine(), short_prompt(), fleet);
        BOOST_TEST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->chosen.front() == n);
    }
    fleet[1] = with_decoding(15);
    fleet[1].jitter = 0;
    const auto choice = place_prompt(engine(), short_prompt(), fleet);
    BOOST_TEST(choice->chosen.front() != 1U);
}

// Guards against placing long prefills on engines full of decoding requests.
// Each would stall the decoding for seconds: the clients disconnect, and the
// long prompts' own responses are lost as well.
BOOST_AUTO_TEST_CASE(a_long_prefill_waits_while_others_would_lose_more)
{
    std::vector<placement_candidate> fleet(4, with_decoding(14));
    BOOST_TEST(!place_prompt(engine(), long_prompt(), fleet).has_value());
    BOOST_TEST(place_prompt(engine(), short_prompt(), fleet).has_value());
    fleet[2] = with_decoding(0);
    const auto choice = place_prompt(engine(), long_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.front() == 2U);
}

// Guards against a prompt that waits forever because it will be late in any
// case, although its prefill delays no other request.
BOOST_AUTO_TEST_CASE(a_late_prefill_that_delays_no_request_does_not_wait)
{
    auto request = long_prompt();
    request.prompt_tokens = 400'000;
    request.waited_ms = 2000;
    const std::vector<placement_candidate> fleet(2, idle());
    BOOST_TEST(place_prompt(engine(), request, fleet).has_value());
}

// Guards against a prefill that ends after its client has disconnected: it
// would occupy the only idle engine for nothing.
BOOST_AUTO_TEST_CASE(
    a_prefill_that_ends_after_the_client_disconnects_is_not_placed)
{
    auto request = long_prompt();
    request.prompt_tokens = 396'000;
    std::vector<placement_candidate> fleet{idle()};
    BOOST_TEST(!place_prompt(engine(), request, fleet).has_value());
    fleet.resize(4, idle());
    BOOST_TEST(place_prompt(engine(), request, fleet).has_value());
}

// Guards against an unsplit prompt that waits because of a segment queued
// before it. Engines prefill the segment first, so the prompt doesn't delay it.
BOOST_AUTO_TEST_CASE(a_whole_prompt_does_not_delay_an_earlier_segment)
{
    auto request = short_prompt();
    request.prompt_tokens = 20'000;
    request.max_segments = 16;
    request.first_token_target_ms = 1500;
    request.token_gap_ms = 600;
    std::vector<placement_candidate> fleet{with_backlog(900)};
    auto& prefills = fleet.front().load.pending_prefills;
    prefills.front().due_in_ms = 950;
    prefills.resize(8, prefills.front());
    BOOST_TEST(place_prompt(engine(), request, fleet).has_value());
}

// Guards against refusing a prompt that no engine can hold alone: no retry
// could ever succeed.
BOOST_AUTO_TEST_CASE(a_prompt_above_one_engines_memory_is_distributed)
{
    std::vector<placement_candidate> fleet(14, idle());
    for (std::size_t n = 0; n < 4; ++n)
        fleet[n].load.memory_tokens = 100'000.0 * static_cast<double>(n);
    auto request = long_prompt();
    request.prompt_tokens = 700'000;
    BOOST_TEST(!place_prompt(engine(), request, fleet).has_value());
    request.may_distribute_kv = true;
    const auto choice = place_prompt(engine(), request, fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST_REQUIRE(choice->reserved_tokens.size() == choice->chosen.size());
    double held = 0;
    for (std::size_t n = 0; n < choice->chosen.size(); ++n)
    {
        held += choice->reserved_tokens[n];
        BOOST_TEST(choice->reserved_tokens[n] +
                       fleet[choice->chosen[n]].load.memory_tokens <=
                   405'000);
    }
    BOOST_TEST(held == 700'650, boost::test_tools::tolerance(0.001));
    BOOST_TEST(choice->reserved_tokens.front() >= request.output_tokens);
}

// Guards against distributing a prompt over memory that other prompts use: the
// engines would refuse it or evict the others.
BOOST_AUTO_TEST_CASE(memory_in_use_is_not_reserved)
{
    std::vector<placement_candidate> fleet(3, idle());
    for (auto& it : fleet)
        it.load.memory_tokens = 200'000;
    auto request = long_prompt();
    request.may_distribute_kv = true;
    request.prompt_tokens = 500'000;
    BOOST_TEST(place_prompt(engine(), request, fleet).has_value());
    request.prompt_tokens = 620'000;
    BOOST_TEST(!place_prompt(engine(), request, fleet).has_value());
}

// Guards against a long prefill on an engine with many decoding requests while
// another engine has few.
BOOST_AUTO_TEST_CASE(
    a_long_prefill_takes_the_engine_with_the_fewest_decoding_requests)
{
    std::vector<placement_candidate> fleet(6, with_decoding(14));
    fleet[3] = with_decoding(1);
    const auto choice = place_prompt(engine(), long_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.front() == 3U);
}

// Guards against delaying pending prefills. A new segment goes before the
// queued ones, so engines without a prefill are preferred.
BOOST_AUTO_TEST_CASE(a_long_prefill_does_not_delay_pending_ones)
{
    std::vector<placement_candidate> fleet(8, with_backlog(1500));
    for (std::size_t n = 4; n < 8; ++n)
        fleet[n] = idle();
    const auto choice = place_prompt(engine(), long_prompt(), fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    for (const auto n : choice->chosen)
        BOOST_TEST(n >= 4U);
}

// Guards against a prefill of 280,000 tokens on one engine: it takes 8 s, and
// the client would disconnect before the end of the response.
BOOST_AUTO_TEST_CASE(a_prefill_that_takes_too_long_on_one_engine_is_split)
{
    const std::vector<placement_candidate> fleet(12, with_decoding(8));
    auto request = long_prompt();
    request.prompt_tokens = 280'000;
    request.value = 37;
    const auto choice = place_prompt(engine(), request, fleet);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(full_engines_take_nothing)
{
    const std::vector<placement_candidate> fleet(3, with_decoding(16));
    BOOST_TEST(!place_prompt(engine(), short_prompt(), fleet).has_value());
}

// Guards against preemption of a running request when memory runs out.
BOOST_AUTO_TEST_CASE(memory_bounds_what_an_engine_runs)
{
    auto half_full = idle();
    half_full.load.memory_tokens = 300'000;
    const std::vector<placement_candidate> fleet{half_full};
    BOOST_TEST(!place_prompt(engine(), long_prompt(), fleet).has_value());
}

BOOST_AUTO_TEST_CASE(plain_requests_go_to_the_emptiest_endpoint)
{
    std::vector<placement_candidate> fleet(3);
    for (auto& it : fleet)
        it.slots = 6;
    fleet[0].load.running = 2;
    fleet[1].load.running = 1;
    fleet[2].load.running = 1;
    fleet[2].same_domain = true;
    BOOST_TEST(place_plain(fleet)->chosen.front() == 2U);
    for (auto& it : fleet)
        it.load.running = 6;
    BOOST_TEST(!place_plain(fleet).has_value());
}

// Guards against a slow engine that is taken for as fast as the others.
BOOST_AUTO_TEST_CASE(a_slow_engine_gets_prompts_that_others_would_delay)
{
    auto slow = idle();
    slow.slowdown = 5;
    const std::vector<placement_candidate> both{slow, idle()};
    const auto choice = place_prompt(engine(), short_prompt(), both);
    BOOST_TEST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->chosen.front() == 1U);
    const std::vector<placement_candidate> alone{slow};
    const std::vector<placement_candidate> usual{idle()};
    const auto late = place_prompt(engine(), short_prompt(), alone);
    const auto prompt = place_prompt(engine(), short_prompt(), usual);
    BOOST_TEST_REQUIRE(late.has_value());
    BOOST_TEST(std::abs(late->first_token_ms - 5 * prompt->first_token_ms) <
               0.001);
}

// Guards against a slow helper whose segment is expected as early as the
// others'.
BOOST_AUTO_TEST_CASE(a_slow_helper_delays_the_whole_prompt)
{
    auto slow = idle();
    slow.slowdown = 4;
    auto request = long_prompt();
    request.max_segments = 2;
    const std::vector<placement_candidate> usual{idle(), idle()};
    const std::vector<placement_candidate> mixed{idle(), slow};
    const auto fast = place_prompt(engine(), request, usual);
    const auto other = place_prompt(engine(), request, mixed);
    BOOST_TEST_REQUIRE(fast.has_value());
    BOOST_TEST_REQUIRE(other.has_value());
    BOOST_TEST(fast->chosen.size() == 2U);
    BOOST_TEST(other->first_token_ms > fast->first_token_ms);
}
