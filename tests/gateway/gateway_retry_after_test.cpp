#include "gateway/one_gateway.hpp"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr msec asked_pause = 3000;
const std::vector<std::string> pause_text{"3"};
/// Requests that were sent before the endpoint's refusal arrived may still
/// reach it for so long; later, a gateway may send it so many.
constexpr msec arrival_slack = 500;
constexpr std::ptrdiff_t max_late_arrivals = 2;
/// Longest time to a refusal that needs no endpoint.
constexpr msec at_once = 500;
constexpr msec request_pause = 20;

double retry_after_of(const wire_response& response)
{
    const auto text = response.header("Retry-After");
    return text.empty() || text == "(none)" ? 0 : std::stod(text);
}

/// Requests of one gateway that reached the endpoint while it wanted none from
/// it. Their attempt ids begin with the gateway's name.
std::ptrdiff_t late_arrivals(const endpoint_standin& endpoint,
                             const std::string& gateway)
{
    std::vector<msec> times;
    for (const auto& it : endpoint.received())
        if (it.header("Galenapulley-Attempt-Id").rfind(gateway, 0) == 0)
            times.push_back(it.at);
    if (times.empty())
        return 0;
    return std::count_if(times.begin(), times.end(),
                         [from = times.front()](msec at) {
                             return at > from + arrival_slack &&
                                    at < from + asked_pause;
                         });
}

struct paused_endpoints : one_gateway
{
    boot_time_clock time;
    int sent = 0;

    wire_response call(const std::string& target)
    {
        return gateway->call(
            sample_request("GET", target, "n1-" + std::to_string(++sent)));
    }

    /// Has both endpoints refuse a request and ask for a pause.
    void pause_both()
    {
        set_both({.refuses_requests = true, .retry_after = pause_text});
        for (int n = 0; n < 4; ++n)
            call("/i/x");
        BOOST_TEST_REQUIRE(east.received().size() > 0U);
        BOOST_TEST_REQUIRE(west.received().size() > 0U);
    }

    /// Sends requests through the gateway one after the other; returns how many
    /// were not served.
    int send_for(msec duration, const gateway_process& through,
                 const std::string& name) const
    {
        int failed = 0;
        int n = 0;
        for (const auto end = time.now() + duration; time.now() < end;)
        {
            const auto attempt = name + "-b" + std::to_string(++n);
            const auto response =
                through.call(sample_request("GET", "/i/x", attempt));
            failed += response.status == 200 ? 0 : 1;
            pause_for(request_pause);
        }
        return failed;
    }
};

} // namespace

// Guards against an endpoint that asked a node for a pause and gets the node's
// requests all the same.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_asked_for_a_pause_gets_no_requests,
                        paused_endpoints)
{
    east.set({.refuses_requests = true, .retry_after = pause_text});
    const int failed = send_for(asked_pause, *gateway, "n1");
    BOOST_TEST(east.received().size() > 0U);
    BOOST_TEST(late_arrivals(east, "n1") <= max_late_arrivals);
    BOOST_TEST(failed == 0);
}

// The same with several gateways and requests side by side.
BOOST_FIXTURE_TEST_CASE(each_gateway_leaves_a_paused_endpoint_alone,
                        paused_endpoints)
{
    gateway_process second("n2", "west", store.address(), {gateway->peer()});
    BOOST_TEST_REQUIRE(second.wait_until_ready());
    east.set({.refuses_requests = true, .retry_after = pause_text});
    std::vector<std::thread> clients;
    for (int n = 0; n < 4; ++n)
    {
        clients.emplace_back([&] { send_for(asked_pause, *gateway, "n1"); });
        clients.emplace_back([&] { send_for(asked_pause, second, "n2"); });
    }
    for (auto& it : clients)
        it.join();
    BOOST_TEST(east.received().size() > 0U);
    BOOST_TEST(late_arrivals(east, "n1") <= max_late_arrivals);
    BOOST_TEST(late_arrivals(east, "n2") <= max_late_arrivals);
}

