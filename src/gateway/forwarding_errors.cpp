#include "gateway/client_connection.hpp"
#include "gateway/forwarding.hpp"

#include <utility>

// Error responses to requests for which no endpoint's response was relayed.

namespace galenapulley
{

namespace asio = boost::asio;

asio::awaitable<bool> forwarding::send_last_outcome()
{
    if (end_ != end_reason::none)
        co_return co_await handle_early_end();
    switch (last_outcome_)
    {
    case attempt_outcome::not_run:
    case attempt_outcome::replaced:
    case attempt_outcome::unreachable:
    case attempt_outcome::memory_refused:
    case attempt_outcome::paused:
    case attempt_outcome::handover_refused:
        if (!may_have_run())
            co_return co_await send_not_run();
        break;
    default:
        break;
    }
    co_return co_await send_failure(error_kind::back_end_failed,
                                    name_of(last_outcome_), 0);
}

asio::awaitable<bool> forwarding::send_not_run()
{
    const auto pause = co_await request_pause();
    if (end_ != end_reason::none)
        co_return co_await handle_early_end();
    if (pause > 0)
        co_return co_await send_failure(
            error_kind::no_back_end, "all endpoints asked for a pause", pause);
    co_return co_await send_failure(
        error_kind::overloaded, name_of(last_outcome_),
        error_response_for(error_kind::overloaded).retry_after / 4);
}

asio::awaitable<bool> forwarding::send_refusal(dispatch_refusal refusal)
{
    // Other error kinds state that the request has not run, which is unknown
    // once an endpoint had it.
    if (may_have_run())
        co_return co_await send_failure(error_kind::back_end_failed,
                                        refusal.reason, 0);
    co_return co_await send_failure(refusal.kind, refusal.reason,
                                    refusal.retry_after);
}

asio::awaitable<bool> forwarding::handle_early_end()
{
    if (end_ == end_reason::client_gone || client_.client_gone())
    {
        log_end(log_event::cancelled, "client_gone", "");
        client_.abort();
        co_return false;
    }
    if (end_ == end_reason::node_ending)
        co_return co_await send_failure(
            may_have_run() ? error_kind::back_end_failed
                           : error_kind::node_leaving,
            "this node is shutting down",
            error_response_for(error_kind::node_leaving).retry_after);
    if (may_have_run())
        co_return co_await send_failure(error_kind::deadline_exceeded,
                                        "deadline passed at the endpoint", 0);
    co_return co_await send_failure(
        error_kind::overloaded, "deadline passed before an endpoint was found",
        error_response_for(error_kind::overloaded).retry_after / 4);
}

asio::awaitable<bool> forwarding::send_failure(error_kind kind,
                                               std::string_view reason,
                                               msec retry_after)
{
    log_end(log_event::failed, name_of(kind), reason);
    if (head_sent_)
    {
        // The client must be able to tell that the response is incomplete.
        client_.abort();
        co_return false;
    }
    head_sent_ = true;
    std::string message(reason);
    co_return co_await client_.refuse(kind, std::move(message), retry_after,
                                      keep_alive_);
}

void forwarding::log_end(log_event event, std::string_view kind,
                         std::string_view reason) const
{
    const auto spent = now() - request_.received.received_at;
    state_.metrics.observe(request_stage::whole, spent);
    state_.log.write(
        event,
        {{"request", std::string_view(request_.metadata.attempt)},
         {"route", std::string_view(request_.matched_route->name)},
         {"kind", kind},
         {"reason", reason},
         {"ms", spent},
         {"calls", static_cast<std::int64_t>(attempts_)},
         {"last_outcome", name_of(last_outcome_)},
         {"endpoint_status", static_cast<std::int64_t>(endpoint_status_)},
         {"events", static_cast<std::int64_t>(events_sent_)},
         {"longest_pause_ms", longest_gap_},
         {"first_event_ms", first_event_ms_}});
}

} // namespace galenapulley
