#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Raw sockets for tests that need a peer that violates the protocol.
namespace raw
{

constexpr int wait_limit_ms = 5000;

inline sockaddr_in local_address(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A connected or listening socket on 127.0.0.1.
class socket
{
public:
    explicit socket(int fd = -1) : fd_(fd) {}
    socket(socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    socket& operator=(socket&& other) noexcept
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    ~socket() { close(); }

    static socket connected(std::uint16_t port)
    {
        socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto address = local_address(port);
        if (::connect(result.fd_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) != 0)
            throw std::runtime_error("connect failed");
        return result;
    }

    static socket listening(int backlog)
    {
        socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto address = local_address(0);
        if (::bind(result.fd_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) != 0 ||
            ::listen(result.fd_, backlog) != 0)
            throw std::runtime_error("listen failed");
        return result;
    }

    int fd() const { return fd_; }

    std::uint16_t port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    bool readable(int limit_ms) const
    {
        pollfd item{fd_, POLLIN, 0};
        return ::poll(&item, 1, limit_ms) > 0;
    }

    void send(const std::string& text) const
    {
        std::size_t sent = 0;
        while (sent < text.size())
        {
            const auto n = ::send(fd_, text.data() + sent, text.size() - sent,
                                  MSG_NOSIGNAL);
            if (n <= 0)
                return;
            sent += static_cast<std::size_t>(n);
        }
    }

    /// Reads the available bytes; returns nothing at the end of the connection
    /// or if no data arrives within the limit.
    std::string receive(int limit_ms = wait_limit_ms) const
    {
        if (!readable(limit_ms))
            return {};
        std::string buf(64 << 10, '\0');
        const auto n = ::recv(fd_, buf.data(), buf.size(), 0);
        buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return buf;
    }

    /// Reads until the text ends with `end` or the connection ends.
    std::string receive_until(const std::string& end) const
    {
        std::string text;
        while (!text.ends_with(end))
        {
            const auto part = receive();
            if (part.empty())
                break;
            text += part;
        }
        return text;
    }

    std::string receive_all() const { return receive_until("\xff\xff"); }

    /// Reads one HTTP message with a Content-Length body; empty if it is
    /// incomplete.
    std::string receive_message() const
    {
        std::string text;
        for (;;)
        {
            const auto head = text.find("\r\n\r\n");
            if (head != std::string::npos &&
                text.size() >= head + 4 + content_length(text, head))
                return text;
            const auto part = receive();
            if (part.empty())
                return {};
            text += part;
        }
    }

    bool peer_closed() const
    {
        char byte = 0;
        return readable(wait_limit_ms) && ::recv(fd_, &byte, 1, 0) <= 0;
    }

    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

private:
    static std::size_t content_length(std::string text, std::size_t head)
    {
        text.resize(head);
        std::transform(text.begin(), text.end(), text.begin(), ::tolower);
        const auto at = text.find("content-length:");
        return at == std::string::npos
                   ? 0
                   : std::strtoul(text.c_str() + at + 15, nullptr, 10);
    }

    int fd_;
};

/// Runs a function for each accepted connection, each in its own thread.
class server
{
public:
    using script = std::function<void(const socket&)>;

    explicit server(script serve)
        : serve_(std::move(serve))
        , listener_(socket::listening(128))
        , acceptor_([this] { accept_all(); })
    {
    }

    ~server()
    {
        stopping_ = true;
        acceptor_.join();
        for (auto& it : threads_)
            it.join();
    }

    std::uint16_t port() const { return listener_.port(); }
    std::string url(const std::string& path = "/") const
    {
        return "http://127.0.0.1:" + std::to_string(port()) + path;
    }
    int connections() const { return connections_; }

private:
    void accept_all()
    {
        while (!stopping_)
        {
            if (!listener_.readable(20))
                continue;
            const int fd =
                ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            ++connections_;
            threads_.emplace_back([this, peer = socket(fd)] { serve_(peer); });
        }
    }

    script serve_;
    socket listener_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A counter that a test can wait on.
class counter
{
public:
    void add()
    {
        const std::lock_guard lock(mutex_);
        ++n_;
        changed_.notify_all();
    }

    int value() const
    {
        const std::lock_guard lock(mutex_);
        return n_;
    }

    bool wait_for(int n, int limit_ms = wait_limit_ms) const
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::milliseconds(limit_ms),
                                 [&] { return n_ >= n; });
    }

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    int n_ = 0;
};

/// Server that reads one request per connection and sends the given responses
/// in turn, repeating the last one. An empty response closes the connection.
class responder
{
public:
    explicit responder(std::vector<std::string> responses)
        : responses_(std::move(responses))
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

    std::string last_request() const { return requests().back(); }

private:
    std::string next_response(const std::string& request)
    {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
        return responses_[std::min(requests_.size(), responses_.size()) - 1];
    }

    std::vector<std::string> responses_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    server server_{[this](const socket& peer)
                   {
                       peer.send(next_response(peer.receive_message()));
                   }};
};

inline std::string response(const std::string& body,
                            const std::string& status = "200 OK")
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace raw
