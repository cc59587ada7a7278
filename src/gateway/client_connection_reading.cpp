#include "gateway/client_connection.hpp"

#include "gateway/forwarding.hpp"
#include "gateway/socket_options.hpp"

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

/// What the kernel may keep for a connection that isn't read.
constexpr std::size_t kernel_bytes = std::size_t{64} * 1024;
/// Input of a client up to this size is kept also where that of all clients
/// exceeds its limit, so that ordinary requests are served beside floods.
constexpr std::size_t small_input_bytes = std::size_t{4} * 1024;
/// Time for a body to arrive after its head.
constexpr msec body_timeout = 10'000;
/// Largest body where none is needed: readiness checks, directory, metrics.
constexpr std::size_t unused_body_bytes = 1024;
/// Time for a client to read that its request was refused. A connection that is
/// closed while it still sends is reset, which may discard the response.
constexpr msec rejection_time = 500;
/// Clients that get this time at once; the kernel keeps what they send.
constexpr std::size_t max_lingering = 64;

std::chrono::milliseconds duration(msec n)
{
    return std::chrono::milliseconds(std::max(n, 0_ms));
}

} // namespace

void client_connection::start_reading()
{
    if (reading_ || disconnected_ || !may_read_on())
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
        if (!draining_)
            reader_.feed({landing.data(), n});
    }
    if (serving_ && !account_input())
    {
        state_.on_limit(client_limit::input_bytes);
        reset();
        return;
    }
    if (ec && ec != asio::error::would_block)
    {
        disconnected_ = true;
        if (forwarded_ != nullptr)
            forwarded_->on_client_gone();
    }
    else if (serving_)
        start_reading();
    if (!draining_ || disconnected_)
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

bool client_connection::may_read_on() const
{
    // A head has to fit in whole.
    return reader_.buffered() <
           std::max(state_.bounds.input_bytes, 2 * limits().header_bytes);
}

bool client_connection::account_input()
{
    const auto bytes =
        reader_.memory() + (may_read_on() ? std::size_t{0} : kernel_bytes);
    state_.input_bytes += bytes - input_bytes_;
    const bool grown = bytes > input_bytes_;
    input_bytes_ = bytes;
    return !grown || bytes <= small_input_bytes ||
           state_.input_bytes <= state_.bounds.input_bytes_total;
}

client_limits client_connection::limits() const
{
    return state_.routing ? state_.routing->limits() : client_limits{};
}

std::size_t client_connection::max_body() const
{
    return role_ == listener_role::traffic
               ? limits().body_bytes
               : std::min(limits().body_bytes, unused_body_bytes);
}

read_state client_connection::read_buffered()
{
    const auto bounds = limits();
    return reader_.read({.header_bytes = bounds.header_bytes,
                         .body_bytes = max_body(),
                         .empty_lines = state_.bounds.empty_lines});
}

asio::awaitable<bool> client_connection::wait_for_request()
{
    const auto idle_end = state_.time.now() + limits().idle_timeout;
    table().set_stage(id_, client_table::stage::idle, state_.time.now());
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
    // A request whose connection was closed meanwhile isn't run.
    if (!co_await read_message() || disconnected_)
        co_return std::nullopt;
    auto out = reader_.take();
    out.received_at = received_at;
    co_return out;
}

asio::awaitable<bool> client_connection::begin_body()
{
    upload_.emplace(reader_.body_length().value_or(0), body_timeout,
                    state_.time.now());
    if (!reader_.expects_continue())
        co_return true;
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    co_return co_await write(std::move(interim));
}

asio::awaitable<bool> client_connection::read_message()
{
    auto time_limit = state_.time.now() + limits().header_timeout;
    upload_.reset();
    table().set_stage(id_, client_table::stage::head, state_.time.now());
    for (;;)
    {
        const auto state = read_buffered();
        if (!account_input())
        {
            co_await refuse_input();
            co_return false;
        }
        if (state == read_state::complete || state == read_state::body)
            table().set_stage(id_, client_table::stage::busy,
                              state_.time.now());
        if (state == read_state::complete)
        {
            upload_.reset();
            co_return true;
        }
        if (state == read_state::failed)
        {
            co_await reject();
            co_return false;
        }
        if (state == read_state::body && !upload_)
        {
            time_limit = state_.time.now() + body_timeout;
            if (!co_await begin_body())
                co_return false;
        }
        if (disconnected_)
            co_return false;
        const auto left = time_limit - state_.time.now();
        if (left <= 0 || upload_given_up_)
        {
            state_.on_limit(upload_given_up_ ? client_limit::body_stalled
                            : upload_        ? client_limit::body_time
                                             : client_limit::head_time);
            co_await refuse_late();
            co_return false;
        }
        co_await wait_for_bytes(left);
    }
}

void client_connection::give_up_stalled_upload()
{
    if (!upload_ || serving_)
        return;
    const auto received = reader_.current().body.size();
    if (!upload_->is_stalled(received, state_.time.now()) ||
        reader_.current().body_memory.size() <= memory_budget::small_body_bytes)
        return;
    upload_given_up_ = true;
    wake_.cancel();
}

void client_connection::stop_reading_request()
{
    rejected_ = true;
    upload_.reset();
    reader_.discard();
    account_input();
}

asio::awaitable<void> client_connection::refuse_late()
{
    stop_reading_request();
    co_await refuse(error_kind::request_timeout,
                    "the request did not arrive in time", 0, false);
}

asio::awaitable<void> client_connection::refuse_input()
{
    constexpr auto kind = error_kind::overloaded;
    stop_reading_request();
    state_.on_limit(client_limit::input_bytes);
    co_await refuse(kind, "no memory for the client's input",
                    error_response_for(kind).retry_after, false);
}

asio::awaitable<void> client_connection::reject()
{
    const auto kind = reader_.failure();
    const auto reason = reader_.failure_reason();
    stop_reading_request();
    if (reader_.exceeded())
        state_.on_limit(*reader_.exceeded());
    // Only a request refused for lack of memory may succeed when repeated.
    const bool refused = kind == error_kind::overloaded;
    if (refused)
        log_refusal(kind, reason);
    co_await refuse(kind, std::string(reason),
                    refused ? error_response_for(kind).retry_after : 0, false);
}

asio::awaitable<void> client_connection::drain()
{
    constexpr msec look_again = 20;
    draining_ = true;
    table().set_stage(id_, client_table::stage::busy, state_.time.now());
    const bool lingers = rejected_ && state_.lingering < max_lingering;
    state_.lingering += lingers ? 1 : 0;
    const auto rejected_until =
        lingers ? state_.time.now() + rejection_time : 0;
    while (!disconnected_ && (unacknowledged_bytes(socket_) > 0 ||
                              state_.time.now() < rejected_until))
    {
        observe_unread();
        co_await wait_for_bytes(look_again);
    }
    state_.lingering -= lingers ? 1 : 0;
    // Nobody reads the rest, which the kernel would go on to keep.
    if (disconnected_ && unacknowledged_bytes(socket_) > 0)
        drop_at_close(socket_);
}

} // namespace galenapulley
