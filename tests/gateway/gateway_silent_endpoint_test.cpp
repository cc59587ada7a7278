#include "gateway/one_gateway.hpp"

#include <nlohmann/json.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::uint64_t engine_tokens = 1000;
/// A prompt of 1,500 tokens, more than one engine's memory.
const std::string large = "Galenapulley-Token-Usage: 1500,20\r\n";
constexpr msec request_timeout = 15'000;
/// Time within which memory has to be free after its request has ended.
constexpr msec release_limit = 4000;

/// Engines whose requests may take long, so that a gateway waits for them.
std::string patient_routes()
{
    auto out =
        nlohmann::json::parse(sample_configuration(1, "", engine_tokens));
    for (auto& it : out["Routes"])
    {
        it["TimeoutMs"] = request_timeout;
        it["TargetLatencyMs"] = 3000;
    }
    return out.dump();
}

struct two_engines : one_gateway
{
    two_engines() : one_gateway(patient_routes()) {}

    endpoint_standin& primary()
    {
        return east.received().empty() ? west : east;
    }
    endpoint_standin& helper() { return east.received().empty() ? east : west; }

    static std::string request()
    {
        return sample_request("POST", "/s/x", "t1", "", large, request_timeout);
    }
};

} // namespace

// Guards against memory that stays reserved at helpers while the gateway waits
// for an endpoint that has lost power.
BOOST_FIXTURE_TEST_CASE(memory_is_released_when_the_running_endpoint_goes_dark,
                        two_engines)
{
    set_both({.silent = true});
    wire_client client(gateway->traffic());
    client.send(request());
    BOOST_TEST_REQUIRE(eventually([&] { return arrivals() == 1; }));
    BOOST_TEST_REQUIRE(helper().reserved_tokens() > 0U);
    primary().go_dark();
    BOOST_TEST(eventually([this] { return helper().reserved_tokens() == 0; },
                          release_limit));
}

// The same while the endpoint sends its response.
BOOST_FIXTURE_TEST_CASE(memory_is_released_when_a_stream_goes_dark, two_engines)
{
    set_both({.events = 100, .event_pause = 100});
    wire_client client(gateway->traffic());
    client.send(request());
    BOOST_TEST_REQUIRE(client.receive_some(1));
    primary().go_dark();
    BOOST_TEST(eventually([this] { return helper().reserved_tokens() == 0; },
                          release_limit));
}

// A busy engine sends nothing for seconds either, but its host responds.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_is_only_busy_is_waited_for,
                        two_engines)
{
    set_both({.events = 3, .first_event_pause = 6000});
    const auto response = gateway->call(request());
    BOOST_TEST(response.complete);
    BOOST_TEST(arrivals() == 1U);
}
