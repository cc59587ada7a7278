#pragma once

#include "gateway/client_connection.hpp"
#include "gateway/traffic_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>

namespace galenapulley
{

/// The listeners and the thread that serves them.
class traffic_server
{
public:
    explicit traffic_server(traffic_state& state);
    ~traffic_server();

    traffic_server(const traffic_server&) = delete;
    traffic_server& operator=(const traffic_server&) = delete;

    /// Throws boost::system::system_error if the address can't be bound.
    void listen(const std::string& address, listener_role role);
    void start();
    /// Ends the thread; requests in progress are aborted.
    void stop();
    /// Runs fn on the traffic thread.
    void post(std::function<void()> fn);
    /// Closes connections on which no request is being served.
    void close_idle();
    /// Has all requests that are being forwarded answered now.
    void end_requests();

private:
    boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor& on,
                                        listener_role role);
    /// Serves a new connection, or refuses it where a limit is reached.
    void admit(boost::asio::ip::tcp::socket socket, listener_role role);
    void close(const client_table::closing& which);
    /// Closes connections whose clients don't read.
    void close_stuck(client_table& among);
    /// Gives up bodies that arrive too slowly if others were refused meanwhile.
    void give_up_stalled_uploads();
    void start_sweep();

    traffic_state& state_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    std::list<boost::asio::ip::tcp::acceptor> acceptors_;
    std::unordered_map<client_table::connection_id,
                       std::weak_ptr<client_connection>>
        connections_;
    client_table::connection_id last_connection_ = 0;
    boost::asio::steady_timer sweep_timer_;
    std::size_t prune_threshold_ = 64;
    /// Uploads refused for lack of memory up to the last sweep.
    std::uint64_t seen_refused_uploads_ = 0;
    std::thread thread_;
};

} // namespace galenapulley
