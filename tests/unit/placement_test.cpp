#include "galenapulley/placement.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace galenapulley;

namespace
{

std::vector<back_end_candidate>
candidates_of(const std::vector<std::uint16_t>& bits)
{
    std::vector<back_end_candidate> list;
    for (const auto n : bits)
    {
        back_end_candidate it;
        it.eligible = n % 2 == 0;
        it.running = n % 7;
        it.prefill_tokens = n % 11 * 1000ULL;
        it.cached_tokens = n % 3 * 1000;
        it.takes_long = n % 5 < 2;
        it.long_prefill = n % 13 < 4;
        list.push_back(it);
    }
    return list;
}

} // namespace

// Guards against choosing an ineligible back end, and against a baseline
// strategy that chooses none although one is eligible.
RC_BOOST_PROP(chooses_only_eligible_back_ends,
              (const std::vector<std::uint16_t>& bits, bool is_long))
{
    const auto candidates = candidates_of(bits);
    const bool any =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const back_end_candidate& it) { return it.eligible; });
    placement::generator random(bits.size());
    for (const auto name : placement_names())
    {
        const auto strategy = make_placement(name);
        const auto n = strategy->choose(candidates, is_long, random);
        if (n != placement::none)
            RC_ASSERT(candidates.at(n).eligible);
        if (!is_long || !strategy->confines_long())
            RC_ASSERT((n != placement::none) == any);
    }
}

// Guards against a long prompt on a back end that doesn't take long prompts or
// has a long prefill, and against a short prompt behind an avoidable long one.
RC_BOOST_PROP(size_interval_matches_a_naive_choice,
              (const std::vector<std::uint16_t>& bits, bool is_long))
{
    const auto candidates = candidates_of(bits);
    placement::generator random(1);
    const auto n =
        make_placement("size_interval")->choose(candidates, is_long, random);
    const auto rank = [&](const back_end_candidate& it)
    {
        const auto work = static_cast<std::int64_t>(it.prefill_tokens) -
                          static_cast<std::int64_t>(it.cached_tokens);
        return (it.long_prefill ? 1'000'000 : 0) + work * 10 + it.running;
    };
    std::vector<std::int64_t> ranks;
    for (const auto& it : candidates)
    {
        if (it.eligible && (!is_long || (it.takes_long && !it.long_prefill)))
            ranks.push_back(rank(it));
    }
    RC_ASSERT((n == placement::none) == ranks.empty());
    if (n != placement::none)
        RC_ASSERT(rank(candidates[n]) ==
                  *std::min_element(ranks.begin(), ranks.end()));
}

// Guards against baseline strategies that favour a back end, which would
// invalidate comparisons with them.
BOOST_AUTO_TEST_CASE(baselines_spread_evenly)
{
    const std::vector<back_end_candidate> candidates(5, {.eligible = true});
    for (const auto* name : {"random", "round_robin"})
    {
        const auto strategy = make_placement(name);
        placement::generator random(7);
        std::vector<int> chosen(5);
        for (int n = 0; n < 5000; ++n)
            ++chosen[strategy->choose(candidates, false, random)];
        for (const auto n : chosen)
            BOOST_TEST(std::abs(n - 1000) < 150);
    }
}

// Guards against a crash on an unknown name that the document check missed.
BOOST_AUTO_TEST_CASE(unknown_name_has_no_strategy)
{
    BOOST_TEST(!make_placement("fastest"));
}
