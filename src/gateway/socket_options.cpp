#include "gateway/socket_options.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
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
/// Both in seconds.
using keep_alive_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_alive_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_alive_probes =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// By default a socket may hold megabytes.
constexpr int received_bytes = 64 * 1024;
/// Of each direction of a client's connection. The kernel doubles it for its
/// own overhead; at a round trip of 10 ms it allows 3 MB/s.
constexpr int client_bytes = 32 * 1024;

/// Unanswered probes that close a connection; one may be lost.
constexpr int probes_before_close = 2;

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

bool is_connectable(const std::string& address)
{
    const auto parsed = parse_address(address);
    return parsed && parsed->port() != 0;
}

void set_options(asio::ip::tcp::socket& socket)
{
    // Errors are ignored: the connection also works without these options.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(unacknowledged_timeout_ms), ignored);
}

void limit_received_bytes(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(received_bytes),
                      ignored);
}

void limit_kernel_buffers(asio::ip::tcp::acceptor& acceptor)
{
    boost::system::error_code ignored;
    acceptor.set_option(asio::socket_base::receive_buffer_size(client_bytes),
                        ignored);
    acceptor.set_option(asio::socket_base::send_buffer_size(client_bytes),
                        ignored);
}

std::size_t unacknowledged_bytes(asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

void drop_at_close(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void set_silence_limit(asio::ip::tcp::socket& socket, msec limit)
{
    // The idle time before the first probe, and the pause after each probe.
    constexpr msec pauses = probes_before_close + 1;
    const auto pause = std::max(static_cast<int>(limit / pauses / 1_sec), 1);
    // The user timeout also ends probing; it expires before the last pause
    // does.
    const auto unacknowledged = static_cast<int>(limit - limit / (2 * pauses));
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_alive_idle(pause), ignored);
    socket.set_option(keep_alive_interval(pause), ignored);
    socket.set_option(keep_alive_probes(probes_before_close), ignored);
    socket.set_option(user_timeout(unacknowledged), ignored);
}

} // namespace galenapulley
