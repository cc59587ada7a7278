#include "gateway/memory_reservation.hpp"

#include "gateway/endpoint_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <numeric>
#include <utility>

namespace galenapulley
{

namespace asio = boost::asio;

namespace
{

/// Endpoints respond to orders within milliseconds.
constexpr msec order_timeout = 400;
/// Duration of a reservation as a share of the time within which memory has to
/// be free again; the rest is for the transmission of the order.
constexpr double ttl_share = 0.85;
/// The same share for the silence of the endpoint that runs the request; the
/// rest is for the orders that release the memory.
constexpr double silence_share = 0.75;
/// Renewals within the duration of a reservation; all but one may be lost.
constexpr msec renewals_per_ttl = 3;
/// Pause between release orders, which are repeated until no earlier order to
/// reserve can still take effect.
constexpr msec release_pause = 1500;

asio::awaitable<void> wait(asio::steady_timer& timer, msec span)
{
    timer.expires_after(std::chrono::milliseconds(span));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace

memory_reservation::memory_reservation(traffic_state& state,
                                       std::vector<helper> holders)
    : state_(state), holders_(std::move(holders))
{
}

double memory_reservation::tokens() const
{
    return std::accumulate(holders_.begin(), holders_.end(), 0.0,
                           [](double sum, const helper& it)
                           { return sum + it.reserved_tokens; });
}

memory_order memory_reservation::order_for(const helper& holder) const
{
    const auto span = static_cast<double>(state_.settings.memory_release);
    return {.reservation = holder.reservation,
            .tokens = holder.reserved_tokens,
            .ttl = static_cast<msec>(ttl_share * span),
            .endpoint = holder.id,
            .address = holder.address};
}

void memory_reservation::reserve(std::function<void()> done)
{
    done_ = std::move(done);
    for (const auto& it : holders_)
        holder_states_.push_back(std::make_shared<holder_state>(holder_state{
            .holder = &it, .pause = asio::steady_timer(state_.io)}));
    for (const auto& it : holder_states_)
        asio::co_spawn(
            state_.io,
            [self = shared_from_this(), it] { return self->keep_reserved(it); },
            asio::detached);
}

asio::awaitable<void>
memory_reservation::keep_reserved(std::shared_ptr<holder_state> item)
{
    const auto order = order_for(*item->holder);
    const auto first = co_await send_order(item, order);
    on_first_result(*item->holder, first);
    if (first == order_result::refused)
        co_return;
    while (!released_)
    {
        co_await wait(item->pause, order.ttl / renewals_per_ttl);
        if (!released_)
            co_await send_order(item, order);
    }
    co_await release_holder(item);
}

asio::awaitable<void>
memory_reservation::release_holder(std::shared_ptr<holder_state> item)
{
    auto order = order_for(*item->holder);
    order.tokens = 0;
    // As long as an order to reserve may still take effect, a confirmed
    // release doesn't guarantee that the memory stays free.
    const auto until = item->unclear_at ? *item->unclear_at + late_order_time
                                        : now() + order.ttl;
    for (;;)
    {
        const auto result = co_await send_order(item, order);
        const bool settled =
            !item->unclear_at && result != order_result::unclear;
        if (settled || now() >= until)
            co_return;
        co_await wait(item->pause, release_pause);
    }
}

asio::awaitable<order_result>
memory_reservation::send_order(std::shared_ptr<holder_state> item,
                               memory_order order)
{
    const auto connection = std::make_shared<endpoint_connection>(state_.io);
    auto result = order_result::unclear;
    const auto connected =
        co_await connection->connect(order.address, order_timeout);
    if (connected == connection_result::done)
    {
        auto text = state_.format.order_text(order);
        const auto head = co_await connection->exchange_head(
            std::move(text), false, order_timeout);
        if (head == connection_result::done)
        {
            const auto response = state_.format.read_response(
                connection->status(), connection->headers());
            result =
                response.not_run
                    ? order_result::refused
                    : state_.format.read_order_response(connection->status());
            if (const auto pause = response.announcement.retry_after)
                state_.dispatch.on_pause(item->holder->key, *pause, now());
        }
    }
    connection->cancel();
    state_.metrics.count(result);
    if (result == order_result::unclear && connection->sent() &&
        order.tokens > 0)
    {
        item->unclear_at = now();
    }
    co_return result;
}

void memory_reservation::on_first_result(const helper& holder,
                                         order_result result)
{
    if (result == order_result::done)
        ++confirmed_;
    else if (failed_ == nullptr)
    {
        failed_ = &holder;
        refused_ = result == order_result::refused;
    }
    if ((failed_ != nullptr || is_complete()) && done_)
        std::exchange(done_, nullptr)();
}

msec memory_reservation::silence_limit() const
{
    const auto span = static_cast<double>(state_.settings.memory_release);
    return static_cast<msec>(silence_share * span);
}

void memory_reservation::release()
{
    released_ = true;
    done_ = nullptr;
    for (const auto& it : holder_states_)
        it->pause.cancel();
}

} // namespace galenapulley
