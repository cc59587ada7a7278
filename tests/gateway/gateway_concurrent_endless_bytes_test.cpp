#include "gateway/one_gateway.hpp"

#include <memory>
#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// The memory limit of the gateway's settings is 128 MB; responses may use a
/// part of it only.
constexpr std::size_t max_memory = std::size_t{64} << 20;

} // namespace

// Many callers at once must not exhaust the memory of the process.
BOOST_FIXTURE_TEST_CASE(concurrent_endless_responses_are_bounded, one_gateway)
{
    set_both({.endless = endless_part::body});
    std::vector<std::unique_ptr<wire_client>> clients;
    for (int n = 0; n < 16; ++n)
    {
        clients.push_back(std::make_unique<wire_client>(gateway->traffic()));
        clients.back()->send(
            sample_request("POST", "/n/x", "t" + std::to_string(n)));
    }
    for (const auto& it : clients)
    {
        const auto response = it->receive();
        BOOST_TEST(response.status >= 429);
    }
    const auto peak = gateway->process().peak_memory();
    BOOST_TEST_MESSAGE("peak memory " << peak);
    BOOST_TEST(peak < max_memory);
}
