#pragma once

#include "galenapulley/clock.hpp"
#include "support/process_fleet.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenapulley::testing
{

/// The clock by which the stand-ins record the start of each request.
class wall_clock final : public clock
{
public:
    msec now() const override { return wall_time(); }
};

/// Result of one request of a load.
struct load_outcome
{
    std::size_t node = 0;
    int status = 0;
    /// Error kind; empty for a complete response.
    std::string kind;
    std::string ran;
    msec started_at = 0;
    msec ended_at = 0;
};

struct load_options
{
    std::vector<std::size_t> nodes;
    std::size_t callers_per_node = 2;
    std::uint32_t max_tokens = 64;
    std::size_t max_requests = 6000;
    msec max_duration = 40'000;
};

/// Runs callers in threads; each sends short completions one after the other
/// until stopped.
class request_load
{
public:
    request_load(process_fleet& fleet, load_options options);
    ~request_load();

    request_load(const request_load&) = delete;
    request_load& operator=(const request_load&) = delete;

    /// Keeps the load running until the clock has reached the instant.
    void run_until(msec instant);
    /// Number of complete responses so far.
    std::size_t completed() const { return completed_; }
    /// Waits for that many further complete responses.
    bool wait_completed(std::size_t additional, msec timeout = 10'000);
    /// Stops the callers after their current requests.
    std::vector<load_outcome> stop();

private:
    void run_caller(std::size_t node);

    process_fleet& fleet_;
    load_options options_;
    wall_clock clock_;
    msec end_at_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> sent_{0};
    std::atomic<std::size_t> completed_{0};
    std::mutex mutex_;
    std::vector<load_outcome> outcomes_;
    std::vector<std::thread> threads_;
};

/// Counts of requests without a complete response by kind, for test messages.
std::string describe_failures(const std::vector<load_outcome>& outcomes);

/// Requests that the engines of a zone received from an instant on.
std::int64_t zone_starts(process_fleet& fleet, std::size_t zone, msec since);

/// Time of the newest request that an engine of the zone received.
msec newest_zone_start(process_fleet& fleet, std::size_t zone);

/// Nodes that own a shard of the drafting service, by the status of each node
/// in `queried`.
std::vector<std::size_t> find_owners(process_fleet& fleet, std::size_t zone,
                                     const std::vector<std::size_t>& queried);

/// Whether each of the nodes lists exactly these zones as withdrawn.
bool all_withdrawn(process_fleet& fleet, const std::vector<std::size_t>& nodes,
                   std::vector<std::string> zones);

/// All nodes of a fleet except those in `excluded`.
std::vector<std::size_t>
nodes_without(const process_fleet& fleet,
              const std::vector<std::size_t>& excluded);

/// Field `state` of the response to a change.
std::string change_state(const http_result& result);

} // namespace galenapulley::testing
