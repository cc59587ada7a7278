#pragma once

#include "galenapulley/event_splitter.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/dispatch_request.hpp"
#include "gateway/endpoint_connection.hpp"
#include "gateway/memory_reservation.hpp"
#include "gateway/stall_watch.hpp"
#include "gateway/traffic_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

class client_connection;

/// Forwards one request to an endpoint, retries it at others where that is
/// allowed, and relays the response to the client.
class forwarding
{
public:
    forwarding(traffic_state& state, client_connection& client,
               admitted_request request);
    ~forwarding();

    forwarding(const forwarding&) = delete;
    forwarding& operator=(const forwarding&) = delete;

    /// Returns whether the client's connection can be kept.
    boost::asio::awaitable<bool> run();
    /// Cancels the request at the endpoint.
    void on_client_gone();
    /// The process ends soon: the client gets its response now.
    void on_node_ending();

private:
    enum class end_reason
    {
        none,
        client_gone,
        deadline_passed,
        node_ending
    };

    /// What follows an attempt at an endpoint.
    enum class next_action
    {
        finished,
        retry,
        fail
    };

    msec now() const { return state_.time.now(); }
    msec time_left() const { return request_.deadline - now(); }
    /// Most nodes that a request is handed over to, one after the other.
    static constexpr std::uint32_t max_handovers = 2;

    void start_deadline_timer();
    void end(end_reason reason);

    struct pending_result
    {
        std::optional<dispatch_result> result;
        /// Null once the request no longer waits for the dispatcher.
        boost::asio::steady_timer* wake = nullptr;
    };
    struct pending_pause
    {
        msec left = 0;
        /// Null once the request no longer waits for the dispatcher.
        boost::asio::steady_timer* wake = nullptr;
    };

    dispatch_request make_dispatch_request(std::uint64_t id) const;
    std::shared_ptr<pending_result> send_dispatch_request(std::uint64_t id);
    boost::asio::awaitable<std::optional<dispatch_result>> request_dispatch();
    /// Time until an endpoint of the service wants requests; 0 if one does now.
    boost::asio::awaitable<msec> request_pause();
    /// `target`: the endpoint or node of the attempt.
    void record_retry(std::string_view target, attempt_outcome outcome) const;
    boost::asio::awaitable<next_action> run_attempt(dispatch_grant grant);
    /// Ends the attempt early if its endpoint is lost and another one may
    /// continue.
    void start_stall_watch(const dispatch_grant& grant);
    void stop_stall_watch();
    /// Has another node serve the request.
    boost::asio::awaitable<next_action> run_handover(handover to);
    boost::asio::awaitable<attempt_outcome>
    exchange_with_peer(const handover& to);
    std::string peer_request() const;
    /// Another node may have made all attempts that the route allows.
    void use_up_attempts();
    boost::asio::awaitable<attempt_outcome>
    reserve_memory(dispatch_grant& grant);
    void start_reservation(dispatch_grant& grant);
    attempt_outcome outcome_of_reservation();
    void release_memory(attempt_outcome outcome);
    void record_fault(const dispatch_grant& grant,
                      const response_metadata& metadata);
    /// Whether an endpoint of the grant wants no requests from this node. It
    /// may have asked for that since the placement.
    bool is_paused(const dispatch_grant& grant) const;
    /// Whether the response names no other attempt than this one.
    bool is_own_response(const response_metadata& metadata) const;
    void record_announcement(const dispatch_grant& grant,
                             const response_metadata& metadata) const;
    boost::asio::awaitable<attempt_outcome>
    exchange(const dispatch_grant& grant);
    boost::asio::awaitable<attempt_outcome>
    handle_head(const response_metadata& metadata, header_list headers);
    /// What a status that isn't proven to mean "not run" says of the attempt.
    static attempt_outcome outcome_of_status(int status);
    /// Whether the client may get the endpoint's own response to an attempt
    /// that failed.
    bool may_relay(attempt_outcome failure) const;
    /// `outcome`: that of the attempt if the response arrives whole.
    boost::asio::awaitable<attempt_outcome>
    relay_buffered(header_list headers, attempt_outcome outcome);
    boost::asio::awaitable<attempt_outcome> relay_stream(header_list headers);
    boost::asio::awaitable<bool> send_events(const header_list& headers,
                                             const std::string& events);
    next_action action_after(attempt_outcome outcome);
    bool may_retry(attempt_outcome outcome) const;
    /// Whether an endpoint may have run any of the request.
    bool may_have_run() const { return may_have_run_; }
    attempt_outcome outcome_of(connection_result result) const;
    /// Time limit of an operation that may last until the request's deadline.
    msec until_deadline() const;
    msec read_timeout() const;
    std::string endpoint_request(const dispatch_grant& grant) const;
    bool is_stream(const header_list& headers) const;

    boost::asio::awaitable<bool>
    send_failure(error_kind kind, std::string_view reason, msec retry_after);
    boost::asio::awaitable<bool> send_refusal(dispatch_refusal refusal);
    boost::asio::awaitable<bool> handle_early_end();
    boost::asio::awaitable<bool> send_last_outcome();
    /// Refuses the request, which no endpoint has run, after an attempt.
    boost::asio::awaitable<bool> send_not_run();
    void log_end(log_event event, std::string_view kind,
                 std::string_view reason) const;

    traffic_state& state_;
    client_connection& client_;
    admitted_request request_;
    boost::asio::steady_timer deadline_timer_;
    /// Expires with this object.
    std::shared_ptr<void> alive_ = std::make_shared<char>();
    /// Wakes run() when the dispatcher has replied or the request ends.
    boost::asio::steady_timer wake_;
    std::shared_ptr<endpoint_connection> connection_;
    std::shared_ptr<memory_reservation> reservation_;
    /// Null if no other endpoint may continue the current attempt.
    std::shared_ptr<stall_watch> stall_watch_;
    /// The helper that caused the last attempt's outcome; 0 if none did.
    endpoint_key at_fault_ = 0;
    end_reason end_ = end_reason::none;

    std::uint64_t dispatch_id_ = 0;
    std::vector<endpoint_key> tried_;
    /// Attempts that may have started the request.
    std::uint32_t runs_ = 0;
    /// All attempts, including those that an endpoint refused.
    std::uint32_t attempts_ = 0;
    /// Nodes that the request was handed over to.
    std::uint32_t handovers_ = 0;
    /// Whether the current attempt has connected to its endpoint.
    bool connected_ = false;
    bool may_have_run_ = false;
    /// An endpoint may have received the request, so that the next attempt
    /// counts against the retry budget.
    bool has_arrived_ = false;
    attempt_outcome last_outcome_ = attempt_outcome::completed;
    /// Status of the last response of an endpoint that may have run the
    /// request; 0 if there was none.
    int endpoint_status_ = 0;
    bool head_sent_ = false;
    /// The client has a whole response that is no stream.
    bool response_sent_ = false;
    bool keep_alive_ = true;
    std::optional<std::uint64_t> last_event_;
    std::uint64_t events_sent_ = 0;
    msec placed_at_ = 0;
    /// When the endpoint last sent anything, or the request was sent to it.
    msec endpoint_heard_at_ = 0;
    double expected_first_token_ms_ = 0;
    msec last_event_at_ = 0;
    /// Time from the request to its first event.
    msec first_event_ms_ = 0;
    msec longest_gap_ = 0;
};

} // namespace galenapulley
