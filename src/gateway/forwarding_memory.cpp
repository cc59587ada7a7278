#include "gateway/forwarding.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <chrono>
#include <utility>
#include <vector>

// Memory reservations for prompts that don't fit one endpoint.

namespace galenapulley
{

namespace asio = boost::asio;

void forwarding::start_reservation(dispatch_grant& grant)
{
    std::vector<helper> holders;
    for (auto& it : grant.helpers)
    {
        if (it.reserved_tokens <= 0)
            continue;
        it.reservation = fmt::format("{:x}-{:x}", dispatch_id_, it.key);
        holders.push_back(it);
    }
    reservation_ =
        std::make_shared<memory_reservation>(state_, std::move(holders));
    wake_.expires_at(std::chrono::steady_clock::time_point::max());
    reservation_->reserve([this] { wake_.cancel(); });
}

asio::awaitable<attempt_outcome>
forwarding::reserve_memory(dispatch_grant& grant)
{
    start_reservation(grant);
    boost::system::error_code ec;
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return outcome_of_reservation();
}

attempt_outcome forwarding::outcome_of_reservation()
{
    if (end_ != end_reason::none)
        return end_ == end_reason::client_gone ? attempt_outcome::client_gone
                                               : attempt_outcome::timed_out;
    const auto* const failed = reservation_->failed();
    state_.log.write(
        failed == nullptr ? log_event::memory_reserved
                          : log_event::memory_refused,
        {{"request", std::string_view(request_.metadata.attempt)},
         {"endpoint", failed == nullptr ? std::string_view()
                                        : std::string_view(failed->id)},
         {"answered", static_cast<std::int64_t>(failed == nullptr ||
                                                reservation_->was_refused())},
         {"holders", static_cast<std::int64_t>(reservation_->size())},
         {"tokens", reservation_->tokens()},
         {"ms", now() - placed_at_}});
    if (failed == nullptr)
        return attempt_outcome::completed;
    at_fault_ = failed->key;
    return reservation_->was_refused() ? attempt_outcome::memory_refused
                                       : attempt_outcome::unreachable;
}

void forwarding::release_memory(attempt_outcome outcome)
{
    const auto at = now();
    state_.log.write(
        log_event::memory_released,
        {{"request", std::string_view(request_.metadata.attempt)},
         {"outcome", name_of(outcome)},
         {"holders", static_cast<std::int64_t>(reservation_->size())},
         {"tokens", reservation_->tokens()},
         {"ms", at - placed_at_},
         {"silent_ms", at - endpoint_heard_at_}});
    std::exchange(reservation_, nullptr)->release();
}

void forwarding::record_fault(const dispatch_grant& grant,
                              const response_metadata& metadata)
{
    for (const auto& it : grant.helpers)
        if (metadata.at_fault == it.id || metadata.at_fault == it.address)
            at_fault_ = it.key;
}

} // namespace galenapulley
