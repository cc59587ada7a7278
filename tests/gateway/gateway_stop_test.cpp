#include "gateway/one_gateway.hpp"

#include <csignal>

using namespace galenapulley;
using namespace galenapulley::testing;

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
