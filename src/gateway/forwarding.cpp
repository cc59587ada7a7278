#include "gateway/forwarding.hpp"

#include "gateway/client_connection.hpp"
#include "gateway/http_text.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace galenapulley
{

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace
{

/// Endpoints accept a connection within a few milliseconds. TCP retransmits a
/// lost SYN only after a second, which is too long to wait for.
constexpr msec connect_timeout = 400;

retry_reason reason_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::unreachable:
        return retry_reason::connect_failed;
    case attempt_outcome::memory_refused:
        return retry_reason::memory_refused;
    case attempt_outcome::paused:
        return retry_reason::paused;
    case attempt_outcome::handover_refused:
        return retry_reason::handover_refused;
    default:
        return retry_reason::back_end_failed;
    }
}

std::string_view content_type_of(const header_list& headers)
{
    for (const auto& [name, value] : headers)
        if (same_header(name, "content-type"))
            return value;
    return {};
}

} // namespace

forwarding::forwarding(traffic_state& state, client_connection& client,
                       admitted_request request)
    : state_(state)
    , client_(client)
    , request_(std::move(request))
    , deadline_timer_(state.io)
    , wake_(state.io)
    , runs_(request_.metadata.relayed_runs.value_or(0))
    , has_arrived_(runs_ > 0)
    , keep_alive_(!client.closes_after(request_.received))
    , last_event_(request_.metadata.last_event)
{
}

forwarding::~forwarding()
{
    deadline_timer_.cancel();
    stop_stall_watch();
    if (reservation_)
        reservation_->release();
}

void forwarding::on_client_gone()
{
    end(end_reason::client_gone);
}

void forwarding::on_node_ending()
{
    end(end_reason::node_ending);
}

void forwarding::end(end_reason reason)
{
    if (end_ == end_reason::none)
        end_ = reason;
    if (connection_)
        connection_->cancel();
    wake_.cancel();
}

void forwarding::start_deadline_timer()
{
    deadline_timer_.expires_after(
        std::chrono::milliseconds(std::max(time_left(), 0_ms)));
    deadline_timer_.async_wait(
        [this, alive = std::weak_ptr<void>(alive_)](
            const boost::system::error_code& ec)
        {
            // A timer that has fired already can't be cancelled any more.
            if (!ec && !alive.expired())
                end(end_reason::deadline_passed);
        });
}

asio::awaitable<bool> forwarding::run()
{
    start_deadline_timer();
    while (end_ == end_reason::none)
    {
        auto result = co_await request_dispatch();
        if (!result)
            break;
        if (auto* const refusal = std::get_if<dispatch_refusal>(&*result))
            co_return co_await send_refusal(std::move(*refusal));
        auto next = next_action::fail;
        if (auto* const to = std::get_if<handover>(&*result))
            next = co_await run_handover(std::move(*to));
        else
            next = co_await run_attempt(
                std::get<dispatch_grant>(*std::move(result)));
        if (next == next_action::finished)
            co_return keep_alive_ && !client_.client_gone();
        if (next == next_action::fail)
            co_return co_await send_last_outcome();
    }
    co_return co_await handle_early_end();
}

dispatch_request forwarding::make_dispatch_request(std::uint64_t id) const
{
    const auto& metadata = request_.metadata;
    return {.id = id,
            .attempt = metadata.attempt,
            .table = request_.table,
            .matched_route = request_.matched_route,
            .service = request_.service,
            .account = request_.account,
            .priority = request_.priority,
            .prompt_tokens = metadata.prompt_tokens,
            .output_tokens = metadata.expected_output_tokens.value_or(
                metadata.max_output_tokens),
            .received_at = request_.received.received_at,
            .deadline = request_.deadline,
            .fingerprint = request_.fingerprint,
            .shared_parts = metadata.shared_parts,
            .tried = tried_,
            .is_retry = has_arrived_,
            .is_relayed = metadata.relayed_runs.has_value(),
            .may_hand_over =
                !metadata.relayed_runs && handovers_ < max_handovers};
}

