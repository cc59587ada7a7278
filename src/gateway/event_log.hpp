#pragma once

#include "galenapulley/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace spdlog
{
class logger;
}

namespace galenapulley
{

/// Events that a gateway logs; docs/OPERATIONS.md lists their fields.
enum class log_event
{
    started,
    stopping,
    stopped,
    reloaded,
    reload_failed,
    configuration,
    configuration_rejected,
    operations_announced,
    endpoints,
    domains_withdrawn,
    store_lost,
    store_regained,
    store_restored,
    watch_renewed,
    peer_gained,
    peer_lost,
    serving_set,
    crash_reported,
    prompts_quarantined,
    endpoint_avoided,
    rate_limited,
    pause_requested,
    endpoint_leaving,
    endpoint_ejected,
    endpoint_reinstated,
    partitioned,
    partition_ended,
    client_limited,
    request_read,
    placed,
    memory_reserved,
    memory_refused,
    memory_released,
    handed_over,
    queued,
    account_limited,
    account_limit_ended,
    refused,
    retried,
    resumed,
    answered,
    failed,
    cancelled,
    skipped
};

constexpr std::size_t log_event_count =
    static_cast<std::size_t>(log_event::skipped) + 1;

std::string_view name_of(log_event event);

/// Writes one JSON object per line to standard output without blocking. Lines
/// above a rate limit per event, or for which the buffer is full because
/// standard output isn't read, are dropped and counted. Thread-safe.
class event_log
{
public:
    using value = std::variant<std::string_view, std::int64_t, double>;
    using field = std::pair<std::string_view, value>;

    event_log(std::string node, const std::string& level);
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(log_event event, std::initializer_list<field> fields);
    /// Writes the buffered lines to standard output and logs the number of
    /// dropped ones; called a few times a second.
    void flush();
    void set_level(const std::string& level);
    std::uint64_t dropped() const { return dropped_total_; }

    /// Limit for each event on each node.
    static constexpr std::uint32_t lines_per_second = 100;

private:
    class line_sink;

    bool admit(log_event event, msec now);

    std::string node_;
    std::mutex mutex_;
    msec second_ = 0;
    std::array<std::uint32_t, log_event_count> written_{};
    std::uint64_t dropped_ = 0;
    std::atomic<std::uint64_t> dropped_total_{0};
    std::shared_ptr<line_sink> sink_;
    std::shared_ptr<spdlog::logger> logger_;
};

} // namespace galenapulley
