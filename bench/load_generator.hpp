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
    /// The caller left before the end.
    left,
    /// Answered with an error and ran = not_run.
    refused,
    failed
};

/// What a caller saw. Times are model time from the request's arrival.
struct request_record
{
    arrival request;
    outcome end = outcome::pending;
    /// Error kind of a refusal or failure.
    std::string kind;
    /// 0 if there was none.
    double first_token_ms = 0;
    double last_token_ms = 0;
    double end_ms = 0;
    std::uint32_t tokens = 0;
};

/// An action at a point of the load, such as the withdrawal of a zone.
struct timed_action
{
    double at_ms = 0;
    std::function<void()> run;
};

/// Sends an arrival list at its times, whatever the answers' times are.
class load_generator
{
public:
    load_generator(double time_scale, std::vector<std::string> nodes,
                   std::vector<std::string> tokens);

    /// Returns when every request has ended or the drain time is over; then
    /// the remaining requests stay pending and are cancelled.
    std::vector<request_record> run(const std::vector<arrival>& arrivals,
                                    std::vector<timed_action> actions,
                                    msec drain);

private:
    struct call_state;
    using wall_clock = std::chrono::steady_clock;

    double model_now() const;
    void wait_until_model(double at_ms) const;
    std::uint64_t send(const arrival& request,
                       const std::shared_ptr<call_state>& state);
    void on_data(call_state& state, int status, const std::string& chunk);
    void on_done(call_state& state, const http_result& result);
    void wait_for_end(msec drain);

    double time_scale_;
    std::vector<std::string> nodes_;
    std::vector<std::string> tokens_;
    wall_clock::time_point start_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::size_t open_ = 0;
    /// Last, so that its thread ends before the members that callbacks use.
    http_client client_;
};

} // namespace galenapulley::bench
