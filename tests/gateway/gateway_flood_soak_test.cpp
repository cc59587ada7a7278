#include "gateway/restart_soak.hpp"

#include <array>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::size_t memory_limit = std::size_t{128} << 20;

/// Bytes without end, or a failure whose status looks like a refusal.
endpoint_behaviour choose_fault(std::mt19937_64& random)
{
    auto floods = response_floods();
    floods.push_back(endless_part::event);
    constexpr std::array<int, 4> statuses{408, 429, 500, 503};
    const int status = statuses.at(random() % statuses.size());
    if (random() % 3 == 0)
        return {.status = status, .is_signed = random() % 2 == 0};
    return {.status = random() % 2 == 0 ? 200 : status,
            .endless = floods.at(random() % floods.size())};
}

} // namespace

// Guards against requests that run twice or are answered "not run" after their
// run, and against a quarantine or exhausted memory, while endpoints flood.
BOOST_AUTO_TEST_CASE(floods_and_refusals_through_restarts)
{
    restart_soak soak(&choose_fault);
    soak.run();
    BOOST_TEST_MESSAGE("seed " << soak_seed() << ": " << soak.served()
                               << " served, peak memory "
                               << soak.peak_memory());
    BOOST_TEST(soak.served() > 0U);
    BOOST_TEST(soak.wrong_runs() == 0U);
    BOOST_TEST(soak.unanswered() == 0U);
    BOOST_TEST(soak.peak_memory() < memory_limit);
    BOOST_TEST(soak.recovers());
}
