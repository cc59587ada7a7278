#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

struct bad_request_case
{
    const char* name;
    std::string bytes;
    int status;
};

std::string with(const std::string& more, const std::string& body = "")
{
    return "POST /i/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\n"
           "Galenapulley-Attempt-Id: t\r\n" +
           more + "\r\n" + body;
}

} // namespace

// Guards against request smuggling, where gateway and endpoint parse ambiguous
// bytes differently, and against input that crashes the process.
BOOST_FIXTURE_TEST_CASE(ambiguous_requests_are_refused_and_not_forwarded,
                        one_gateway)
{
    const std::vector<bad_request_case> cases{
        {"length and chunks",
         with("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
              "0\r\n\r\n"),
         400},
        {"two lengths",
         with("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
        {"length that is no number", with("Content-Length: 3x\r\n", "abc"),
         400},
        {"bare line feed in a header", with("X-A: b\nX-C: d\r\n"), 400},
        {"space before the colon", with("X-A : b\r\n"), 400},
        {"two hosts", with("Host: other.example\r\nContent-Length: 0\r\n"),
         400},
        {"second attempt id",
         with("Galenapulley-Attempt-Id: u\r\nContent-Length: 0\r\n"), 400},
        {"absolute target",
         "GET http://h.example/i/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 400},
        {"no request at all", "\x16\x03\x01\x02 nonsense\r\n\r\n", 400},
        {"headers that are too large",
         with("X-A: " + std::string(5000, 'a') + "\r\n"), 431},
        {"a body that is too large", with("Content-Length: 200000\r\n"), 413},
        // It couldn't tell a stream that breaks off from a complete one.
        {"a stream for HTTP/1.0",
         "POST /s/x HTTP/1.0\r\nHost: h.example\r\nX-Api-Key: key-1\r\n"
         "Galenapulley-Attempt-Id: t\r\nContent-Length: 0\r\n\r\n",
         400},
        {"a request that stops in its head", "GET /i/x HTTP/1.1\r\nHos", 408},
    };
    for (const auto& it : cases)
    {
        BOOST_TEST_CONTEXT(it.name)
        BOOST_TEST(gateway->call(it.bytes).status == it.status);
    }
    BOOST_TEST(arrivals() == 0U);
    BOOST_TEST(gateway->process().running());
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "t")).status == 200);
}

BOOST_FIXTURE_TEST_CASE(chunked_bodies_arrive_complete, one_gateway)
{
    const auto response = gateway->call(with(
        "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(east.received().back().body == "abcde");
    BOOST_TEST(east.received().back().headers.count("Transfer-Encoding") == 0U);
}

BOOST_FIXTURE_TEST_CASE(expect_continue_gets_an_interim_response, one_gateway)
{
    wire_client client(gateway->traffic());
    client.send(with("Expect: 100-continue\r\nContent-Length: 3\r\n"));
    BOOST_TEST(client.receive().status == 100);
    client.send("abc");
    BOOST_TEST(client.receive().status == 200);
}
