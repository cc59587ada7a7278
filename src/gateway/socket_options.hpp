#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace galenapulley
{

/// Parses "IP:port".
std::optional<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& text);

/// Options of a connection: no delay of small writes, and an early end when
/// the other machine is gone.
void set_options(boost::asio::ip::tcp::socket& socket);

} // namespace galenapulley
