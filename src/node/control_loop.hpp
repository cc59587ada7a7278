#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// Event loop that runs posted tasks, timers and socket callbacks on the
/// control thread, which is the thread that calls run().
class control_loop
{
public:
    using task = std::function<void()>;
    using timer_id = std::uint64_t;

    explicit control_loop(const clock& time);
    ~control_loop();

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// May be called from any thread. Tasks run in the order posted. Tasks
    /// posted after the loop has stopped are destroyed without being run.
    void post(task fn);
    /// Ends run() after the tasks posted so far. May be called from any
    /// thread.
    void stop();

    /// Runs until stop(). Exceptions thrown by tasks propagate to the caller.
    void run();

    /// The members below are used on the control thread, or before run().
    timer_id call_after(msec delay, task fn);
    /// Calls fn every `period`. Periods missed while the thread was suspended
    /// are skipped.
    timer_id call_every(msec period, task fn);
    /// Ignores unknown and expired timers.
    void cancel(timer_id id);

    /// Calls fn whenever the ZeroMQ socket is readable (level-triggered, so fn
    /// need not read all messages).
    void watch(void* zmq_socket, task fn);
    void unwatch(void* zmq_socket);

    msec now() const { return clock_.now(); }

private:
    struct timer
    {
        timer_id id = 0;
        msec period = 0;
        task fn;
    };

    timer_id add_timer(msec due, timer entry);
    void run_posted_tasks();
    void run_due_timers();
    void wait_for_events();
    long poll_timeout() const;
    void wake();
    void drain_wake_events();

    const clock& clock_;
    int wake_event_;
    bool stopping_ = false;
    std::mutex mutex_;
    std::vector<task> posted_;
    std::multimap<msec, timer> timers_;
    std::unordered_map<timer_id, msec> due_by_id_;
    timer_id last_timer_ = 0;
    /// Shared, so that a callback may unwatch its own socket.
    std::map<void*, std::shared_ptr<task>> sockets_;
};

} // namespace galenapulley
