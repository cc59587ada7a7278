#include "node/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace galenapulley;

namespace
{

/// More than the kernel buffers of both ends of a loopback connection hold, and
/// less than the largest response that Pistache sends (16 MiB).
constexpr std::size_t large_body_bytes = std::size_t{15} << 20;
constexpr std::size_t stream_chunks = 4096;

std::string large_body()
{
    std::string body(large_body_bytes, ' ');
    for (std::size_t n = 0; n < body.size(); ++n)
        body[n] = static_cast<char>('a' + n % 23);
    return body;
}

class test_client
{
public:
    explicit test_client(std::uint16_t port)
        : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        // Keeps the kernel from buffering the whole response.
        const int receive_bytes = 64 << 10;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
        timeval limit{};
        limit.tv_sec = 5;
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_TEST_REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address)) == 0);
    }
    ~test_client() { close(fd_); }

    test_client(const test_client&) = delete;
    test_client& operator=(const test_client&) = delete;

    void get(const std::string& path)
    {
        const auto text = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        BOOST_TEST_REQUIRE(send(fd_, text.data(), text.size(), 0) ==
                           static_cast<ssize_t>(text.size()));
    }

    /// Waits for the first byte of a response without consuming it.
    bool has_response()
    {
        char byte = 0;
        return recv(fd_, &byte, 1, MSG_PEEK) == 1;
    }

    /// Body of one response; shorter than sent if the connection broke.
    std::string read_body()
    {
        const auto head = read_until("\r\n\r\n");
        const std::string field = "Content-Length: ";
        const auto at = head.find(field);
        if (at != std::string::npos)
            return read_bytes(std::stoul(head.substr(at + field.size())));
        std::string body;
        for (;;)
        {
            const auto line = read_until("\r\n");
            if (line.empty())
                return body;
            const auto n = std::stoul(line, nullptr, 16);
            body += read_bytes(n);
            read_until("\r\n");
            if (n == 0)
                return body;
        }
    }

private:
    bool fill()
    {
        std::string buf(std::size_t{64} << 10, '\0');
        const auto n = recv(fd_, buf.data(), buf.size(), 0);
        if (n > 0)
            received_.append(buf, 0, static_cast<std::size_t>(n));
        return n > 0;
    }

    std::string read_until(const std::string& end)
    {
        std::size_t at = 0;
        while ((at = received_.find(end, position_)) == std::string::npos)
        {
            if (!fill())
                return {};
        }
        auto text = received_.substr(position_, at - position_);
        position_ = at + end.size();
        return text;
    }

    std::string read_bytes(std::size_t count)
    {
        while (received_.size() - position_ < count && fill())
        {
        }
        auto text = received_.substr(position_, count);
        position_ += text.size();
        return text;
    }

    int fd_;
    std::string received_;
    std::size_t position_ = 0;
};

void respond(const http_request& request,
             const std::shared_ptr<http_exchange>& exchange)
{
    http_response response;
    if (request.path == "/small")
    {
        response.body = "small";
        exchange->respond(response);
        return;
    }
    if (request.path == "/large")
    {
        response.body = large_body();
        exchange->respond(response);
        return;
    }
    exchange->start_stream(response);
    const auto body = large_body();
    const auto chunk = body.size() / stream_chunks;
    for (std::size_t n = 0; n < stream_chunks; ++n)
        exchange->write(body.substr(n * chunk, chunk));
    exchange->finish_stream();
}

struct fixture
{
    fixture() : server({.workers = 1}, respond) { server.start(); }

    void check_slow_client(const std::string& path)
    {
        test_client slow(server.port());
        slow.get(path);
        BOOST_TEST_REQUIRE(slow.has_response());

        test_client other(server.port());
        other.get("/small");
        BOOST_TEST_REQUIRE((other.read_body() == "small"));

        BOOST_TEST((slow.read_body() == large_body()));
        // The connection must still be usable.
        slow.get("/small");
        BOOST_TEST((slow.read_body() == "small"));
    }

    http_server server;
};

} // namespace

// Guards against a client that does not read a large response and so blocks the
// worker for all its other clients, and against bytes lost meanwhile.
BOOST_AUTO_TEST_CASE(slow_reader_of_a_response_does_not_block_others)
{
    fixture f;
    f.check_slow_client("/large");
}

// The same for a streamed response.
BOOST_AUTO_TEST_CASE(slow_reader_of_a_stream_does_not_block_others)
{
    fixture f;
    f.check_slow_client("/stream");
}
