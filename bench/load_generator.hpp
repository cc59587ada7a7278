#pragma once

#include "galenapulley/clock.hpp"
#include "node/http_client.hpp"
#include "workload.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace galenapulley::bench
{

enum class outcome
{
    pending,
    completed,
    /// The caller disconnected before the end.
    abandoned,
    /// The response was an error with ran = not_run.
    refused,
    failed
};

/// Result of a request as its caller saw it. Times are model time from the
/// request's arrival.
struct request_record
{
    arrival request;
    outcome end = outcome::pending;
    /// Error kind of a refusal or failure.
    std::string kind;
    /// 0 if no token arrived.
    double first_token_ms = 0;
    double last_token_ms = 0;
    double end_ms = 0;
    std::uint32_t tokens = 0;
};

/// An action at a given time of the run, such as the withdrawal of a zone.
struct timed_action
{
    double at_ms = 0;
    std::function<void()> run;
};

/// Open-loop load generator: sends each request at its arrival time, however
/// long earlier responses take.
class load_generator
{
public:
    load_generator(double time_scale, std::vector<std::string> nodes,
                   std::vector<std::string> tokens);

    /// Returns when every request has ended or the drain time is over; then
    /// the remaining requests stay pending and are cancelled.
    std::vector<request_record> run(const std::vector<arrival>& arrivals,
                                    const std::vector<timed_action>& extra,
                                    msec drain);

private:
    struct call_state;
    using wall_clock = std::chrono::steady_clock;

    using state_list = std::vector<std::shared_ptr<call_state>>;

    double model_now() const;
    void wait_until_model(double at_ms) const;
    std::uint64_t send(const arrival& request,
                       const std::shared_ptr<call_state>& state);
    void abandon(std::uint64_t call, call_state& state);
    /// Actions that send each request and disconnect callers that leave early.
    std::vector<timed_action> schedule(const std::vector<arrival>& arrivals,
                                       const state_list& states,
                                       std::vector<std::uint64_t>& calls);
    void on_data(call_state& state, int status, const std::string& chunk);
    void on_done(call_state& state, const http_result& result);
    void wait_for_end(msec drain);

    double time_scale_;
    std::vector<std::string> nodes_;
    std::vector<std::string> tokens_;
    wall_clock::time_point start_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::size_t pending_requests_ = 0;
    /// Declared last, so that its thread stops before the members that its
    /// callbacks use are destroyed.
    http_client client_;
};

} // namespace galenapulley::bench
