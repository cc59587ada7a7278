#include "gateway/one_gateway.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Bodies that the endpoints ran, by attempt.
std::multimap<std::string, std::string> bodies_run(const one_gateway& fleet)
{
    std::multimap<std::string, std::string> out;
    for (const auto* const endpoint : {&fleet.east, &fleet.west})
        for (const auto& it : endpoint->received())
            out.emplace(it.header("Galenapulley-Attempt-Id"), it.body);
    return out;
}

std::string numbered(int n)
{
    return sample_request("POST", "/n/x", "t" + std::to_string(n),
                          "body of " + std::to_string(n));
}

} // namespace

// Guards against a non-idempotent request that runs again in place of the next
// one on its connection.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_run_once_each, one_gateway)
{
    constexpr int rounds = 3;
    wire_client client(gateway->traffic());
    for (int n = 0; n < 3 * rounds; n += 3)
    {
        client.send(numbered(n) + numbered(n + 1));
        BOOST_TEST(client.receive().status == 200);
        BOOST_TEST(client.receive().status == 200);
        pause_for(50);
        // The last one arrives in two parts.
        const auto last = numbered(n + 2);
        client.send(last.substr(0, last.size() - 3));
        pause_for(50);
        client.send(last.substr(last.size() - 3));
        BOOST_TEST(client.receive().status == 200);
    }
    std::multimap<std::string, std::string> expected;
    for (int n = 0; n < 3 * rounds; ++n)
        expected.emplace("t" + std::to_string(n),
                         "body of " + std::to_string(n));
    BOOST_TEST((bodies_run(*this) == expected));
    BOOST_TEST(runs() == expected.size());
}

// Guards against requests whose end an endpoint sees elsewhere, and against
// trailer fields that reach it as headers.
BOOST_FIXTURE_TEST_CASE(transfer_codings_are_not_ambiguous, one_gateway)
{
    const std::string head =
        "POST /n/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\n"
        "Galenapulley-Attempt-Id: t\r\n";
    const std::string body = "1\r\nx\r\n0\r\nX-Late: y\r\n\r\n";
    for (const std::string coding :
         {"gzip", "identity", "chunked, gzip", "gzip, chunked",
          "chunked\r\nTransfer-Encoding: chunked"})
    {
        wire_client client(gateway->traffic());
        auto request = head;
        request.append("Transfer-Encoding: ").append(coding);
        request.append("\r\n\r\n").append(body);
        client.send(request);
        BOOST_TEST_CONTEXT(coding)
        BOOST_TEST(client.receive().status == 400);
        // The connection is closed.
        BOOST_TEST(client.receive().status == 0);
    }
    BOOST_TEST(arrivals() == 0U);
    const auto response =
        gateway->call(head + "Transfer-Encoding: chunked\r\n\r\n" + body);
    BOOST_TEST(response.status == 200);
    BOOST_TEST_REQUIRE(arrivals() == 1U);
    for (const auto* const endpoint : {&east, &west})
        for (const auto& it : endpoint->received())
        {
            BOOST_TEST(it.body == "x");
            BOOST_TEST(it.header("X-Late") == "(none)");
        }
}
