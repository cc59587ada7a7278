#pragma once

#include "galenapulley/clock.hpp"
#include "standins/kv_memory.hpp"
#include "standins/prefix_cache.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenapulley::standins
{

struct engine_options
{
    std::int64_t kv_tokens = 400'000;
    int slots = 16;
    int cold_slots = 2;
    double prefill_tokens_per_s = 20'000;
    /// Speed of one stream.
    double decode_tokens_per_s = 40;
    /// Multiplies the speed of prefill, decode and import.
    double time_scale = 1;
    msec warm_after_ms = 10'000;
    msec report_lag_ms = 200;
    bool checks_fencing = false;
    bool start_cold = false;
    std::vector<std::string> models = {"drafter"};
    /// Called when the prefill of a prompt that crashes the engine begins.
    std::function<void()> crash;
};

/// Receives the output and the end of a job.
class job_sink
{
public:
    virtual ~job_sink() = default;

    /// Tokens [begin, end) were decoded.
    virtual void on_tokens(std::int64_t begin, std::int64_t end) = 0;
    virtual void on_finished() = 0;
    /// The job was cancelled, or its reservation was released.
    virtual void on_cancelled() = 0;
};

/// A completion, or the prefill of one segment (max_tokens is 0 then).
struct job_request
{
    std::string request_id;
    int priority = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    std::int64_t resume_from = 0;
    std::vector<std::uint64_t> block_keys;
    /// Id of the reservation that provides the memory; empty: none.
    std::string reservation;
    /// KV cache to copy from another engine before prefill.
    std::int64_t import_tokens = 0;
    bool crashes = false;
};

struct engine_load
{
    msec at = 0;
    bool cold = false;
    int running = 0;
    int waiting = 0;
    std::int64_t kv_used = 0;
    std::int64_t prefill_backlog = 0;
};

struct engine_counts
{
    std::int64_t started = 0;
    std::int64_t completed = 0;
    std::int64_t cancelled = 0;
    std::int64_t collapses = 0;
    std::int64_t peak_concurrent_while_cold = 0;
    std::int64_t peak_concurrent = 0;
    std::int64_t prefill_tokens = 0;
    std::int64_t wasted_prefill_tokens = 0;
};

/// Simulates continuous batching of one engine in time steps. Not thread-safe;
/// the caller passes the current time.
class engine_simulation
{
public:
    using job_id = std::uint64_t;

    engine_simulation(engine_options options, msec now);

    /// Accepts a job. Returns 0 if it can never fit into the memory, or if its
    /// reservation does not exist.
    job_id submit(const job_request& request, std::shared_ptr<job_sink> sink,
                  msec now);
    /// Frees the job's memory at once. False if the job has ended already.
    bool cancel(job_id id);
    /// Cancels all jobs with this request id; returns their number.
    int cancel_request(const std::string& request_id);
    /// Also cancels the jobs that use the reservation.
    bool release(const std::string& reservation);

    /// Advances prefill, decode and warm-up by the time since the last step.
    void step(msec now);

    void turn_cold();
    bool idle() const { return jobs_.empty(); }
    engine_load current_load(msec now) const;
    /// The latest snapshot that is at least report_lag_ms old.
    engine_load reported_load(msec now);

    kv_memory& memory() { return memory_; }
    prefix_cache& cache() { return cache_; }
    const engine_counts& counts() const { return counts_; }
    const engine_options& options() const { return options_; }

private:
    struct job
    {
        job_request request;
        std::shared_ptr<job_sink> sink;
        std::int64_t booked = 0;
        bool running = false;
        bool prefill_begun = false;
        double import_left = 0;
        double prefill_left = 0;
        double prefill_done = 0;
        double decoded = 0;
        std::int64_t emitted = 0;

        bool in_prefill() const { return import_left > 0 || prefill_left > 0; }
    };
    using job_map = std::map<job_id, job>;

    void take_snapshot(msec now);
    void admit();
    void begin_prefill(job& entry);
    void prefill(double budget_ms, msec now);
    void decode(double budget_ms);
    void finish_jobs(msec now);
    void note_arrival();
    void progress_warm_up(double elapsed_ms);
    job_map::iterator remove(job_map::iterator it);
    std::vector<job*> by_priority(bool running);

    engine_options options_;
    kv_memory memory_;
    prefix_cache cache_;
    /// In order of arrival.
    job_map jobs_;
    job_id next_id_ = 1;
    bool cold_;
    bool collapsed_ = false;
    double warm_progress_ms_ = 0;
    msec last_step_;
    std::deque<engine_load> snapshots_;
    engine_counts counts_;
};

} // namespace galenapulley::standins