std::shared_ptr<forwarding::pending_result>
forwarding::send_dispatch_request(std::uint64_t id)
{
    auto pending = std::make_shared<pending_result>();
    pending->wake = &wake_;
    state_.dispatch.request(
        make_dispatch_request(id),
        [pending, id,
         &dispatch = state_.dispatch](const dispatch_result& result)
        {
            if (pending->wake != nullptr)
            {
                pending->result = result;
                pending->wake->cancel();
            }
            // The request has ended meanwhile; its slot is released.
            else if (!std::holds_alternative<dispatch_refusal>(result))
                dispatch.on_finished(id,
                                     {.outcome = attempt_outcome::client_gone});
        });
    return pending;
}

asio::awaitable<std::optional<dispatch_result>> forwarding::request_dispatch()
{
    const auto id = ++state_.next_request;
    dispatch_id_ = id;
    wake_.expires_at(std::chrono::steady_clock::time_point::max());
    const auto pending = send_dispatch_request(id);
    boost::system::error_code ec;
    co_await wake_.async_wait(redirect_error(use_awaitable, ec));
    pending->wake = nullptr;
    if (!pending->result)
    {
        state_.dispatch.cancel(id);
        co_return std::nullopt;
    }
    if (end_ != end_reason::none &&
        !std::holds_alternative<dispatch_refusal>(*pending->result))
    {
        state_.dispatch.on_finished(id,
                                    {.outcome = attempt_outcome::client_gone});
        co_return std::nullopt;
    }
    co_return std::move(pending->result);
}

asio::awaitable<msec> forwarding::request_pause()
{
    auto pending = std::make_shared<pending_pause>();
    pending->wake = &wake_;
    wake_.expires_at(std::chrono::steady_clock::time_point::max());
    state_.dispatch.request_pause(request_.service,
                                  [pending](msec left)
                                  {
                                      pending->left = left;
                                      if (pending->wake != nullptr)
                                          pending->wake->cancel();
                                  });
    boost::system::error_code ec;
    co_await wake_.async_wait(redirect_error(use_awaitable, ec));
    pending->wake = nullptr;
    co_return pending->left;
}

asio::awaitable<forwarding::next_action>
forwarding::run_attempt(dispatch_grant grant)
{
    placed_at_ = now();
    endpoint_heard_at_ = placed_at_;
    ++attempts_;
    if (attempts_ == 1)
        state_.metrics.observe(request_stage::placement,
                               placed_at_ - request_.received.received_at);
    at_fault_ = 0;
    connected_ = false;
    const auto events_before = events_sent_;
    expected_first_token_ms_ = grant.expected_first_token_ms;
    connection_ = std::make_shared<endpoint_connection>(state_.io);
    auto outcome = attempt_outcome::completed;
    if (grant.needs_reservation)
        outcome = co_await reserve_memory(grant);
    if (outcome == attempt_outcome::completed)
        outcome = co_await exchange(grant);
    stop_stall_watch();
    connection_->cancel();
    connection_.reset();
    if (reservation_)
        release_memory(outcome);
    state_.metrics.count(outcome);
    state_.dispatch.on_finished(dispatch_id_,
                                {.outcome = outcome,
                                 .at_fault = at_fault_,
                                 .events = events_sent_ - events_before,
                                 .connected = connected_});
    tried_.push_back(at_fault_ == 0 ? grant.key : at_fault_);
    last_outcome_ = outcome;
    const auto next = action_after(outcome);
    if (next == next_action::retry)
        record_retry(grant.primary.id, outcome);
    co_return next;
}

void forwarding::record_retry(std::string_view target,
                              attempt_outcome outcome) const
{
    const bool resumes = events_sent_ > 0;
    state_.count.count(resumes ? retry_reason::stream_resumed
                               : reason_of(outcome));
    state_.log.write(
        resumes ? log_event::resumed : log_event::retried,
        {{"request", std::string_view(request_.metadata.attempt)},
         {"endpoint", target},
         {"outcome", name_of(outcome)},
         {"calls", static_cast<std::int64_t>(attempts_)},
         {"after_event", static_cast<std::int64_t>(last_event_.value_or(0))},
         {"left_ms", time_left()}});
}

std::string forwarding::endpoint_request(const dispatch_grant& grant) const
{
    forwarding_metadata metadata{.endpoint = grant.primary.id,
                                 .account = request_.account,
                                 .time_left = std::max(time_left(), 1_ms),
                                 .last_event = last_event_};
    for (const auto& it : grant.helpers)
        metadata.helpers.emplace_back(it.address, it.reservation);
    return request_text(
        request_.received.method, request_.received.target,
        state_.format.endpoint_headers(request_.received.headers, metadata),
        request_.received.body);
}

