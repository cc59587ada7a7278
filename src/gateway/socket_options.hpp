#pragma once

#include "galenapulley/clock.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace galenapulley
{

/// Parses "IP:port".
std::optional<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& text);

/// Whether the text is "IP:port" with a port that a listener may have.
bool is_connectable(const std::string& address);

/// Sets TCP_NODELAY, and a short TCP_USER_TIMEOUT so that the loss of the peer
/// is detected early.
void set_options(boost::asio::ip::tcp::socket& socket);

/// Bounds the bytes that the socket keeps until the process reads them. To be
/// called before the socket connects.
void limit_received_bytes(boost::asio::ip::tcp::socket& socket);

/// Bounds the bytes that the kernel keeps, both ways, for each connection that
/// is accepted. To be called before the acceptor listens.
void limit_kernel_buffers(boost::asio::ip::tcp::acceptor& acceptor);

/// Bytes that the peer has not acknowledged yet.
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

/// Has the next close drop what the peer has not read, which the kernel would
/// keep otherwise.
void drop_at_close(boost::asio::ip::tcp::socket& socket);

/// Closes the connection once the peer's host has acknowledged nothing for
/// about `limit`, which should be some seconds. An idle connection is probed
/// with TCP keep-alives, which a host answers however busy its processes are.
void set_silence_limit(boost::asio::ip::tcp::socket& socket, msec limit);

} // namespace galenapulley
