#include "gateway/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <charconv>

namespace galenapulley
{

namespace asio = boost::asio;

namespace
{

/// A connection is closed when sent data isn't acknowledged within this time;
/// by default TCP would keep it for minutes.
constexpr int unacknowledged_timeout_ms = 4000;

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

std::optional<asio::ip::tcp::endpoint> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(text.substr(0, colon), ec);
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, port);
}

void set_options(asio::ip::tcp::socket& socket)
{
    // Errors are ignored: the connection also works without these options.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(unacknowledged_timeout_ms), ignored);
}

} // namespace galenapulley
