#include "platform/wire_server.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <linux/filter.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <limits>
#include <utility>

namespace galenapulley::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/// The kernel drops all packets for the socket before TCP handles them. Sent
/// data has to be acknowledged first, or the kernel would send it again.
void drop_packets(int socket)
{
    int unacknowledged = 1;
    while (::ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged > 0)
        std::this_thread::yield();
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{.len = 1, .filter = &drop_all};
    ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof program);
}

void accept_packets(int socket)
{
    const int ignored = 0;
    ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &ignored,
                 sizeof ignored);
}

} // namespace

wire_server::wire_server(handler serve)
    : serve_(std::move(serve))
    , acceptor_(io_, {asio::ip::address_v4::loopback(), 0})
{
    const auto local = acceptor_.local_endpoint();
    address_ = "127.0.0.1:" + std::to_string(local.port());
    accepting_ = std::thread([this] { accept(); });
}

wire_server::~wire_server()
{
    stop();
}

void wire_server::go_dark()
{
    drop_packets(acceptor_.native_handle());
    const std::lock_guard lock(mutex_);
    for (const auto& it : sockets_)
        if (const auto socket = it.lock())
            drop_packets(socket->native_handle());
}

void wire_server::come_back()
{
    accept_packets(acceptor_.native_handle());
    const std::lock_guard lock(mutex_);
    for (const auto& it : sockets_)
        if (const auto socket = it.lock())
            accept_packets(socket->native_handle());
}

void wire_server::stop()
{
    if (stopped_.exchange(true))
        return;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    accepting_.join();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    {
        const std::lock_guard lock(mutex_);
        for (const auto& it : sockets_)
            if (const auto socket = it.lock())
                ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    for (auto& it : threads_)
        it.join();
}

void wire_server::accept()
{
    while (!stopped_)
    {
        boost::system::error_code ec;
        auto socket = std::make_shared<wire_socket>(io_);
        acceptor_.accept(*socket, ec);
        if (ec)
            return;
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve_connection(socket); });
    }
}

void wire_server::serve_connection(const std::shared_ptr<wire_socket>& socket)
{
    boost::beast::flat_buffer buf;
    for (bool open = true; open && !stopped_;)
    {
        boost::system::error_code ec;
        http::request_parser<http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        http::read(*socket, buf, parser, ec);
        open = !ec && serve_(*socket, parser.get());
    }
    boost::system::error_code ignored;
    socket->shutdown(wire_socket::shutdown_both, ignored);
}

bool write_bytes(wire_socket& socket, const std::string& bytes)
{
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    return !ec;
}

bool write_json(wire_socket& socket, int status, const std::string& body)
{
    return write_bytes(socket, "HTTP/1.1 " + std::to_string(status) +
                                   " X\r\nContent-Type: application/json\r\n"
                                   "Content-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body);
}

} // namespace galenapulley::testing
