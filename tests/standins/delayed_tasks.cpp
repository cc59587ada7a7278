#include "standins/delayed_tasks.hpp"

#include <chrono>
#include <utility>

namespace galenapulley::standins
{

delayed_tasks::delayed_tasks() : thread_([this] { run(); }) {}

delayed_tasks::~delayed_tasks()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void delayed_tasks::run_after(msec delay, std::function<void()> task)
{
    if (delay <= 0)
    {
        task();
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        tasks_.emplace(clock_.now() + delay, std::move(task));
    }
    changed_.notify_one();
}

void delayed_tasks::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (tasks_.empty())
        {
            changed_.wait(lock);
            continue;
        }
        const auto left = tasks_.begin()->first - clock_.now();
        if (left > 0)
        {
            changed_.wait_for(lock, std::chrono::milliseconds(left));
            continue;
        }
        auto node = tasks_.extract(tasks_.begin());
        lock.unlock();
        node.mapped()();
        lock.lock();
    }
}

} // namespace galenapulley::standins
