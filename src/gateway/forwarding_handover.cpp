#include "galenapulley/error_kind.hpp"
#include "gateway/client_connection.hpp"
#include "gateway/forwarding.hpp"
#include "gateway/http_text.hpp"

#include <algorithm>
#include <utility>

// Attempts at other nodes, while this one is partitioned from the endpoints.

namespace galenapulley
{

namespace asio = boost::asio;

namespace
{

constexpr msec peer_connect_timeout = 400;
/// The other node answers keep-alives however long its response takes.
constexpr msec peer_silence_limit = 3000;

/// Whether a response is a node's own and states that the request has not run.
bool is_refusal(int status, const response_metadata& metadata)
{
    return !metadata.is_signed && is_refusal_status(status);
}

} // namespace

std::string forwarding::peer_request() const
{
    const relay_metadata metadata{.time_left = std::max(time_left(), 1_ms),
                                  .runs = runs_,
                                  .last_event = last_event_};
    return request_text(
        request_.received.method, request_.received.target,
        state_.format.relay_headers(request_.received.headers, metadata),
        request_.received.body);
}

asio::awaitable<forwarding::next_action> forwarding::run_handover(handover to)
{
    placed_at_ = now();
    ++handovers_;
    at_fault_ = 0;
    connection_ = std::make_shared<endpoint_connection>(state_.io);
    const auto outcome = co_await exchange_with_peer(to);
    connection_->cancel();
    connection_.reset();
    state_.metrics.count_handover(outcome);
    state_.dispatch.on_finished(dispatch_id_, {.outcome = outcome});
    last_outcome_ = outcome;
    const auto next = action_after(outcome);
    if (next == next_action::retry)
        record_retry(to.node, outcome);
    co_return next;
}

asio::awaitable<attempt_outcome>
forwarding::exchange_with_peer(const handover& to)
{
    const auto connected =
        co_await connection_->connect(to.address, peer_connect_timeout);
    if (connected == connection_result::unreachable)
        co_return attempt_outcome::unreachable;
    if (connected != connection_result::done)
        co_return outcome_of(connected);
    connection_->limit_silence(peer_silence_limit);
    auto text = peer_request();
    const auto head = co_await connection_->exchange_head(
        std::move(text), request_.received.method == "HEAD", until_deadline());
    if (head != connection_result::done)
    {
        use_up_attempts();
        co_return outcome_of(head);
    }
    auto headers = connection_->headers();
    const auto metadata =
        state_.format.read_response(connection_->status(), headers);
    if (is_refusal(connection_->status(), metadata))
        co_return attempt_outcome::handover_refused;
    use_up_attempts();
    co_return co_await handle_head(metadata, std::move(headers));
}

void forwarding::use_up_attempts()
{
    may_have_run_ = true;
    has_arrived_ = true;
    runs_ = std::max(runs_, request_.matched_route->max_attempts);
}

} // namespace galenapulley
