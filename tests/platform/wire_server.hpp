#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenapulley::testing
{

using wire_socket = boost::asio::ip::tcp::socket;
using wire_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// HTTP server of a stand-in on a loopback address, with one thread for each
/// connection.
class wire_server
{
public:
    /// Responds to one request on the socket; returns false to close it.
    using handler = std::function<bool(wire_socket&, const wire_request&)>;

    explicit wire_server(handler serve);
    ~wire_server();

    wire_server(const wire_server&) = delete;
    wire_server& operator=(const wire_server&) = delete;

    const std::string& address() const { return address_; }
    /// From now on its TCP acknowledges nothing, like that of a host without
    /// power: open connections stay open without a sign, new ones hang. The
    /// handlers must have stopped writing.
    void go_dark();
    /// Ends go_dark(): open connections go on, new ones are accepted.
    void come_back();
    /// Closes the listener and all connections.
    void stop();

private:
    void accept();
    void serve_connection(const std::shared_ptr<wire_socket>& socket);

    handler serve_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<std::weak_ptr<wire_socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

/// Writes bytes; false if the peer has closed the connection.
bool write_bytes(wire_socket& socket, const std::string& bytes);
/// Writes a response with a JSON body.
bool write_json(wire_socket& socket, int status, const std::string& body);

} // namespace galenapulley::testing
