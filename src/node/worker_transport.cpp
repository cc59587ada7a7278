#include "node/worker_transport.hpp"

#include <pistache/peer.h>
#include <pistache/tcp.h>

#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

/// Longest delay of an accepted connection by a lost wake-up.
constexpr long accept_check_period_ns = 100'000'000;
constexpr long post_delay_ns = 5'000'000;

int check_fd(int fd, const char* what)
{
    if (fd < 0)
        throw std::system_error(errno, std::generic_category(), what);
    return fd;
}

int make_timer()
{
    return check_fd(
        ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
        "timerfd");
}

void drain(int fd)
{
    std::uint64_t count = 0;
    static_cast<void>(::read(fd, &count, sizeof count));
}

} // namespace

worker_transport::worker_transport(const std::shared_ptr<Tcp::Handler>& handler)
    : Transport(handler)
    , handler_(handler)
    , timed_(dynamic_cast<timed_handler*>(handler.get()))
    , task_event_(check_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd"))
    , accept_check_timer_(make_timer())
    , delay_timer_(make_timer())
{
}

worker_transport::~worker_transport()
{
    // Pistache does not close its open connections when it stops.
    for (const auto& peer : getAllPeer())
        ::close(peer->fd());
    ::close(task_event_);
    ::close(accept_check_timer_);
    ::close(delay_timer_);
}

void worker_transport::post(std::function<void()> task)
{
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    // The worker takes all tasks at once, so only the first needs a wake-up.
    if (tasks_.size() > 1)
        return;
    const std::uint64_t one = 1;
    static_cast<void>(::write(task_event_, &one, sizeof one));
}

void worker_transport::post_delayed(std::function<void()> task)
{
    if (delayed_tasks_.empty())
    {
        const itimerspec delay{{0, 0}, {0, post_delay_ns}};
        ::timerfd_settime(delay_timer_, 0, &delay, nullptr);
    }
    delayed_tasks_.push_back(std::move(task));
}

void worker_transport::registerPoller(Polling::Epoll& poller)
{
    Transport::registerPoller(poller);
    const Flags<Polling::NotifyOn> read(Polling::NotifyOn::Read);
    poller.addFd(task_event_, read, Polling::Tag(task_event_));
    const itimerspec period{{0, accept_check_period_ns},
                            {0, accept_check_period_ns}};
    ::timerfd_settime(accept_check_timer_, 0, &period, nullptr);
    poller.addFd(accept_check_timer_, read, Polling::Tag(accept_check_timer_));
    poller.addFd(delay_timer_, read, Polling::Tag(delay_timer_));
}

void worker_transport::onReady(const Aio::FdSet& fds)
{
    for (const auto& entry : fds)
    {
        if (entry.getTag() == Polling::Tag(task_event_))
            run_tasks();
        else if (entry.getTag() == Polling::Tag(accept_check_timer_))
            run_periodic_work();
        else if (entry.getTag() == Polling::Tag(delay_timer_))
            run_delayed_tasks();
        else // Entry inherits Event privately; only a C-style cast reaches it.
            handle((const Polling::Event&)entry);
    }
}

std::shared_ptr<Aio::Handler> worker_transport::clone() const
{
    return std::make_shared<worker_transport>(
        std::static_pointer_cast<Tcp::Handler>(handler_->clone()));
}

void worker_transport::handle(Polling::Event event)
{
    // No other event can occur before the first connection, so the first event
    // is that of the accept queue.
    if (!accept_event_)
        accept_event_ = event;
    Transport::onReady(Aio::FdSet({event}));
    // Pistache queues its own error responses by file descriptor. They are
    // flushed before the next event, so that a new connection that reuses the
    // descriptor can't receive them.
    flush();
}

void worker_transport::run_tasks()
{
    // The event is cleared first, so that a later post signals it again.
    drain(task_event_);
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(tasks_);
    }
    for (auto& task : tasks)
    {
        task();
        task = nullptr;
    }
}

void worker_transport::run_delayed_tasks()
{
    drain(delay_timer_);
    for (auto& task : std::exchange(delayed_tasks_, {}))
        task();
}

void worker_transport::run_periodic_work()
{
    drain(accept_check_timer_);
    if (accept_event_)
        Transport::onReady(Aio::FdSet({*accept_event_}));
    if (timed_ != nullptr)
        timed_->on_tick();
}

} // namespace galenapulley
