#include "gateway/one_gateway.hpp"

#include <nlohmann/json.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

// A response that proves that nothing ran allows a retry at another endpoint.
BOOST_FIXTURE_TEST_CASE(a_refused_request_is_retried_at_another_endpoint,
                        one_gateway)
{
    east.set({.refuses_requests = true});
    const auto response = gateway->call(sample_request("GET", "/i/x", "t1"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.header("Galenapulley-Server-Seal") == "seal-i-west");
}

// Guards against requests to another incarnation that has taken over an
// address.
BOOST_FIXTURE_TEST_CASE(another_incarnation_at_the_address_is_avoided,
                        one_gateway)
{
    east.set({.replaced = true});
    BOOST_TEST(gateway->call(sample_request("POST", "/n/x", "t1")).status ==
               200);
    BOOST_TEST(gateway->call(sample_request("POST", "/n/x", "t2")).status ==
               200);
    BOOST_TEST(east.received().size() == 1U);
    BOOST_TEST(west.runs() == 2U);
}

// Guards against a non-idempotent request that runs twice.
BOOST_FIXTURE_TEST_CASE(an_unsafe_request_is_never_sent_twice, one_gateway)
{
    set_both({.closes_connection = true});
    const auto response = gateway->call(sample_request("POST", "/n/x", "t1"));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(arrivals() == 1U);
}

// A refusal states that the request has not run, so no endpoint may have run
// it.
BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_was_refused_has_not_run,
                        one_gateway)
{
    set_both({.refuses_requests = true});
    const auto response = gateway->call(sample_request("POST", "/n/x", "t1"));
    BOOST_TEST((response.status == 429 || response.status == 503));
    BOOST_TEST(response.header("Retry-After") != "(none)");
    BOOST_TEST(runs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_idempotent_request_is_retried_after_a_lost_response,
                        one_gateway)
{
    east.set({.closes_connection = true});
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "t1")).status ==
               200);
    BOOST_TEST(arrivals() == 2U);
}

BOOST_FIXTURE_TEST_CASE(
    an_idempotent_request_is_retried_after_an_endpoint_error, one_gateway)
{
    east.set({.status = 500});
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "t1")).status ==
               200);
    west.set({.status = 500});
    const auto response = gateway->call(sample_request("GET", "/i/x", "t2"));
    BOOST_TEST(response.status == 500);
    BOOST_TEST(response.header("Galenapulley-Server-Seal") != "(none)");
}

// Guards against a missing, repeated or partial event after a broken stream.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_resumes_at_another_endpoint,
                        one_gateway)
{
    east.set({.events = 6, .breaks_at = 3});
    west.set({.events = 6});
    const auto response = gateway->call(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST(response.complete);
    std::string expected;
    for (int n = 1; n <= 6; ++n)
        expected += "id: " + std::to_string(n) +
                    "\ndata: " + std::to_string(n) + "\n\n";
    BOOST_TEST(response.body == expected);
    BOOST_TEST(west.received().back().header("Last-Event-Id") == "2");
    BOOST_TEST(response.header("Galenapulley-Server-Seal") == "seal-i-east");
}

// Guards against a response that ends early and looks complete.
BOOST_FIXTURE_TEST_CASE(a_stream_that_cannot_resume_looks_incomplete,
                        one_gateway)
{
    set_both({.events = 6, .breaks_at = 3});
    const auto response = gateway->call(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(!response.complete);
}

// Guards against a client that waits past its deadline for a silent endpoint.
BOOST_FIXTURE_TEST_CASE(a_silent_endpoint_ends_in_an_error_at_the_deadline,
                        one_gateway)
{
    set_both({.silent = true});
    const boot_time_clock time;
    const auto begin = time.now();
    const auto response =
        gateway->call(sample_request("POST", "/n/x", "t1", "", "", 1000));
    BOOST_TEST(response.status == 504);
    BOOST_TEST(time.now() - begin >= 1000);
    BOOST_TEST(time.now() - begin < 1500);
    BOOST_TEST(arrivals() == 1U);
}

// Guards against a request that crashes one endpoint after another.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_endpoints_is_quarantined,
                        one_gateway)
{
    set_both({.closes_connection = true});
    for (int n = 0; n < 4; ++n)
        gateway->call(sample_request("GET", "/i/x", "t" + std::to_string(n)));
    BOOST_TEST(arrivals() <= 4U);
    set_both({});
    pause_for(1000);
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "t9")).status ==
               503);
    BOOST_TEST(gateway->call(sample_request("GET", "/i/y", "t10")).status ==
               200);
}

// A response may have neither a length nor chunks and end with its connection.
BOOST_FIXTURE_TEST_CASE(an_unframed_response_is_complete, one_gateway)
{
    set_both({.events = 3, .unframed = true});
    const auto stream = gateway->call(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST(stream.complete);
    BOOST_TEST(stream.body.find("data: 3\n\n") != std::string::npos);
    set_both({.unframed = true});
    const auto response = gateway->call(sample_request("GET", "/i/x", "t2"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == "content");
}

// Guards against a stream that looks complete although its last event was cut.
BOOST_FIXTURE_TEST_CASE(an_unframed_stream_cut_in_an_event_is_resumed,
                        one_gateway)
{
    east.set({.events = 6, .breaks_at = 3, .unframed = true});
    west.set({.events = 6, .unframed = true});
    const auto resumed = gateway->call(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST(resumed.complete);
    BOOST_TEST(resumed.body.find("data: 6\n\n") != std::string::npos);
    set_both({.events = 6, .breaks_at = 3, .unframed = true});
    const auto cut = gateway->call(sample_request("POST", "/s/x", "t2"));
    BOOST_TEST(!cut.complete);
    BOOST_TEST(cut.body.find("id: 3") == std::string::npos);
}

// Guards against the text or the head of another endpoint's error in the middle
// of a stream, and against a stream that then ends as if it were complete.
BOOST_FIXTURE_TEST_CASE(an_error_after_a_broken_stream_is_not_part_of_it,
                        one_gateway)
{
    east.set({.events = 5, .breaks_at = 3});
    west.set({.status = 500, .body = "out of order"});
    const auto response =
        gateway->call(sample_request("POST", "/s/x", "t1", "prompt"));
    BOOST_TEST(runs() == 2U);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body == "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n");
}

// Guards against a stream that is left open after the error of an endpoint that
// was to go on with it, although attempts are left.
BOOST_AUTO_TEST_CASE(an_error_in_a_broken_stream_does_not_end_the_retries)
{
    auto configuration = nlohmann::json::parse(sample_configuration(1));
    configuration["Routes"][0]["MaxAttempts"] = 3;
    one_gateway fleet(configuration.dump());
    const endpoint_standin third(fleet.store, "i-third", "svc", "west",
                                 {.status = 500});
    fleet.west.set({.status = 500});
    fleet.east.set({.events = 5, .breaks_at = 3});
    pause_for(500);
    const boot_time_clock time;
    const auto begin = time.now();
    const auto response =
        fleet.gateway->call(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST(fleet.runs() + third.runs() == 3U);
    BOOST_TEST(!response.complete);
    BOOST_TEST(time.now() - begin < 1000);
}

// Guards against a response whose head breaks off and that reaches the client
// as a success with a short body.
BOOST_FIXTURE_TEST_CASE(a_response_cut_in_its_head_is_no_success, one_gateway)
{
    set_both({.breaks_in_head = true});
    for (const auto* const target : {"/n/x", "/i/x", "/s/x"})
        BOOST_TEST(gateway->call(sample_request("POST", target, "t1")).status ==
                   502);
}
