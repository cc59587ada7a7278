#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Pistache::Tcp
{
class Listener;
}

namespace galenapulley
{

/// A complete HTTP request. Header names are in lower case.
struct http_request
{
    std::string method;
    std::string path;
    /// Raw query string without the question mark.
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;

    const std::string& header(const std::string& name) const;
    /// Value of a query parameter, percent-decoded; empty if absent.
    std::string query_value(const std::string& name) const;
};

struct http_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::string body{};
    std::map<std::string, std::string> headers{};
};

/// One HTTP request in progress. All members may be called from any thread;
/// they run on the connection's worker thread, and do nothing once the response
/// is complete or the client has disconnected.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual void respond(http_response response) = 0;
    /// Begins a chunked response.
    virtual void start_stream(http_response head) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finish_stream() = 0;
    /// Closes the connection without terminating the response, so that the
    /// client sees that it is incomplete.
    virtual void abort() = 0;
    /// Sets the function that is called on the worker thread if the client
    /// disconnects before the response is complete. It is called at once if the
    /// client has already disconnected.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    int workers = 2;
    std::size_t max_request_bytes = std::size_t{16} << 20;
};

/// HTTP server based on Pistache. The handler runs on a worker thread.
class http_server
{
public:
    using handler_type =
        std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    http_server(const http_server_options& options, handler_type handler);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds the address and serves on its own threads. Throws if the address
    /// can't be bound.
    void start();
    void stop();
    std::uint16_t port() const;

private:
    http_server_options options_;
    handler_type handler_;
    std::unique_ptr<Pistache::Tcp::Listener> listener_;
};

} // namespace galenapulley
