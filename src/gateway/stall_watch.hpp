#pragma once

#include "galenapulley/clock.hpp"
#include "gateway/endpoint_connection.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace galenapulley
{

/// Tells an endpoint that is silent for a while from one that is lost: after a
/// time without progress it makes a second connection to the endpoint, without
/// a request. A busy endpoint accepts it.
class stall_watch : public std::enable_shared_from_this<stall_watch>
{
public:
    /// `on_lost` is called when the endpoint made no progress and accepts no
    /// connection.
    stall_watch(boost::asio::io_context& io, std::string address,
                std::function<void()> on_lost);

    /// Starts the time without progress, or starts it anew.
    void on_progress();
    /// Must be called before the last reference is dropped.
    void stop();

    /// Time without progress before the endpoint is checked.
    static constexpr msec check_after = 1000;
    /// Longest time that the connection may take to be made.
    static constexpr msec connect_timeout = 400;

private:
    boost::asio::awaitable<void> check(std::uint64_t progress);

    boost::asio::io_context& io_;
    boost::asio::steady_timer timer_;
    std::string address_;
    std::function<void()> on_lost_;
    /// Number of calls of on_progress().
    std::uint64_t progress_ = 0;
    bool stopped_ = false;
};

} // namespace galenapulley
