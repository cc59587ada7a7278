#include "galenapulley/engine_profile.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

engine_profile sample()
{
    return {.slots = 16,
            .memory_tokens = 405'000,
            .step_ms = 1.31,
            .decode_ms_per_request = 0.000917,
            .context_ms_per_1k = 0.00213,
            .prefill_tokens_per_ms = 154,
            .attention_ms_per_million_pairs = 0.162,
            .chunk_tokens = 2048,
            .steps_per_pass = 34,
            .cross_engine_step_ms = 0.1};
}

} // namespace

// Guards against a cost model without the quadratic cost of attention, which
// would expect a long prompt in a third of its actual time.
BOOST_AUTO_TEST_CASE(prefill_time_grows_faster_than_its_tokens)
{
    const auto engine = sample();
    const auto one = engine.prefill_ms(182'000);
    BOOST_TEST(one > 3800);
    BOOST_TEST(one < 4100);
    BOOST_TEST(engine.prefill_ms(364'000) > 3 * one);
}

BOOST_AUTO_TEST_CASE(a_decoding_pass_has_all_its_steps)
{
    const auto engine = sample();
    const auto alone = engine.pass_ms(1, 5000);
    BOOST_TEST(alone > 34 * 1.31);
    BOOST_TEST(alone < 34 * 1.31 + 2);
    // 16 decoding requests with short contexts take a tenth longer than one.
    BOOST_TEST(engine.pass_ms(16, 16 * 5000.0) < 1.2 * alone);
    BOOST_TEST(engine.decode_ms(34, 1, 5000) == alone,
               boost::test_tools::tolerance(1e-9));
}

// Guards against counting a whole long prefill as one token gap: an engine
// prefills at most one chunk per step.
BOOST_AUTO_TEST_CASE(a_pass_holds_a_bounded_part_of_a_prefill)
{
    const auto engine = sample();
    const double tokens = 182'000;
    const double whole = engine.prefill_ms(tokens);
    const double most = engine.max_prefill_in_pass_ms(whole, tokens);
    BOOST_TEST(most < whole / 2);
    BOOST_TEST(engine.max_prefill_in_pass_ms(30, 5000) == 30);
}