asio::awaitable<attempt_outcome>
forwarding::exchange(const dispatch_grant& grant)
{
    const auto connected =
        co_await connection_->connect(grant.primary.address, connect_timeout);
    if (connected == connection_result::unreachable)
        co_return attempt_outcome::unreachable;
    if (connected != connection_result::done)
        co_return outcome_of(connected);
    connected_ = true;
    if (reservation_)
        connection_->limit_silence(reservation_->silence_limit());
    if (is_paused(grant))
        co_return attempt_outcome::paused;
    auto text = endpoint_request(grant);
    has_arrived_ = true;
    start_stall_watch(grant);
    endpoint_heard_at_ = now();
    const auto head = co_await connection_->exchange_head(
        std::move(text), request_.received.method == "HEAD", read_timeout());
    if (head != connection_result::done)
    {
        may_have_run_ = true;
        ++runs_;
        co_return outcome_of(head);
    }
    endpoint_heard_at_ = now();
    auto headers = connection_->headers();
    const auto metadata =
        state_.format.read_response(connection_->status(), headers);
    record_fault(grant, metadata);
    record_announcement(grant, metadata);
    co_return co_await handle_head(metadata, std::move(headers));
}

void forwarding::start_stall_watch(const dispatch_grant& grant)
{
    const auto& matched_route = *request_.matched_route;
    if (!matched_route.retryable() || runs_ + 1 >= matched_route.max_attempts)
        return;
    stall_watch_ = std::make_shared<stall_watch>(
        state_.io, grant.primary.address,
        [connection = connection_] { connection->expire(); });
    stall_watch_->on_progress();
}

void forwarding::stop_stall_watch()
{
    if (stall_watch_)
        std::exchange(stall_watch_, nullptr)->stop();
}

asio::awaitable<attempt_outcome>
forwarding::handle_head(const response_metadata& metadata, header_list headers)
{
    const bool own = is_own_response(metadata);
    // A refusal of another attempt proves nothing about this one.
    if (own && metadata.replaced)
        co_return attempt_outcome::replaced;
    if (own && metadata.not_run)
        co_return attempt_outcome::not_run;
    may_have_run_ = true;
    ++runs_;
    endpoint_status_ = connection_->status();
    const bool success =
        connection_->status() >= 200 && connection_->status() < 300;
    if (!own || (success && !metadata.is_signed))
        co_return attempt_outcome::invalid_response;
    if (success && is_stream(headers))
        co_return co_await relay_stream(std::move(headers));
    const auto outcome = outcome_of_status(connection_->status());
    // Nothing but events may follow in a stream that has begun.
    if (head_sent_)
        co_return outcome == attempt_outcome::completed
            ? attempt_outcome::invalid_response
            : outcome;
    if (outcome == attempt_outcome::completed || may_relay(outcome))
        co_return co_await relay_buffered(std::move(headers), outcome);
    co_return outcome;
}

bool forwarding::is_paused(const dispatch_grant& grant) const
{
    const auto& announcements = state_.dispatch.announcements();
    const auto at = now();
    return announcements.is_paused(grant.key, at) ||
           std::any_of(grant.helpers.begin(), grant.helpers.end(),
                       [&announcements, at](const helper& it)
                       { return announcements.is_paused(it.key, at); });
}

bool forwarding::is_own_response(const response_metadata& metadata) const
{
    return metadata.attempt.empty() ||
           metadata.attempt == request_.metadata.attempt;
}

void forwarding::record_announcement(const dispatch_grant& grant,
                                     const response_metadata& metadata) const
{
    if (metadata.replaced || !is_own_response(metadata))
        return;
    const auto& announced = metadata.announcement;
    if (announced.retry_after)
        state_.log.write(
            log_event::pause_requested,
            {{"request", std::string_view(request_.metadata.attempt)},
             {"endpoint", std::string_view(grant.primary.id)},
             {"retry_after_ms", *announced.retry_after},
             {"reported_by", std::string_view()}});
    state_.dispatch.on_announcement(grant.key, announced, now());
}

bool forwarding::is_stream(const header_list& headers) const
{
    return content_type_of(headers).substr(0, 17) == "text/event-stream";
}

} // namespace galenapulley
