#include "gateway/stall_watch.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>
#include <utility>

namespace galenapulley
{

stall_watch::stall_watch(boost::asio::io_context& io, std::string address,
                         std::function<void()> on_lost)
    : io_(io)
    , timer_(io)
    , address_(std::move(address))
    , on_lost_(std::move(on_lost))
{
}

void stall_watch::on_progress()
{
    const auto progress = ++progress_;
    timer_.expires_after(std::chrono::milliseconds(check_after));
    timer_.async_wait(
        [self = shared_from_this(),
         progress](const boost::system::error_code& ec)
        {
            if (ec || self->stopped_ || self->progress_ != progress)
                return;
            boost::asio::co_spawn(
                self->io_, [self, progress] { return self->check(progress); },
                boost::asio::detached);
        });
}

void stall_watch::stop()
{
    stopped_ = true;
    timer_.cancel();
    on_lost_ = nullptr;
}

boost::asio::awaitable<void> stall_watch::check(std::uint64_t progress)
{
    const auto connection = std::make_shared<endpoint_connection>(io_);
    const auto result = co_await connection->connect(address_, connect_timeout);
    connection->cancel();
    if (stopped_ || progress_ != progress)
        co_return;
    if (result == connection_result::unreachable)
        on_lost_();
    else
        on_progress();
}

} // namespace galenapulley
