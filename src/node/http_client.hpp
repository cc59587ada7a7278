#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenapulley
{

enum class transfer_error
{
    none,
    /// The connection was never opened, so nothing was sent.
    not_connected,
    /// The connection broke, or the body ended early.
    broken,
    timed_out,
    cancelled
};

struct http_call
{
    std::string method = "GET";
    std::string url{};
    std::map<std::string, std::string> headers{};
    std::string body{};
    msec connect_timeout = 1000;
    /// Limit for the whole call, connecting included.
    msec timeout = 5000;
    /// Lets the call use a kept connection. Only for calls that may run twice:
    /// libcurl sends a request again when a kept connection was closed. All
    /// other calls, POST above all, open a connection of their own.
    bool reuse_connection = false;
};

struct http_result
{
    transfer_error error = transfer_error::none;
    int status = 0;
    /// Names are in lower case.
    std::map<std::string, std::string> headers{};
    /// Empty when the body was given to on_data.
    std::string body{};
    /// libcurl's description of the failure; for messages only.
    std::string error_text{};
};

/// HTTP client on a libcurl multi handle with one thread of its own.
/// Callbacks run on that thread; `done` runs exactly once per call, also after
/// cancel() and at destruction.
class http_client
{
public:
    using data_callback = std::function<void(int status, std::string chunk)>;
    using done_callback = std::function<void(http_result)>;

    http_client();
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call and returns its id. With on_data the body is streamed to
    /// it. May be called from any thread.
    std::uint64_t start(http_call call, done_callback done,
                        data_callback on_data = {});
    /// Ends the call and closes its connection. May be called from any thread;
    /// unknown ids are ignored.
    void cancel(std::uint64_t id);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace galenapulley
