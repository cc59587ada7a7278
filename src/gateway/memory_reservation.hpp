#pragma once

#include "gateway/dispatch_request.hpp"
#include "gateway/traffic_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace galenapulley
{

/// Memory reserved for one request at several endpoints. Reservations are short
/// and renewed, so that they expire soon after a node has crashed. Used on the
/// traffic thread.
class memory_reservation
    : public std::enable_shared_from_this<memory_reservation>
{
public:
    memory_reservation(traffic_state& state, std::vector<helper> holders);

    /// Reserves the memory. `done` is called once: when every endpoint has
    /// confirmed, or at the first that has not.
    void reserve(std::function<void()> done);
    /// Whether all endpoints have confirmed.
    bool is_complete() const { return confirmed_ == holders_.size(); }
    /// The first endpoint that has not confirmed; null for none.
    const helper* failed() const { return failed_; }
    std::size_t size() const { return holders_.size(); }
    double tokens() const;
    /// Whether that endpoint refused explicitly.
    bool was_refused() const { return refused_; }

    /// Time after which an endpoint whose host doesn't respond is taken to have
    /// ended the request, so that the memory is free again in time.
    msec silence_limit() const;

    /// Releases all memory, including reservations that are still pending.
    void release();

    /// An order without a response may still take effect this much later.
    static constexpr msec late_order_time = 13'000;

private:
    struct holder_state
    {
        const helper* holder = nullptr;
        /// When the last order to reserve memory got no response.
        std::optional<msec> unclear_at{};
        boost::asio::steady_timer pause;
    };

    boost::asio::awaitable<void>
    keep_reserved(std::shared_ptr<holder_state> item);
    boost::asio::awaitable<void>
    release_holder(std::shared_ptr<holder_state> item);
    boost::asio::awaitable<order_result>
    send_order(std::shared_ptr<holder_state> item, memory_order order);
    memory_order order_for(const helper& holder) const;
    void on_first_result(const helper& holder, order_result result);
    msec now() const { return state_.time.now(); }

    traffic_state& state_;
    std::vector<helper> holders_;
    std::vector<std::shared_ptr<holder_state>> holder_states_;
    std::function<void()> done_;
    std::size_t confirmed_ = 0;
    const helper* failed_ = nullptr;
    bool refused_ = false;
    bool released_ = false;
};

} // namespace galenapulley
