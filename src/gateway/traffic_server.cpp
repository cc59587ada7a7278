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
/// How often connections with unread responses are looked at.
constexpr std::chrono::milliseconds sweep_period{250};

/// Tells the client, if it can be told at once, that nothing has run.
void refuse(asio::ip::tcp::socket& socket)
{
    static const std::string text =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(text), ignored);
}

} // namespace

traffic_server::traffic_server(traffic_state& state)
    : state_(state)
    , work_(asio::make_work_guard(state.io))
    , sweep_timer_(state.io)
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
    limit_kernel_buffers(it);
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
        admit(std::move(socket), role);
    }
}

void traffic_server::admit(asio::ip::tcp::socket socket, listener_role role)
{
    boost::system::error_code ec;
    const auto peer = socket.remote_endpoint(ec);
    if (ec)
        return;
    const auto id = ++last_connection_;
    const auto verdict = state_.table_of(role).open(
        id, peer.address().to_string(), state_.time.now());
    if (verdict.refused)
    {
        state_.on_limit(*verdict.refused);
        refuse(socket);
        return;
    }
    if (verdict.replaced)
        close(*verdict.replaced);
    auto connection = std::make_shared<client_connection>(
        state_, std::move(socket), role, id);
    if (connections_.size() >= prune_threshold_)
    {
        std::erase_if(connections_,
                      [](const auto& it) { return it.second.expired(); });
        prune_threshold_ = 2 * connections_.size() + 64;
    }
    connections_.emplace(id, connection);
    asio::co_spawn(
        state_.io, [connection] { return connection->serve(); },
        asio::detached);
}

void traffic_server::close(const client_table::closing& which)
{
    const auto it = connections_.find(which.id);
    const auto connection =
        it == connections_.end() ? nullptr : it->second.lock();
    if (connection == nullptr)
        return;
    state_.on_limit(which.cause);
    connection->reset();
}

void traffic_server::close_stuck(client_table& among)
{
    for (const auto id : among.unread())
    {
        const auto it = connections_.find(id);
        if (it == connections_.end())
            continue;
        if (const auto connection = it->second.lock())
            connection->observe_unread();
    }
    for (const auto& it : among.take_stuck(state_.time.now()))
        close(it);
}

void traffic_server::give_up_stalled_uploads()
{
    const auto refused = state_.body_memory.refused_uploads();
    const bool is_short =
        std::exchange(seen_refused_uploads_, refused) != refused;
    if (!is_short)
        return;
    for (const auto& [id, it] : connections_)
        if (const auto connection = it.lock())
            connection->give_up_stalled_upload();
}

void traffic_server::start_sweep()
{
    sweep_timer_.expires_after(sweep_period);
    sweep_timer_.async_wait(
        [this](const boost::system::error_code& ec)
        {
            if (ec)
                return;
            close_stuck(state_.clients);
            close_stuck(state_.operators);
            give_up_stalled_uploads();
            start_sweep();
        });
}

void traffic_server::start()
{
    start_sweep();
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
    for (const auto& [id, it] : connections_)
        if (const auto connection = it.lock())
            connection->close_if_idle();
}

void traffic_server::end_requests()
{
    // Ending a request may remove its connection.
    const auto connections = connections_;
    for (const auto& [id, it] : connections)
        if (const auto connection = it.lock())
            connection->end_request();
}

} // namespace galenapulley
