#include "gateway/traffic_server.hpp"

#include "gateway/socket_options.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace galenapulley
{

namespace asio = boost::asio;

namespace
{

constexpr int accept_backlog = 256;
/// Pause after a failed accept, for example when no descriptor is free.
constexpr std::chrono::milliseconds accept_pause{20};

} // namespace

traffic_server::traffic_server(traffic_state& state)
    : state_(state), work_(asio::make_work_guard(state.io))
{
}

traffic_server::~traffic_server()
{
    stop();
}

void traffic_server::listen(const std::string& address, listener_role role)
{
    const auto parsed = parse_address(address);
    if (!parsed)
        throw std::invalid_argument("invalid address: " + address);
    auto& it = acceptors_.emplace_back(state_.io);
    it.open(parsed->protocol());
    it.set_option(asio::socket_base::reuse_address(true));
    it.bind(*parsed);
    it.listen(accept_backlog);
    asio::co_spawn(state_.io, accept(it, role), asio::detached);
}

asio::awaitable<void> traffic_server::accept(asio::ip::tcp::acceptor& on,
                                             listener_role role)
{
    for (;;)
    {
        boost::system::error_code ec;
        auto socket = co_await on.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !on.is_open())
            co_return;
        if (ec)
        {
            asio::steady_timer timer(state_.io, accept_pause);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        auto connection = std::make_shared<client_connection>(
            state_, std::move(socket), role);
        if (connections_.size() >= prune_threshold_)
        {
            std::erase_if(connections_,
                          [](const auto& it) { return it.expired(); });
            prune_threshold_ = 2 * connections_.size() + 64;
        }
        connections_.push_back(connection);
        asio::co_spawn(
            state_.io, [connection] { return connection->serve(); },
            asio::detached);
    }
}

void traffic_server::start()
{
    thread_ = std::thread([this] { state_.io.run(); });
}

void traffic_server::stop()
{
    state_.io.stop();
    if (thread_.joinable())
        thread_.join();
}

void traffic_server::post(std::function<void()> fn)
{
    asio::post(state_.io, std::move(fn));
}

void traffic_server::close_idle()
{
    for (const auto& it : connections_)
        if (const auto connection = it.lock())
            connection->close_if_idle();
}

void traffic_server::end_requests()
{
    // Ending a request may remove its connection.
    const auto connections = connections_;
    for (const auto& it : connections)
        if (const auto connection = it.lock())
            connection->end_request();
}

} // namespace galenapulley
