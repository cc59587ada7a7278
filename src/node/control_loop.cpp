#include "node/control_loop.hpp"

#include <zmq.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace galenapulley
{

namespace
{

/// Waits are bounded even without timers, because a test may advance a manual
/// clock from a posted task.
constexpr msec max_wait = 1_sec;

} // namespace

control_loop::control_loop(const clock& time)
    : clock_(time), wake_event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (wake_event_ < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

control_loop::~control_loop()
{
    ::close(wake_event_);
}

void control_loop::post(task fn)
{
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(fn));
    // The loop takes all tasks at once, so only the first needs a wake-up.
    if (posted_.size() == 1)
        wake();
}

void control_loop::stop()
{
    post([this] { stopping_ = true; });
}

void control_loop::run()
{
    stopping_ = false;
    for (;;)
    {
        run_posted_tasks();
        if (stopping_)
            return;
        run_due_timers();
        wait_for_events();
    }
}

control_loop::timer_id control_loop::call_after(msec delay, task fn)
{
    return add_timer(now() + delay,
                     {.id = ++last_timer_, .period = 0, .fn = std::move(fn)});
}

control_loop::timer_id control_loop::call_every(msec period, task fn)
{
    period = std::max(period, 1_ms);
    return add_timer(
        now() + period,
        {.id = ++last_timer_, .period = period, .fn = std::move(fn)});
}

void control_loop::cancel(timer_id id)
{
    const auto due = due_by_id_.find(id);
    if (due == due_by_id_.end())
        return;
    const auto range = timers_.equal_range(due->second);
    due_by_id_.erase(due);
    const auto it =
        std::find_if(range.first, range.second,
                     [id](const auto& entry) { return entry.second.id == id; });
    // A timer whose callback is running is no longer in timers_.
    if (it != range.second)
        timers_.erase(it);
}

void control_loop::watch(void* zmq_socket, task fn)
{
    sockets_[zmq_socket] = std::make_shared<task>(std::move(fn));
}

void control_loop::unwatch(void* zmq_socket)
{
    sockets_.erase(zmq_socket);
}

control_loop::timer_id control_loop::add_timer(msec due, timer entry)
{
    const auto id = entry.id;
    due_by_id_[id] = due;
    timers_.emplace(due, std::move(entry));
    return id;
}

void control_loop::run_posted_tasks()
{
    std::vector<task> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(posted_);
    }
    for (auto& fn : tasks)
    {
        fn();
        fn = nullptr;
    }
}

void control_loop::run_due_timers()
{
    // Timers added by a callback run in the next iteration, so that a timer of
    // 0 ms can't starve the sockets.
    const auto last = last_timer_;
    const auto start = now();
    auto it = timers_.begin();
    while (it != timers_.end() && it->first <= start)
    {
        if (it->second.id > last)
        {
            ++it;
            continue;
        }
        const auto due = it->first;
        auto entry = std::move(it->second);
        timers_.erase(it);
        const auto id = entry.id;
        if (entry.period == 0)
            due_by_id_.erase(id);
        entry.fn();
        // The callback may have cancelled its own timer.
        if (entry.period > 0 && due_by_id_.count(id) != 0)
        {
            const auto missed = (start - due) / entry.period;
            const auto next = due + (missed + 1) * entry.period;
            add_timer(next, std::move(entry));
        }
        it = timers_.begin();
    }
}

void control_loop::wait_for_events()
{
    std::vector<zmq_pollitem_t> items{{nullptr, wake_event_, ZMQ_POLLIN, 0}};
    for (const auto& it : sockets_)
        items.push_back({it.first, 0, ZMQ_POLLIN, 0});
    const int ready =
        zmq_poll(items.data(), static_cast<int>(items.size()), poll_timeout());
    if (ready <= 0)
        return;
    if (items.front().revents != 0)
        drain_wake_events();
    for (std::size_t n = 1; n < items.size(); ++n)
    {
        if (items[n].revents == 0)
            continue;
        const auto it = sockets_.find(items[n].socket);
        if (it == sockets_.end())
            continue;
        const auto fn = it->second;
        (*fn)();
    }
}

long control_loop::poll_timeout() const
{
    if (timers_.empty())
        return max_wait;
    return static_cast<long>(
        std::clamp(timers_.begin()->first - now(), 0_ms, max_wait));
}

void control_loop::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(::write(wake_event_, &one, sizeof one));
}

void control_loop::drain_wake_events()
{
    std::uint64_t count = 0;
    static_cast<void>(::read(wake_event_, &count, sizeof count));
}

} // namespace galenapulley
