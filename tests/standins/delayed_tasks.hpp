#pragma once

#include "galenapulley/clock.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace galenapulley::standins
{

/// Runs tasks at given instants on one thread of its own.
class delayed_tasks
{
public:
    delayed_tasks();
    ~delayed_tasks();

    delayed_tasks(const delayed_tasks&) = delete;
    delayed_tasks& operator=(const delayed_tasks&) = delete;

    /// Runs the task after the delay; at once on the caller's thread if the
    /// delay is 0.
    void run_after(msec delay, std::function<void()> task);

private:
    void run();

    boot_time_clock clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<msec, std::function<void()>> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace galenapulley::standins
