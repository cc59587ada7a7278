#include "gateway/restart_soak.hpp"

#include <array>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Requests of a node that may reach an endpoint late in a pause.
constexpr std::ptrdiff_t max_late_arrivals = 2;

endpoint_behaviour choose_pause(std::mt19937_64& random)
{
    constexpr std::array<const char*, 4> pauses{"0.4", "1", "2.5", "6"};
    return {.refuses_requests = true,
            .retry_after = {pauses.at(random() % pauses.size())}};
}

} // namespace

BOOST_AUTO_TEST_CASE(pauses_are_kept_through_restarts_of_nodes_and_endpoints)
{
    restart_soak soak(&choose_pause);
    soak.run();
    BOOST_TEST_MESSAGE("seed " << soak_seed() << ": " << soak.served()
                               << " served");
    BOOST_TEST(soak.served() > 0U);
    BOOST_TEST(soak.most_late_arrivals() <= max_late_arrivals);
    BOOST_TEST(soak.wrong_runs() == 0U);
    BOOST_TEST(soak.unanswered() == 0U);
}
