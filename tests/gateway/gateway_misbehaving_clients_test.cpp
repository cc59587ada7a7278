#include "gateway/one_gateway.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <list>
#include <sstream>
#include <string>

using namespace galenapulley;
using namespace galenapulley::testing;

// Clients that stay within no limits, a few at a time, with limits lowered in
// the gateway's settings. The tests check neither times nor how many requests
// are served meanwhile.

namespace
{

namespace asio = boost::asio;

constexpr std::size_t memory_mb = 48;
/// The whole process and the kernel's buffers of its clients' connections.
constexpr std::size_t max_memory = memory_mb << 20;
/// Connections of clients that the settings allow.
constexpr std::size_t max_connections = 48;
/// Descriptors beside those: listeners, store, peers and endpoints.
constexpr std::size_t other_descriptors = 80;

/// The limits under test.
std::string lowered_limits()
{
    return nlohmann::json{{"memory_mb", memory_mb},
                          {"client_connections", max_connections},
                          {"client_input_total_kb", 2048},
                          {"client_unread_kb", 2048},
                          {"client_unread_ms", 2000}}
        .dump();
}

std::string sample_limits()
{
    auto out = nlohmann::json::parse(sample_configuration(1));
    out["Limits"]["MaxBodyBytes"] = std::size_t{4} << 20;
    return out.dump();
}

struct misbehaviour
{
    std::string name;
    /// What each client sends first, and then again and again.
    std::string first;
    std::string repeated;
    int rounds = 0;
    std::size_t clients = 60;
    /// Size of the endpoints' responses.
    std::size_t response_bytes = 10;
    /// The clients send no more, as after a power loss or a half-close.
    bool half_closed = false;
};

std::ostream& operator<<(std::ostream& out, const misbehaviour& it)
{
    return out << it.name;
}

std::string repeat(const std::string& text, int n)
{
    std::string out;
    for (int k = 0; k < n; ++k)
        out += text;
    return out;
}

std::vector<misbehaviour> misbehaviours()
{
    const std::string get = "GET /i/x HTTP/1.1\r\nHost: h.example\r\n";
    const std::string filler(8192, 'x');
    const auto whole = sample_request("POST", "/n/x", "t",
                                      std::string(std::size_t{4} << 20, 'x'));
    const auto request = sample_request("GET", "/i/x", "t");
    return {{.name = "endless header lines",
             .first = get,
             .repeated = repeat("X-A: b\r\n", 1024),
             .rounds = 200},
            {.name = "endless header line",
             .first = get + "X-A: ",
             .repeated = filler,
             .rounds = 200},
            {.name = "endless empty lines",
             .repeated = repeat("\r\n", 4096),
             .rounds = 200},
            {.name = "heads byte by byte",
             .first = get,
             .repeated = "x",
             .rounds = 200},
            {.name = "pipelined requests with unread responses",
             .repeated = repeat(request, 50),
             .rounds = 200,
             .response_bytes = std::size_t{64} * 1024},
            {.name = "unread large responses",
             .first = request,
             .rounds = 200,
             .response_bytes = std::size_t{2} << 20},
            {.name = "uploads held at three quarters",
             .first = whole.substr(0, whole.size() * 3 / 4),
             .rounds = 200},
            {.name = "endless chunk extension",
             .first = get + "Transfer-Encoding: chunked\r\n\r\n1;",
             .repeated = filler,
             .rounds = 200},
            {.name = "idle connections", .rounds = 20, .clients = 200},
            {.name = "half a head and silence",
             .first = get,
             .rounds = 20,
             .clients = 200},
            {.name = "half-closed connections",
             .first = get,
             .rounds = 20,
             .clients = 200,
             .half_closed = true}};
}

/// A client that sends without waiting and reads nothing.
class flooding_client
{
public:
    explicit flooding_client(asio::io_context& io, const std::string& address)
        : socket_(io)
    {
        const auto colon = address.rfind(':');
        const asio::ip::tcp::endpoint to(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        boost::system::error_code ignored;
        socket_.open(to.protocol(), ignored);
        // Responses that are not read stay with the gateway.
        socket_.set_option(asio::socket_base::receive_buffer_size(4096),
                           ignored);
        socket_.connect(to, ignored);
        socket_.non_blocking(true, ignored);
    }

    /// Sends what the connection takes now.
    void send(const std::string& bytes)
    {
        if (out_.size() < bytes.size())
            out_ += bytes;
        boost::system::error_code ec;
        const auto n = socket_.write_some(asio::buffer(out_), ec);
        out_.erase(0, n);
    }

    void end_sending()
    {
        boost::system::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

private:
    asio::ip::tcp::socket socket_;
    std::string out_;
};

/// Bytes that the kernel holds for the connections of the listener at the
/// address, both ways.
std::size_t kernel_bytes(const std::string& address)
{
    const auto port = std::stoul(address.substr(address.rfind(':') + 1));
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    std::size_t sum = 0;
    while (std::getline(file, line))
    {
        std::istringstream in(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        in >> number >> local >> remote >> state >> queues;
        constexpr int hexadecimal = 16;
        const auto value = [](const std::string& text)
        {
            return std::stoul(text, nullptr, hexadecimal);
        };
        if (value(local.substr(local.find(':') + 1)) != port)
            continue;
        // The queue of a listener counts connections.
        if (state == "0A")
            continue;
        sum += value(queues.substr(0, queues.find(':'))) +
               value(queues.substr(queues.find(':') + 1));
    }
    return sum;
}

/// The largest values seen while clients misbehave.
struct usage
{
    std::size_t memory = 0;
    std::size_t kernel = 0;
    std::size_t descriptors = 0;

    void observe(gateway_process& gateway)
    {
        kernel = std::max(kernel, kernel_bytes(gateway.traffic()));
        memory = std::max(memory, gateway.process().peak_memory());
        descriptors = std::max(descriptors, gateway.process().descriptors());
    }
};

} // namespace

// Guards against clients that exhaust the memory or the descriptors of the
// process, which ends the requests of all others.
BOOST_DATA_TEST_CASE(misbehaving_clients_are_bounded,
                     boost::unit_test::data::make(misbehaviours()), it)
{
    one_gateway fleet(sample_limits(), lowered_limits());
    auto& gateway = *fleet.gateway;
    fleet.set_both({.slots = 64, .body = std::string(it.response_bytes, 'y')});
    fleet.east.register_entry();
    fleet.west.register_entry();
    pause_for(500);
    usage most;
    asio::io_context io;
    std::list<flooding_client> clients;
    for (std::size_t n = 0; n < it.clients; ++n)
    {
        clients.emplace_back(io, gateway.traffic());
        clients.back().send(it.first);
        if (it.half_closed)
            clients.back().end_sending();
    }
    for (int n = 0; n < it.rounds; ++n)
    {
        for (auto& client : clients)
            client.send(it.repeated);
        if (n % 10 == 0)
            most.observe(gateway);
        pause_for(5);
    }
    most.observe(gateway);
    BOOST_TEST_MESSAGE(it.name << ": memory " << most.memory << ", kernel "
                               << most.kernel << ", descriptors "
                               << most.descriptors);
    BOOST_TEST(gateway.process().running());
    BOOST_TEST(most.memory + most.kernel < max_memory);
    BOOST_TEST(most.descriptors < max_connections + other_descriptors);
    clients.clear();
    fleet.set_both({});
    BOOST_TEST(
        eventually([&] { return status_of(gateway, "/i/x") == 200; }, 10'000));
}