// Guards against callers that are held, or told to return at once, while all
// endpoints want a pause.
BOOST_FIXTURE_TEST_CASE(callers_learn_at_once_when_all_paused_endpoints_return,
                        paused_endpoints)
{
    pause_both();
    const auto before = arrivals();
    for (const auto* const target : {"/i/x", "/n/x", "/s/x"})
    {
        const auto start = time.now();
        const auto response = call(target);
        BOOST_TEST(response.status == 503, target);
        BOOST_TEST(time.now() - start < at_once, target);
        BOOST_TEST(retry_after_of(response) > 1.0, target);
        BOOST_TEST(retry_after_of(response) < 5.0, target);
    }
    BOOST_TEST(arrivals() == before);
}

// Guards against a caller that is told to return at once by the request that
// the last free endpoint has refused.
BOOST_FIXTURE_TEST_CASE(the_refusal_of_the_last_endpoint_names_the_pause,
                        paused_endpoints)
{
    set_both({.refuses_requests = true, .retry_after = pause_text});
    call("/n/x");
    const auto response = call("/n/x");
    BOOST_TEST(arrivals() == 2U);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(retry_after_of(response) > 1.0);
}

// Guards against endpoints that stay unused when their pause is over.
BOOST_FIXTURE_TEST_CASE(paused_endpoints_serve_again_after_their_pause,
                        paused_endpoints)
{
    pause_both();
    set_both({});
    const auto start = time.now();
    while (call("/i/x").status != 200 && time.now() - start < 2 * asked_pause)
        pause_for(request_pause);
    const auto waited = time.now() - start;
    BOOST_TEST(waited > asked_pause - arrival_slack);
    BOOST_TEST(waited < asked_pause + arrival_slack);
}

// Guards against a stream that is resumed at an endpoint which wants a pause,
// and against a client that waits for it meanwhile.
BOOST_FIXTURE_TEST_CASE(a_stream_is_not_resumed_at_a_paused_endpoint,
                        paused_endpoints)
{
    east.set({.refuses_requests = true, .retry_after = pause_text});
    west.set({.events = 6, .breaks_at = 4});
    while (east.received().empty())
        call("/i/x");
    pause_for(arrival_slack);
    const auto before = east.received().size();
    const auto start = time.now();
    const auto response = call("/s/x");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(!response.complete);
    BOOST_TEST(time.now() - start < at_once);
    BOOST_TEST(east.received().size() == before);
}

// Guards against a pause that outlives the incarnation which asked for it.
BOOST_FIXTURE_TEST_CASE(a_restarted_endpoint_is_not_paused, paused_endpoints)
{
    pause_both();
    set_both({});
    east.restart();
    const auto start = time.now();
    while (call("/i/x").status != 200 && time.now() - start < asked_pause)
        pause_for(request_pause);
    BOOST_TEST(time.now() - start < asked_pause - arrival_slack);
}

// Guards against memory reservations at an endpoint that wants a pause.
BOOST_AUTO_TEST_CASE(a_helper_that_asked_for_a_pause_gets_no_requests)
{
    constexpr std::uint64_t engine_tokens = 1000;
    one_gateway fleet(sample_configuration(1, "", engine_tokens));
    fleet.set_both({.refuses_memory = true, .retry_after = pause_text});
    const std::string large = "Galenapulley-Token-Usage: 1500,20\r\n";
    fleet.gateway->call(sample_request("POST", "/s/x", "n1-1", "", large));
    const auto& refused =
        fleet.east.orders("reserve") > 0 ? fleet.east : fleet.west;
    BOOST_TEST(fleet.east.orders("reserve") + fleet.west.orders("reserve") ==
               1U);
    fleet.set_both({});
    for (int n = 0; n < 8; ++n)
        fleet.gateway->call(
            sample_request("GET", "/i/x", "n1-x" + std::to_string(n)));
    BOOST_TEST(refused.received().size() == 0U);
}
