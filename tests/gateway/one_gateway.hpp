#pragma once

#include "platform/gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace galenapulley::testing
{

/// A store, two endpoints in different zones, and a gateway that is ready.
struct one_gateway
{
    store_standin store;
    endpoint_standin east{store, "i-east", "svc", "east", {}};
    endpoint_standin west{store, "i-west", "svc", "west", {}};
    std::unique_ptr<gateway_process> gateway;

    explicit one_gateway(
        const std::string& configuration = sample_configuration(1),
        const std::string& more_settings = "{}")
    {
        store.put("op", "config", configuration);
        gateway = std::make_unique<gateway_process>(
            "n1", "east", store.address(), std::vector<std::string>{},
            more_settings);
        BOOST_TEST_REQUIRE(gateway->wait_until_ready());
    }

    void set_both(const endpoint_behaviour& behaviour)
    {
        east.set(behaviour);
        west.set(behaviour);
    }

    std::size_t runs() const { return east.runs() + west.runs(); }
    std::size_t arrivals() const
    {
        return east.received().size() + west.received().size();
    }
};

/// Status of the response to a GET request.
inline int status_of(const gateway_process& gateway, const std::string& target)
{
    return gateway.call(sample_request("GET", target, "t")).status;
}

/// Whether the gateway serves requests without the endpoint.
inline bool avoids(const gateway_process& gateway,
                   const endpoint_standin& unused)
{
    const auto before = unused.received().size();
    for (int n = 0; n < 4; ++n)
        if (status_of(gateway, "/i/x") != 200)
            return false;
    return unused.received().size() == before;
}

/// Waits until the condition holds.
template <typename Condition>
bool eventually(Condition holds, msec limit = 5000)
{
    const boot_time_clock time;
    for (const auto end = time.now() + limit; time.now() < end;)
    {
        if (holds())
            return true;
        pause_for(20);
    }
    return false;
}

} // namespace galenapulley::testing
