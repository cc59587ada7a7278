#pragma once

#include "galenapulley/clock.hpp"
#include "gateway/wire_format.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace galenapulley
{

/// Result of an operation on the connection.
enum class connection_result
{
    done,
    /// No connection could be made.
    unreachable,
    /// The connection was lost.
    broken,
    /// The bytes received are no response.
    invalid,
    /// The endpoint sent nothing within the time limit.
    timed_out,
    cancelled
};

/// One request to one endpoint on a connection of its own. A new connection
/// costs about a millisecond and rules out that bytes of an earlier response
/// are taken for this one.
class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection>
{
public:
    explicit endpoint_connection(boost::asio::io_context& io);

    boost::asio::awaitable<connection_result>
    connect(const std::string& address, msec limit);
    /// From now on, fails the pending operation once the endpoint's host has
    /// acknowledged nothing for about this time.
    void limit_silence(msec limit);
    /// Sends the request and reads the head of the response, which may arrive
    /// before the whole request is sent.
    boost::asio::awaitable<connection_result>
    exchange_head(std::string request, bool head_only, msec limit);
    /// Appends the next bytes of the body to `out`, or none at its end. The end
    /// of the connection completes a body without a length only if the whole
    /// request was sent.
    boost::asio::awaitable<connection_result> read_some(std::string& out,
                                                        msec limit);
    bool body_complete() const { return parser_->is_done(); }

    int status() const;
    std::string reason() const;
    header_list headers() const;

    /// Cancels the pending operation and closes the connection.
    void cancel();
    /// Ends the pending operation as if its time limit had passed.
    void expire();
    /// Whether the endpoint may have received any of the request.
    bool sent() const { return sent_; }

private:
    /// Limit of what is buffered of a response: the head, or the extension of
    /// a chunk.
    static constexpr std::size_t max_buffered_bytes = std::size_t{32} * 1024;

    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void start_timer(msec limit);
    connection_result result_of(const boost::system::error_code& ec) const;
    void close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    /// Bounded, as an endpoint in trouble may send bytes without end.
    boost::beast::flat_buffer in_;
    std::unique_ptr<parser> parser_;
    std::string out_;
    bool sent_ = false;
    /// The whole request was written without an error.
    bool request_sent_ = false;
    bool expired_ = false;
    bool cancelled_ = false;
};

} // namespace galenapulley
