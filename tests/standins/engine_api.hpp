#pragma once

#include "galenapulley/clock.hpp"
#include "standins/delayed_tasks.hpp"
#include "standins/engine_simulation.hpp"
#include "standins/standin_api.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace galenapulley::standins
{

/// Faults that tests inject through POST /control.
struct engine_faults
{
    bool hang = false;
    /// The next stream is aborted after this many events; negative: never.
    std::int64_t truncate_next = -1;
    /// The next stream leaves out its second event.
    bool skip_index = false;
};

/// HTTP interface of a simulated model engine.
class engine_api final : public standin_api
{
public:
    /// `address` is the engine's own address, by which a completion refers to
    /// the segment that this engine holds.
    engine_api(engine_options options, std::string address);
    ~engine_api() override;

    void handle(http_request request, const exchange_ptr& exchange) override;

private:
    struct completion;
    using handler = void (engine_api::*)(const http_request&,
                                         const exchange_ptr&);

    void run();
    void complete(const http_request& request, const exchange_ptr& exchange);
    void begin_completion(const completion& call, const exchange_ptr& exchange);
    void check_segments(const completion& call, const exchange_ptr& exchange);
    void cancel(const http_request& request, const exchange_ptr& exchange);
    void load(const http_request& request, const exchange_ptr& exchange);
    void reserve(const http_request& request, const exchange_ptr& exchange);
    void release(const http_request& request, const exchange_ptr& exchange);
    void reservations(const http_request& request,
                      const exchange_ptr& exchange);
    void prefill(const http_request& request, const exchange_ptr& exchange);
    void begin_prefill(const job_request& job, const exchange_ptr& exchange);
    void export_segment(const http_request& request,
                        const exchange_ptr& exchange);
    void order(const http_request& request, const exchange_ptr& exchange);
    void cache_events(const http_request& request,
                      const exchange_ptr& exchange);
    void control(const http_request& request, const exchange_ptr& exchange);
    void stats(const http_request& request, const exchange_ptr& exchange);
    void cancel_on_disconnect(const exchange_ptr& exchange,
                              engine_simulation::job_id id);
    bool has_model(const std::string& model) const;

    const std::string address_;
    const msec incarnation_ = wall_time();
    boot_time_clock clock_;

    std::mutex mutex_;
    std::condition_variable changed_;
    engine_simulation simulation_;
    engine_faults faults_;
    std::vector<std::string> models_;
    std::string role_ = "any";
    std::int64_t highest_fence_ = 0;
    json orders_ = json::array();
    std::map<std::string, int> request_ids_;
    std::vector<msec> start_times_;
    bool stopping_ = false;

    /// Runs the blocking requests to other engines off the HTTP threads.
    delayed_tasks segment_fetches_;
    std::thread thread_;
};

} // namespace galenapulley::standins
