#pragma once

#include "galenapulley/clients/client_table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Pistache::Tcp
{
class Listener;
}

namespace galenapulley
{

struct accounted_body;
struct client_request;
enum class error_kind;

/// A complete HTTP request. Header names are in lower case.
struct http_request
{
    std::string method;
    std::string path;
    /// Raw query string without the question mark.
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Accounts for the body's memory. Whoever keeps the body, or what was made
    /// of it, keeps this too.
    std::shared_ptr<const accounted_body> body_memory{};

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
    /// Largest body of a request, and largest response that is written at once.
    std::size_t max_body_bytes = std::size_t{16} << 20;
    /// Memory for the bodies of all requests.
    std::size_t body_memory = std::size_t{256} << 20;
    /// Connections of all workers together.
    client_table_options connections{};
    /// Decides by the head of a request whether its large body is read. Called
    /// on a worker thread; null to read all.
    std::function<std::optional<http_response>(const client_request&)>
        check_upload{};
    /// Called on a worker thread for each request that is refused before it
    /// reaches the handler.
    std::function<void(error_kind)> on_refused{};
};

/// HTTP server based on Pistache. The handler runs on a worker thread. Requests
/// are read within limits of size, time and memory; Pistache's own parser,
/// which has a limit per request only, is not used.
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
