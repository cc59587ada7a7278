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
        const std::string& configuration = sample_configuration(1))
    {
        store.put("op", "config", configuration);
        gateway = std::make_unique<gateway_process>(
            "n1", "east", store.address(), std::vector<std::string>{});
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
