#include "node/http_client.hpp"

#include "raw_sockets.hpp"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace galenapulley;

namespace
{

http_result result_of(http_client& client, http_call call)
{
    std::promise<http_result> promise;
    client.start(std::move(call), [&promise](http_result result)
                 { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

transfer_error error_after(const std::string& text)
{
    http_client client;
    const raw::responder server({text});
    return result_of(client, {.method = "POST",
                              .url = "http://" + server.address(),
                              .body = "x"})
        .error;
}

} // namespace

// Guards against a lost status, header or body, and against an Expect header,
// which delays a request to a Pistache server by one second.
BOOST_AUTO_TEST_CASE(returns_the_complete_response)
{
    const raw::responder server(
        {"HTTP/1.1 201 Created\r\nX-One: a\r\nX-One: b\r\n"
         "Content-Length: 4\r\n\r\nbody"});
    http_client client;
    const std::string body(100'000, 'b');
    const auto result =
        result_of(client, {.method = "PUT",
                           .url = "http://" + server.address() + "/path",
                           .headers = {{"x-key", "value"}},
                           .body = body});
    BOOST_TEST((result.error == transfer_error::none));
    BOOST_TEST(result.status == 201);
    BOOST_TEST(result.headers.at("x-one") == "a, b");
    BOOST_TEST(result.body == "body");
    const auto request = server.last_request();
    BOOST_TEST(request.rfind("PUT /path HTTP/1.1\r\n", 0) == 0U);
    BOOST_TEST(request.find("x-key: value\r\n") != std::string::npos);
    BOOST_TEST(request.find("Expect") == std::string::npos);
    BOOST_TEST(request.ends_with("\r\n\r\n" + body));
}

// Guards against truncated responses that are reported as complete.
BOOST_AUTO_TEST_CASE(incomplete_responses_are_broken)
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const char* const length = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    const std::vector<std::string> texts{
        "",
        "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 100 Continue\r\n\r\n",
        length,
        length + std::string("12345"),
        chunked,
        chunked + "5\r\n12345\r\n",
        chunked + "5\r\n123",
    };
    for (const auto& it : texts)
        BOOST_TEST((error_after(it) == transfer_error::broken), it);
    BOOST_TEST((error_after(chunked + "2\r\nab\r\n0\r\n\r\n") ==
                transfer_error::none));
}

// Guards against a status that is none and that callers would relay. libcurl
// accepts every status of three digits.
BOOST_AUTO_TEST_CASE(invalid_statuses_are_broken)
{
    for (const auto* it :
         {"000", "099", "100", "600", "999", "20", "2000", "2x0", "-20"})
        BOOST_TEST(
            (error_after(raw::response("body", std::string(it) + " X")) ==
             transfer_error::broken),
            it);
    BOOST_TEST(
        (error_after(raw::response("body", "599 X")) == transfer_error::none));
}

// Guards against a truncated body that is reported as complete because the
// peer ended the connection while the request was still being sent.
BOOST_AUTO_TEST_CASE(end_during_the_upload_is_broken)
{
    constexpr std::size_t long_upload = std::size_t{8} << 20;
    for (const bool half_closes : {false, true})
    {
        const raw::server server(
            [half_closes](const raw::socket& peer)
            {
                constexpr std::chrono::milliseconds delivery_time(200);
                peer.receive();
                peer.send("HTTP/1.1 200 OK\r\n\r\npart");
                std::this_thread::sleep_for(delivery_time);
                if (half_closes)
                {
                    ::shutdown(peer.fd(), SHUT_WR);
                    std::this_thread::sleep_for(delivery_time);
                }
                const linger reset{.l_onoff = 1, .l_linger = 0};
                ::setsockopt(peer.fd(), SOL_SOCKET, SO_LINGER, &reset,
                             sizeof reset);
            });
        http_client client;
        const auto result =
            result_of(client, {.method = "POST",
                               .url = server.url(),
                               .body = std::string(long_upload, 'b')});
        BOOST_TEST((result.error == transfer_error::broken), half_closes);
    }
}

// A response that ends with the connection is complete once the whole request
// was sent.
BOOST_AUTO_TEST_CASE(end_after_the_upload_completes_a_response)
{
    const raw::responder server({"HTTP/1.1 200 OK\r\n\r\nwhole"});
    http_client client;
    for (const std::size_t bytes : {0, 1, 100'000})
    {
        const auto result =
            result_of(client, {.method = "POST",
                               .url = "http://" + server.address(),
                               .body = std::string(bytes, 'b')});
        BOOST_TEST((result.error == transfer_error::none), bytes);
        BOOST_TEST(result.body == "whole");
    }
}

// Guards against "not connected" results for calls that the peer may have
// received, and against other results for calls that never reached it.
BOOST_AUTO_TEST_CASE(distinguishes_unsent_calls)
{
    http_client client;
    auto closed = raw::socket::listening(1);
    const auto port = std::to_string(closed.port());
    closed.close();
    auto result = result_of(
        client, {.method = "POST", .url = "http://127.0.0.1:" + port});
    BOOST_TEST((result.error == transfer_error::not_connected));
    BOOST_TEST(!result.error_text.empty());

    // The kernel drops further connections while the backlog is full.
    const auto full = raw::socket::listening(0);
    const auto first = raw::socket::connected(full.port());
    result = result_of(
        client, {.method = "POST",
                 .url = "http://127.0.0.1:" + std::to_string(full.port()),
                 .connect_timeout = 50,
                 .timeout = 100});
    BOOST_TEST((result.error == transfer_error::not_connected));

    const raw::server silent(
        [](const raw::socket& peer)
        {
            peer.receive_message();
            peer.peer_closed();
        });
    result = result_of(client,
                       {.method = "POST", .url = silent.url(), .timeout = 100});
    BOOST_TEST((result.error == transfer_error::timed_out));
}

// Guards against libcurl silently resending a request when a pooled connection
// was closed: a non-idempotent action would run twice.
BOOST_AUTO_TEST_CASE(request_is_sent_once)
{
    raw::counter requests;
    const raw::server server(
        [&requests](const raw::socket& peer)
        {
            while (!peer.receive_message().empty())
            {
                requests.add();
                if (requests.value() > 1)
                    return;
                peer.send(raw::response("first"));
            }
        });
    http_client client;
    const http_call call{.method = "POST", .url = server.url(), .body = "x"};
    BOOST_TEST((result_of(client, call).error == transfer_error::none));
    BOOST_TEST((result_of(client, call).error == transfer_error::broken));
    BOOST_TEST(requests.value() == 2);
    BOOST_TEST(server.connections() == 2);
}

// Guards against a new connection for every read of the platform.
BOOST_AUTO_TEST_CASE(reuses_connections_on_request)
{
    const raw::server server(
        [](const raw::socket& peer)
        {
            while (!peer.receive_message().empty())
                peer.send(raw::response("x"));
        });
    http_client client;
    for (int n = 0; n < 5; ++n)
        result_of(client, {.url = server.url(), .reuse_connection = true});
    BOOST_TEST(server.connections() == 1);
}

// Guards against buffering a stream until its end.
BOOST_AUTO_TEST_CASE(streams_data_as_it_arrives)
{
    raw::counter received;
    const raw::server server(
        [&received](const raw::socket& peer)
        {
            peer.receive_message();
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "1\r\na\r\n");
            if (received.wait_for(1))
                peer.send("1\r\nb\r\n0\r\n\r\n");
        });
    http_client client;
    std::string text;
    std::promise<http_result> promise;
    client.start(
        {.url = server.url()},
        [&promise](const http_result& result) { promise.set_value(result); },
        [&](int status, const std::string& chunk)
        {
            text += std::to_string(status) + chunk;
            received.add();
        });
    const auto result = promise.get_future().get();
    BOOST_TEST((result.error == transfer_error::none));
    BOOST_TEST(result.body.empty());
    BOOST_TEST(text == "200a200b");
}

// Guards against cancelled calls that keep the back end busy, and against a
// second callback after cancel or destruction.
BOOST_AUTO_TEST_CASE(cancel_closes_the_connection)
{
    raw::counter arrived;
    raw::counter closed;
    raw::counter done;
    const raw::server server(
        [&](const raw::socket& peer)
        {
            peer.receive_message();
            arrived.add();
            if (peer.peer_closed())
                closed.add();
        });
    {
        http_client client;
        const auto count = [&done](const http_result& result)
        {
            if (result.error == transfer_error::cancelled)
                done.add();
        };
        const auto id = client.start({.url = server.url()}, count);
        client.start({.url = server.url()}, count);
        BOOST_TEST(arrived.wait_for(2));
        client.cancel(id);
        client.cancel(id);
        client.cancel(99);
        BOOST_TEST(done.wait_for(1));
        BOOST_TEST(closed.wait_for(1));
    }
    BOOST_TEST(done.value() == 2);
    BOOST_TEST(closed.wait_for(2));
}
