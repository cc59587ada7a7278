#include "gateway/endpoint_call.hpp"

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
constexpr std::size_t read_bytes = std::size_t{8} * 1024;

} // namespace

endpoint_call::endpoint_call(asio::io_context& io)
    : socket_(io), timer_(io), parser_(std::make_unique<parser>())
{
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

void endpoint_call::start_timer(msec limit)
{
    expired_ = false;
    timer_.expires_after(std::chrono::milliseconds(std::max(limit, 1_ms)));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& ec)
        {
            if (ec)
                return;
            self->expired_ = true;
            self->close();
        });
}

void endpoint_call::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void endpoint_call::cancel()
{
    cancelled_ = true;
    timer_.cancel();
    close();
}

call_step endpoint_call::step_of(const boost::system::error_code& ec) const
{
    if (cancelled_)
        return call_step::cancelled;
    if (expired_)
        return call_step::timed_out;
    return ec ? call_step::broken : call_step::done;
}

asio::awaitable<call_step> endpoint_call::connect(const std::string& address,
                                                  msec limit)
{
    const auto peer = parse_address(address);
    if (!peer || cancelled_)
        co_return cancelled_ ? call_step::cancelled : call_step::unreachable;
    start_timer(limit);
    boost::system::error_code ec;
    socket_.open(asio::ip::tcp::v4(), ec);
    if (!ec)
        co_await socket_.async_connect(*peer,
                                       redirect_error(use_awaitable, ec));
    timer_.cancel();
    if (cancelled_)
        co_return call_step::cancelled;
    if (ec || expired_)
        co_return call_step::unreachable;
    set_options(socket_);
    co_return call_step::done;
}

asio::awaitable<call_step>
endpoint_call::exchange_head(std::string request, bool head_only, msec limit)
{
    out_ = std::move(request);
    sent_ = true;
    // Not awaited: an endpoint may respond before it has read a long body.
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](
                          const boost::system::error_code&, std::size_t)
                      { self->out_ = std::string(); });
    start_timer(limit);
    parser_->skip(head_only);
    boost::system::error_code ec;
    co_await http::async_read_header(socket_, in_, *parser_,
                                     redirect_error(use_awaitable, ec));
    timer_.cancel();
    const auto step = step_of(ec);
    // The request doesn't ask for an interim (1xx) response.
    if (step == call_step::done && parser_->get().result_int() < 200)
        co_return call_step::broken;
    co_return step;
}

asio::awaitable<call_step> endpoint_call::read_some(std::string& out,
                                                    msec limit)
{
    if (parser_->is_done())
        co_return call_step::done;
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
    co_return step_of(ec);
}

int endpoint_call::status() const
{
    return static_cast<int>(parser_->get().result_int());
}

std::string endpoint_call::reason() const
{
    const auto text = parser_->get().reason();
    return {text.data(), text.size()};
}

header_list endpoint_call::headers() const
{
    header_list out;
    for (const auto& it : parser_->get())
        out.emplace_back(std::string(it.name_string()),
                         std::string(it.value()));
    return out;
}

} // namespace galenapulley
