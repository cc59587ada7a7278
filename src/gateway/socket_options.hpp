#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace galenapulley
{

/// Parses "IP:port".
std::optional<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& text);

/// Sets TCP_NODELAY, and a short TCP_USER_TIMEOUT so that the loss of the peer
/// is detected early.
void set_options(boost::asio::ip::tcp::socket& socket);

} // namespace galenapulley
