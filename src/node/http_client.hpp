#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
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
    /// The connection was never established, so nothing was sent.
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
    /// Allows the call to use a pooled connection. Only for calls that may run
    /// twice: libcurl silently resends a request if the peer has closed the
    /// pooled connection. All other calls, in particular POST, open a new one.
    bool reuse_connection = false;
    /// Limit of the head and of the body of the response; a longer one fails
    /// the call as broken. Doesn't apply to a body that is streamed.
    std::size_t max_response_bytes = std::size_t{8} << 20;
};

struct http_result
{
    transfer_error error = transfer_error::none;
    int status = 0;
    /// Names are in lower case.
    std::map<std::string, std::string> headers{};
    /// Empty if the body was passed to on_data.
    std::string body{};
    /// libcurl's description of the failure, for error messages.
    std::string error_text{};
};

/// HTTP client that runs a libcurl multi handle on its own thread. Callbacks
/// run on that thread. `done` runs exactly once per call, also after cancel()
/// and at destruction.
class http_client
{
public:
    using data_callback = std::function<void(int status, std::string chunk)>;
    using done_callback = std::function<void(http_result)>;

    http_client();
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call and returns its id. If on_data is set, the body is
    /// streamed to it. May be called from any thread.
    std::uint64_t start(http_call call, done_callback done,
                        data_callback on_data = {});
    /// Aborts the call and closes its connection. Ignores unknown ids. May be
    /// called from any thread.
    void cancel(std::uint64_t id);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace galenapulley
