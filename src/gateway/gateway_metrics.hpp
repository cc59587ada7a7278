#pragma once

#include "galenapulley/accounts/account_report.hpp"
#include "galenapulley/clients/client_limit.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/serving_set.hpp"
#include "gateway/dispatch_request.hpp"
#include "gateway/wire_format.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace galenapulley
{

/// Stages of a request that have a latency histogram.
enum class request_stage
{
    /// From the request to its placement.
    placement,
    /// From the placement to the response, for streams to the first event.
    first_event,
    /// Longest gap between two events of a stream.
    longest_gap,
    /// From the request to the end of the response.
    whole
};

constexpr std::size_t request_stage_count =
    static_cast<std::size_t>(request_stage::whole) + 1;

enum class gauge
{
    configuration_version,
    operations_age_ms,
    endpoints_age_ms,
    store_reached,
    store_era,
    endpoints_known,
    endpoints_paused,
    endpoints_leaving,
    endpoints_ejected,
    partitioned,
    live_nodes,
    serving_nodes,
    serving,
    peer_messages_received,
    peer_bytes_received,
    peer_bytes_sent,
    waiting_requests,
    placement_longest_ms,
    placement_most_attempts,
    placement_unfinished_turns,
    running_requests,
    limited_accounts,
    open_connections,
    body_bytes,
    client_input_bytes,
    client_unread_bytes,
    log_lines_dropped
};

constexpr std::size_t gauge_count =
    static_cast<std::size_t>(gauge::log_lines_dropped) + 1;

/// Histograms, gauges and outcomes of a gateway. Thread-safe.
class gateway_metrics
{
public:
    explicit gateway_metrics(counters& registry);

    void observe(request_stage stage, msec elapsed);
    void set(gauge which, std::int64_t value);
    void set_serving_set(std::map<std::string, serving_reason> members);
    /// Sets what endpoints() returns.
    void set_endpoints(std::string json);
    void set_accounts(std::vector<account_report> reports);
    void count(attempt_outcome outcome);
    void count(order_result result);
    /// Counts the end of an attempt at another node.
    void count_handover(attempt_outcome outcome);
    void count_response(int status);
    /// Counts a request that was placed where `tokens` of its prompt need no
    /// prefill.
    void count_prefix(double tokens);
    /// Counts a client that was refused or closed.
    void count(client_limit cause);

    /// Histograms and gauges in the metrics text format.
    std::string expose() const;
    /// All gauges and the serving set as a JSON object, for operators.
    std::string status() const;
    /// The estimates of the endpoints as a JSON object, for operators.
    std::string endpoints() const;
    /// Shares and use of client accounts as a JSON object, for operators.
    std::string accounts() const;

private:
    static constexpr std::array<msec, 12> bounds{
        10, 25, 50, 100, 250, 500, 1000, 1500, 3000, 4000, 8000, 15'000};

    struct histogram
    {
        std::array<std::atomic<std::uint64_t>, bounds.size() + 1> counts{};
        std::atomic<std::uint64_t> sum_ms{0};
    };

    counter_family& outcomes_;
    counter_family& responses_;
    counter_family& orders_;
    counter_family& handovers_;
    counter_family& prefix_placements_;
    counter_family& prefix_tokens_;
    counter_family& client_limits_;
    std::array<histogram, request_stage_count> histograms_;
    std::array<std::atomic<std::int64_t>, gauge_count> gauges_{};
    mutable std::mutex serving_set_mutex_;
    std::map<std::string, serving_reason> serving_set_;
    mutable std::mutex endpoints_mutex_;
    std::string endpoints_ = "{}";
    mutable std::mutex accounts_mutex_;
    std::vector<account_report> accounts_;
};

} // namespace galenapulley
