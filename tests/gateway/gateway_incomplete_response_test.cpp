#include "gateway/one_gateway.hpp"
#include "unit/raw_sockets.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// More than the kernel buffers between the gateway and an endpoint that
/// doesn't read.
constexpr std::size_t long_upload = std::size_t{4} << 20;
/// Time in which the gateway reads what an endpoint has sent.
constexpr msec delivery_time = 200;

const std::string signed_header = "Galenapulley-Server-Seal: seal\r\n";

/// A store, a gateway that is ready, and one endpoint that breaks the protocol.
struct gateway_with_raw_endpoint
{
    store_standin store;
    raw::server endpoint;
    std::unique_ptr<gateway_process> gateway;

    explicit gateway_with_raw_endpoint(raw::server::script script)
        : endpoint(std::move(script))
    {
        auto configuration = nlohmann::json::parse(sample_configuration(1));
        configuration["Limits"]["MaxBodyBytes"] = long_upload;
        store.put("op", "config", configuration.dump());
        store.put("servers", "raw", entry(1));
        gateway = std::make_unique<gateway_process>(
            "n1", "east", store.address(), std::vector<std::string>{});
        BOOST_TEST_REQUIRE(gateway->wait_until_ready());
    }

    /// An entry of the endpoint; several differ in `born`.
    std::string entry(int born) const
    {
        return nlohmann::json{
            {"Service", "svc"},
            {"Address", "127.0.0.1:" + std::to_string(endpoint.port())},
            {"Zone", "east"},
            {"Version", "v1"},
            {"Slots", 4},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Sequence", 1},
            {"born", born}}
            .dump();
    }
};

/// How an endpoint ends the connection.
enum class connection_end
{
    reset,
    /// It sends no more, but doesn't read either.
    half_closed
};

std::ostream& operator<<(std::ostream& out, connection_end end)
{
    return out << (end == connection_end::reset ? "reset" : "half closed");
}

const auto ends = boost::unit_test::data::make(
    {connection_end::reset, connection_end::half_closed});

/// Responds while the request is still arriving, and ends the connection.
raw::server::script respond_early(const std::string& text, connection_end end)
{
    return [text, end](const raw::socket& peer)
    {
        peer.receive();
        peer.send(text);
        pause_for(delivery_time);
        if (end == connection_end::half_closed)
        {
            ::shutdown(peer.fd(), SHUT_WR);
            pause_for(delivery_time);
        }
        const linger reset{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(peer.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    };
}

raw::server::script respond(const std::string& text)
{
    return [text](const raw::socket& peer)
    {
        peer.receive_message();
        peer.send(text);
    };
}

std::string status_line(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\n" + signed_header;
}

} // namespace

// Guards against a truncated body that is relayed as a complete response: the
// write of the upload consumes the socket's error, so that the read sees an
// ordinary end of the connection.
BOOST_DATA_TEST_CASE(an_end_during_the_upload_completes_no_response, ends, end)
{
    gateway_with_raw_endpoint it(
        respond_early(status_line("200") + "\r\npart", end));
    const auto response = it.gateway->call(
        sample_request("POST", "/n/x", "t1", std::string(long_upload, 'b')));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.body.find("part") == std::string::npos);
    BOOST_TEST(it.endpoint.connections() == 1);
}

// The same for a stream, whose events may have been relayed already.
BOOST_DATA_TEST_CASE(an_end_during_the_upload_completes_no_stream, ends, end)
{
    gateway_with_raw_endpoint it(respond_early(
        status_line("200") +
            "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
        end));
    const auto response = it.gateway->call(
        sample_request("POST", "/s/x", "t1", std::string(long_upload, 'b')));
    BOOST_TEST(!(response.status == 200 && response.complete));
}

// A response that ends with the connection is complete once the whole request
// was sent.
BOOST_AUTO_TEST_CASE(an_end_after_the_upload_completes_a_response)
{
    gateway_with_raw_endpoint it(respond(status_line("200") + "\r\nwhole"));
    const auto response = it.gateway->call(
        sample_request("POST", "/n/x", "t1", std::string(long_upload, 'b')));
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body == "whole");
}

// Guards against a status that is none, which clients can't interpret. 1xx
// would be an interim response, which the gateway didn't ask for.
BOOST_DATA_TEST_CASE(an_invalid_status_is_no_response,
                     boost::unit_test::data::make(std::vector<std::string>{
                         "000", "001", "099", "100", "101", "199", "600", "999",
                         "20", "2", "2000", "2x0", "-20", "+20", "0x1"}),
                     status)
{
    gateway_with_raw_endpoint it(
        respond(status_line(status) + "Content-Length: 4\r\n\r\nbody"));
    const auto response =
        it.gateway->call(sample_request("POST", "/n/x", "t1", "x"));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.body != "body");
}

// The same for the response that continues a stream: the client has the events
// before it, and must see that the stream is incomplete.
BOOST_AUTO_TEST_CASE(an_invalid_status_continues_no_stream)
{
    raw::counter calls;
    gateway_with_raw_endpoint it(
        [&calls](const raw::socket& peer)
        {
            peer.receive_message();
            calls.add();
            const auto id = std::to_string(calls.value());
            peer.send(status_line(calls.value() == 1 ? "200" : "600") +
                      "Content-Type: text/event-stream\r\nContent-Length: " +
                      (calls.value() == 1 ? "100" : "15") +
                      "\r\n\r\nid: " + id + "\ndata: " + id + "\n\n");
        });
    it.store.put("servers", "raw-2", it.entry(2));
    BOOST_TEST_REQUIRE(eventually(
        [&] {
            return it.gateway->log().find("\"known\":2") != std::string::npos;
        }));
    const auto response =
        it.gateway->call(sample_request("POST", "/s/x", "t1", "x"));
    BOOST_TEST(calls.value() == 2);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(!response.complete);
    BOOST_TEST(response.body.find("id: 2") == std::string::npos);
}
