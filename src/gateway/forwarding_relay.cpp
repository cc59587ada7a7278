#include "galenapulley/byte_chain.hpp"
#include "galenapulley/memory_budget.hpp"
#include "gateway/client_connection.hpp"
#include "gateway/forwarding.hpp"
#include "gateway/http_text.hpp"

#include <algorithm>
#include <utility>

// Relays an endpoint's response to the client.

namespace galenapulley
{

namespace asio = boost::asio;

namespace
{

/// Largest body of a response that is not a stream; it is buffered whole.
constexpr std::size_t max_buffered_response = std::size_t{8} << 20;
/// A stream that sends bytes but completes no event fails after this multiple
/// of the time allowed without any bytes.
constexpr msec partial_event_factor = 2;

/// The endpoint's headers, without those that apply to its connection only.
header_list client_headers(const header_list& headers)
{
    header_list out;
    for (const auto& it : headers)
        if (!is_connection_header(it.first) &&
            !is_named_by_connection(headers, it.first))
            out.push_back(it);
    return out;
}

} // namespace

asio::awaitable<attempt_outcome>
forwarding::relay_buffered(header_list headers, attempt_outcome outcome)
{
    byte_chain body;
    memory_share held(state_.body_memory);
    const bool skip_body = request_.received.method == "HEAD";
    while (!skip_body && !connection_->body_complete())
    {
        std::string bytes;
        const auto result =
            co_await connection_->read_some(bytes, until_deadline());
        if (result == connection_result::done)
            endpoint_heard_at_ = now();
        if (result != connection_result::done)
            co_return outcome_of(result);
        body.append(bytes);
        if (body.size() > max_buffered_response || !held.resize(body.size()))
            co_return attempt_outcome::oversized_response;
    }
    const int status = connection_->status();
    state_.metrics.count_response(status);
    state_.metrics.observe(request_stage::first_event, now() - placed_at_);
    head_sent_ = true;
    auto head =
        response_head(status, connection_->reason(), client_headers(headers),
                      body.size(), keep_alive_);
    const auto sent = co_await client_.write(std::move(head), std::move(body));
    if (!sent)
        co_return attempt_outcome::client_gone;
    response_sent_ = true;
    const bool failed = outcome != attempt_outcome::completed;
    log_end(log_event::answered, failed ? name_of(outcome) : "whole", "");
    co_return outcome;
}

asio::awaitable<bool> forwarding::send_events(const header_list& headers,
                                              const std::string& events)
{
    const auto at = now();
    if (events_sent_ == 0)
    {
        first_event_ms_ = at - request_.received.received_at;
        state_.metrics.observe(request_stage::first_event, at - placed_at_);
    }
    else
        longest_gap_ = std::max(longest_gap_, at - last_event_at_);
    last_event_at_ = at;
    std::string out;
    if (!head_sent_)
    {
        out = response_head(connection_->status(), connection_->reason(),
                            client_headers(headers), std::nullopt, keep_alive_);
        state_.metrics.count_response(connection_->status());
    }
    head_sent_ = true;
    out += chunk(events);
    co_return co_await client_.write(std::move(out));
}

asio::awaitable<attempt_outcome> forwarding::relay_stream(header_list headers)
{
    event_splitter splitter;
    memory_share held(state_.body_memory);
    std::uint64_t received = 0;
    // Bytes that complete no event extend the time for one, but not without
    // end.
    auto event_due_at = now() + partial_event_factor * read_timeout();
    while (!connection_->body_complete())
    {
        std::string bytes;
        const auto result = co_await connection_->read_some(
            bytes, std::min(read_timeout(), event_due_at - now()));
        if (!bytes.empty())
            endpoint_heard_at_ = now();
        const auto events = splitter.feed(bytes);
        if (splitter.is_oversized() || !held.resize(splitter.partial_bytes()))
            co_return attempt_outcome::oversized_response;
        if (!events.empty())
        {
            // A resumed stream must continue with the next event id.
            if (last_event_ && received == 0 &&
                splitter.first_id() != *last_event_ + 1)
                co_return attempt_outcome::invalid_response;
            ++received;
            if (stall_watch_)
                stall_watch_->on_progress();
            if (received == 1)
                state_.dispatch.on_first_token(dispatch_id_);
            if (received == events_of_sound_request &&
                !request_.metadata.shared_parts.empty())
                state_.dispatch.on_sound(dispatch_id_);
            if (!co_await send_events(headers, events))
                co_return attempt_outcome::client_gone;
            if (splitter.last_id())
                last_event_ = splitter.last_id();
            ++events_sent_;
            event_due_at = now() + partial_event_factor * read_timeout();
        }
        if (result != connection_result::done)
            co_return outcome_of(result);
    }
    if (splitter.has_partial())
        co_return attempt_outcome::broken_response;
    std::string end;
    if (!head_sent_)
        end = response_head(connection_->status(), connection_->reason(),
                            client_headers(headers), std::nullopt, keep_alive_);
    head_sent_ = true;
    end += last_chunk;
    if (!co_await client_.write(std::move(end)))
        co_return attempt_outcome::client_gone;
    state_.metrics.observe(request_stage::longest_gap, longest_gap_);
    log_end(log_event::answered, "stream", "");
    co_return attempt_outcome::completed;
}

} // namespace galenapulley
