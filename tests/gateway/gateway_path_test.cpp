#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

BOOST_FIXTURE_TEST_CASE(a_request_and_its_response_pass_unchanged, one_gateway)
{
    const auto response = gateway->call(sample_request(
        "POST", "/i/a%2fb/?x=1&x=2&a", "t1", "body\r\n\r\nbytes",
        "X-One: 1\r\nx-one: 2\r\nConnection: X-Hop\r\nX-Hop: h\r\n"
        "Galenapulley-Tenant: forged\r\n"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == "content");
    BOOST_TEST(response.header("Galenapulley-Attempt-Id") == "t1");
    BOOST_TEST(response.header("Galenapulley-Server-Seal") == "seal-i-east");
    BOOST_TEST(response.head.find("X-Made: a\r\nX-Made: b") !=
               std::string::npos);

    const auto got = east.received();
    BOOST_TEST_REQUIRE(got.size() == 1U);
    BOOST_TEST(got[0].target == "/i/a%2fb/?x=1&x=2&a");
    BOOST_TEST(got[0].body == "body\r\n\r\nbytes");
    BOOST_TEST(got[0].header("Galenapulley-Tenant") == "club");
    BOOST_TEST(got[0].header("Galenapulley-Expect-Instance") == "i-east");
    BOOST_TEST(got[0].headers.count("X-Api-Key") == 0U);
    BOOST_TEST(got[0].headers.count("X-Hop") == 0U);
    BOOST_TEST(got[0].header("X-One") == "1");
    BOOST_TEST(got[0].header("x-one") == "2");
    BOOST_TEST(std::stoi(got[0].header("Galenapulley-Deadline-Ms")) <= 3000);
}

BOOST_FIXTURE_TEST_CASE(a_stream_is_forwarded_event_by_event, one_gateway)
{
    set_both({.events = 4, .event_pause = 200});
    wire_client client(gateway->traffic());
    client.send(sample_request("POST", "/s/x", "t1"));
    const boot_time_clock time;
    const auto begin = time.now();
    BOOST_TEST(client.receive_some(150));
    BOOST_TEST(time.now() - begin < 500);
    const auto response = client.receive();
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
                                "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n");
}

BOOST_FIXTURE_TEST_CASE(a_connection_serves_many_requests, one_gateway)
{
    wire_client client(gateway->traffic());
    // Both requests are sent before the first is answered.
    client.send(sample_request("GET", "/i/1", "t1") +
                sample_request("GET", "/i/2", "t2"));
    BOOST_TEST(client.receive().header("Galenapulley-Attempt-Id") == "t1");
    client.send(sample_request("GET", "/i/3", "t3"));
    // wire_client may have read and dropped the second response together with
    // the first, so the requests are counted instead.
    const auto ended = eventually([&] { return runs() == 3; });
    BOOST_TEST(ended);
}

BOOST_FIXTURE_TEST_CASE(what_the_configuration_forbids_is_refused, one_gateway)
{
    BOOST_TEST(gateway->call(sample_request("GET", "/q/x", "t1")).status ==
               404);
    auto wrong_key = sample_request("GET", "/i/x", "t2");
    wrong_key.replace(wrong_key.find("key-1"), 5, "key-2");
    BOOST_TEST(gateway->call(wrong_key).status == 401);
    BOOST_TEST(arrivals() == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_directory_names_the_node, one_gateway)
{
    BOOST_TEST(eventually(
        [&]
        {
            return gateway->directory().body.find(gateway->traffic()) !=
                   std::string::npos;
        }));
}
