#include "gateway/endpoint_connection.hpp"

#include "gateway/socket_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <chrono>
#include <limits>
#include <utility>

namespace galenapulley
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;

namespace
{

constexpr std::uint32_t max_head_bytes = 32 * 1024;
constexpr unsigned min_status = 200;
constexpr unsigned max_status = 599;
constexpr std::size_t read_bytes = std::size_t{8} * 1024;

/// Whether the parser has rejected the bytes, and not the connection ended.
bool is_invalid_response(const boost::system::error_code& ec)
{
    const boost::system::error_code parser_error = http::error::bad_version;
    return ec.category() == parser_error.category() &&
           ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

} // namespace

endpoint_connection::endpoint_connection(asio::io_context& io)
    : socket_(io)
    , timer_(io)
    , in_(max_buffered_bytes)
    , parser_(std::make_unique<parser>())
{
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

void endpoint_connection::start_timer(msec limit)
{
    expired_ = false;
    timer_.expires_after(std::chrono::milliseconds(std::max(limit, 1_ms)));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& ec)
        {
            if (!ec)
                self->expire();
        });
}

void endpoint_connection::expire()
{
    expired_ = true;
    close();
}

void endpoint_connection::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void endpoint_connection::cancel()
{
    cancelled_ = true;
    timer_.cancel();
    close();
}

connection_result
endpoint_connection::result_of(const boost::system::error_code& ec) const
{
    if (cancelled_)
        return connection_result::cancelled;
    if (expired_)
        return connection_result::timed_out;
    if (!ec)
        return connection_result::done;
    return is_invalid_response(ec) ? connection_result::invalid
                                   : connection_result::broken;
}

asio::awaitable<connection_result>
endpoint_connection::connect(const std::string& address, msec limit)
{
    const auto peer = parse_address(address);
    if (!peer || cancelled_)
        co_return cancelled_ ? connection_result::cancelled
                             : connection_result::unreachable;
    start_timer(limit);
    boost::system::error_code ec;
    socket_.open(asio::ip::tcp::v4(), ec);
    limit_received_bytes(socket_);
    if (!ec)
        co_await socket_.async_connect(*peer,
                                       redirect_error(use_awaitable, ec));
    timer_.cancel();
    if (cancelled_)
        co_return connection_result::cancelled;
    if (ec || expired_)
        co_return connection_result::unreachable;
    set_options(socket_);
    co_return connection_result::done;
}

void endpoint_connection::limit_silence(msec limit)
{
    set_silence_limit(socket_, limit);
}

asio::awaitable<connection_result>
endpoint_connection::exchange_head(std::string request, bool head_only,
                                   msec limit)
{
    out_ = std::move(request);
    sent_ = true;
    // Not awaited: an endpoint may respond before it has read a long body.
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](
                          const boost::system::error_code& ec, std::size_t)
                      {
                          self->out_ = std::string();
                          self->request_sent_ = !ec;
                      });
    start_timer(limit);
    parser_->skip(head_only);
    boost::system::error_code ec;
    co_await http::async_read_header(socket_, in_, *parser_,
                                     redirect_error(use_awaitable, ec));
    timer_.cancel();
    const auto result = result_of(ec);
    if (result != connection_result::done)
        co_return result;
    // The request doesn't ask for an interim (1xx) response.
    const auto code = parser_->get().result_int();
    co_return code<min_status || code> max_status ? connection_result::invalid
                                                  : connection_result::done;
}

asio::awaitable<connection_result>
endpoint_connection::read_some(std::string& out, msec limit)
{
    if (parser_->is_done())
        co_return connection_result::done;
    std::array<char, read_bytes> buf;
    auto& body = parser_->get().body();
    body.data = buf.data();
    body.size = buf.size();
    body.more = true;
    start_timer(limit);
    boost::system::error_code ec;
    co_await http::async_read_some(socket_, in_, *parser_,
                                   redirect_error(use_awaitable, ec));
    timer_.cancel();
    out.append(buf.data(), buf.size() - body.size);
    if (ec == http::error::need_buffer)
        ec = {};
    const auto result = result_of(ec);
    // The kernel reports a reset once, and the pending write may get it; the
    // read then sees an ordinary end. An endpoint that ends the connection
    // before it has the request may have been reset as well.
    const bool ends_here = parser_->is_done() && parser_->need_eof();
    co_return result == connection_result::done&& ends_here && !request_sent_
        ? connection_result::broken
        : result;
}

int endpoint_connection::status() const
{
    return static_cast<int>(parser_->get().result_int());
}

std::string endpoint_connection::reason() const
{
    const auto text = parser_->get().reason();
    return {text.data(), text.size()};
}

header_list endpoint_connection::headers() const
{
    header_list out;
    for (const auto& it : parser_->get())
        out.emplace_back(std::string(it.name_string()),
                         std::string(it.value()));
    return out;
}

} // namespace galenapulley
