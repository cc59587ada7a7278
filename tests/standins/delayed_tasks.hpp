#pragma once

#include "galenapulley/clock.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace galenapulley::standins
{

/// Runs delayed tasks on a thread of its own.
class delayed_tasks
{
public:
    delayed_tasks();
    ~delayed_tasks();

    delayed_tasks(const delayed_tasks&) = delete;
    delayed_tasks& operator=(const delayed_tasks&) = delete;

    /// Runs the task after the delay. Without a delay the task runs on the
    /// calling thread before the function returns.
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
