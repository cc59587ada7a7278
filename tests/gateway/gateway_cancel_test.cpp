#include "gateway/one_gateway.hpp"

#include <memory>
#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Longest time until a request is cancelled after its client disconnects.
constexpr msec cancel_limit = 500;

} // namespace

// Guards against endpoints that keep running requests of disconnected clients.
BOOST_FIXTURE_TEST_CASE(a_request_is_cancelled_when_the_client_disconnects,
                        one_gateway)
{
    set_both({.silent = true});
    wire_client client(gateway->traffic());
    client.send(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST_REQUIRE(eventually([&] { return arrivals() == 1; }));
    client.close();
    BOOST_TEST(
        (east.wait_for_closed(1, cancel_limit) || west.wait_for_closed(1, 0)));
}

// The same with the bytes of a pipelined request in the input buffer.
BOOST_FIXTURE_TEST_CASE(a_request_with_a_pipelined_one_is_cancelled_too,
                        one_gateway)
{
    set_both({.silent = true});
    wire_client client(gateway->traffic());
    client.send(sample_request("POST", "/n/x", "t1") +
                sample_request("POST", "/n/y", "t2"));
    BOOST_TEST_REQUIRE(eventually([&] { return arrivals() == 1; }));
    client.close();
    BOOST_TEST(
        (east.wait_for_closed(1, cancel_limit) || west.wait_for_closed(1, 0)));
    BOOST_TEST(arrivals() == 1U);
}

// Guards against slots that stay taken after a cancelled request: two endpoints
// with four slots each, so the ninth request needs a released one.
BOOST_FIXTURE_TEST_CASE(cancelled_requests_release_their_slots, one_gateway)
{
    set_both({.silent = true});
    for (int n = 0; n < 8; ++n)
    {
        wire_client client(gateway->traffic());
        client.send(sample_request("POST", "/n/x", "t" + std::to_string(n)));
        const auto expected = static_cast<std::size_t>(n) + 1;
        BOOST_TEST_REQUIRE(eventually([&] { return arrivals() == expected; }));
        client.close();
    }
    set_both({});
    BOOST_TEST(gateway->call(sample_request("POST", "/n/x", "last")).status ==
               200);
}

// Guards against a process that ends because a request's timer fires just as
// the endpoint's response completes.
BOOST_FIXTURE_TEST_CASE(responses_at_the_deadline_end_no_process, one_gateway)
{
    set_both({.responds_at_deadline = true});
    for (int round = 0; round < 60; ++round)
    {
        std::vector<std::unique_ptr<wire_client>> clients;
        for (int n = 0; n < 8; ++n)
        {
            clients.push_back(
                std::make_unique<wire_client>(gateway->traffic()));
            const auto id = std::to_string(round * 8 + n);
            clients.back()->send(
                sample_request("GET", "/i/" + id, "t" + id, "", "", 40));
        }
        for (const auto& it : clients)
            BOOST_TEST(it->receive().status != 0);
    }
    set_both({});
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "last")).status ==
               200);
}
