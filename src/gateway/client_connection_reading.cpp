#include "gateway/client_connection.hpp"

#include "gateway/forwarding.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

// Reads the requests of a connection.

namespace galenapulley
{

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace
{

/// Limit of the bytes that are read ahead while a request is served
/// (pipelining).
constexpr std::size_t max_pipelined_bytes = std::size_t{256} * 1024;
/// Time for a body to arrive after its head.
constexpr msec body_timeout = 10'000;

std::chrono::milliseconds duration(msec n)
{
    return std::chrono::milliseconds(std::max(n, 0_ms));
}

} // namespace

void client_connection::start_reading()
{
    if (reading_ || disconnected_ || reader_.buffered() >= max_pipelined_bytes)
        return;
    reading_ = true;
    // Only waits: no buffer is lent to a pending operation.
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& ec)
        { self->on_readable(ec); });
}

void client_connection::on_readable(boost::system::error_code ec)
{
    reading_ = false;
    if (!ec)
    {
        auto& landing = state_.landing;
        const auto n = socket_.read_some(asio::buffer(landing), ec);
        reader_.feed({landing.data(), n});
    }
    if (ec && ec != asio::error::would_block)
    {
        disconnected_ = true;
        if (forwarded_ != nullptr)
            forwarded_->on_client_gone();
    }
    else if (serving_)
        start_reading();
    wake_.cancel();
}

asio::awaitable<bool> client_connection::wait_for_bytes(msec limit)
{
    start_reading();
    boost::system::error_code ec;
    wake_.expires_after(duration(limit));
    co_await wake_.async_wait(redirect_error(use_awaitable, ec));
    co_return ec == asio::error::operation_aborted;
}

client_limits client_connection::limits() const
{
    return state_.routing ? state_.routing->limits() : client_limits{};
}

read_state client_connection::read_buffered()
{
    const auto bounds = limits();
    return reader_.read(
        {.header_bytes = bounds.header_bytes, .body_bytes = bounds.body_bytes});
}

asio::awaitable<bool> client_connection::wait_for_request()
{
    const auto idle_end = state_.time.now() + limits().idle_timeout;
    while (read_buffered() == read_state::idle)
    {
        const auto left = idle_end - state_.time.now();
        // While the node stops, a new connection is still served one request.
        if (disconnected_ || (state_.stopping && served_) || left <= 0)
            co_return false;
        co_await wait_for_bytes(left);
    }
    co_return true;
}

asio::awaitable<std::optional<client_request>> client_connection::read_request()
{
    if (!co_await wait_for_request())
        co_return std::nullopt;
    const auto received_at = state_.time.now();
    if (!co_await read_message())
        co_return std::nullopt;
    auto out = reader_.take();
    out.received_at = received_at;
    co_return out;
}

asio::awaitable<bool> client_connection::read_message()
{
    auto time_limit = state_.time.now() + limits().header_timeout;
    bool had_header = false;
    for (;;)
    {
        const auto state = read_buffered();
        if (state == read_state::complete)
            co_return true;
        if (state == read_state::failed)
        {
            co_await reject();
            co_return false;
        }
        if (state == read_state::body && !had_header)
        {
            had_header = true;
            time_limit = state_.time.now() + body_timeout;
            std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
            if (reader_.expects_continue() &&
                !co_await write(std::move(interim)))
                co_return false;
        }
        if (disconnected_)
            co_return false;
        const auto left = time_limit - state_.time.now();
        if (left <= 0)
        {
            co_await refuse_late();
            co_return false;
        }
        co_await wait_for_bytes(left);
    }
}

asio::awaitable<void> client_connection::refuse_late()
{
    co_await refuse(error_kind::request_timeout,
                    "the request did not arrive in time", 0, false);
}

asio::awaitable<void> client_connection::reject()
{
    const auto kind = reader_.failure();
    const auto reason = reader_.failure_reason();
    // Only this one may succeed when it is repeated.
    const bool refused = kind == error_kind::overloaded;
    if (refused)
        log_refusal(kind, reason);
    co_await refuse(kind, std::string(reason),
                    refused ? error_response_for(kind).retry_after : 0, false);
}

} // namespace galenapulley
