#include "gateway/one_gateway.hpp"

#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Late in the part of the grace period in which requests are still served.
constexpr msec late = 1200;
/// Slots of both endpoints.
constexpr int all_slots = 8;

} // namespace

// Guards against a graceful stop that cuts off a stream.
BOOST_FIXTURE_TEST_CASE(a_stopping_gateway_finishes_its_streams, one_gateway)
{
    set_both({.events = 8, .event_pause = 200});
    wire_client client(gateway->traffic());
    client.send(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST_REQUIRE(client.receive_some(150));
    gateway->process().signal(SIGTERM);
    const auto response = client.receive();
    BOOST_TEST(response.complete);
    BOOST_TEST(gateway->process().wait(6000) == 0);
}

BOOST_FIXTURE_TEST_CASE(a_stopping_gateway_is_not_ready_but_still_serves,
                        one_gateway)
{
    gateway->process().signal(SIGTERM);
    BOOST_TEST(eventually([&] { return gateway->ready_status() == 503; }, 500));
    const auto response = gateway->call(sample_request("GET", "/i/x", "t1"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.header("Connection") == "close");
    BOOST_TEST(gateway->process().wait(6000) == 0);
}

// Guards against a request that is taken late in the grace period, passed on,
// and cut without an answer when the process ends.
BOOST_FIXTURE_TEST_CASE(a_request_still_running_at_the_end_is_answered,
                        one_gateway)
{
    set_both({.silent = true});
    gateway->process().signal(SIGTERM);
    pause_for(late);
    const auto response = gateway->call(sample_request("POST", "/n/x", "t1"));
    BOOST_TEST(arrivals() == 1U);
    // It may have run.
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.complete);
    BOOST_TEST(gateway->process().wait(4000) == 0);
}

// The same for a request that still waits for an endpoint, which has not run.
BOOST_FIXTURE_TEST_CASE(a_request_still_waiting_at_the_end_is_refused,
                        one_gateway)
{
    set_both({.silent = true});
    std::vector<std::unique_ptr<wire_client>> clients;
    for (int n = 0; n < all_slots; ++n)
    {
        clients.push_back(std::make_unique<wire_client>(gateway->traffic()));
        clients.back()->send(
            sample_request("POST", "/n/x", "t" + std::to_string(n)));
    }
    BOOST_TEST_REQUIRE(
        eventually([&] { return arrivals() == all_slots; }, 2000));
    gateway->process().signal(SIGTERM);
    pause_for(late);
    const auto response = gateway->call(sample_request("POST", "/n/x", "last"));
    BOOST_TEST(arrivals() == static_cast<std::size_t>(all_slots));
    BOOST_TEST((response.status == 503 || response.status == 429));
    BOOST_TEST(response.complete);
    for (const auto& it : clients)
        BOOST_TEST(it->receive().complete);
}
