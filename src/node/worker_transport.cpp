#include "node/worker_transport.hpp"

#include <pistache/tcp.h>

#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

constexpr long retry_interval_ns = 5'000'000;

} // namespace

worker_transport::worker_transport(const std::shared_ptr<Tcp::Handler>& handler)
    : Transport(handler)
    , timer_fd_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    , handler_(handler)
{
    if (timer_fd_ < 0)
        throw std::system_error(errno, std::generic_category(),
                                "timerfd_create");
}

worker_transport::~worker_transport()
{
    ::close(timer_fd_);
}

void worker_transport::post(std::function<void()> task)
{
    tasks_.push(std::move(task));
}

void worker_transport::retry_later(std::function<void()> task)
{
    if (retries_.empty())
    {
        itimerspec delay{};
        delay.it_value.tv_nsec = retry_interval_ns;
        timerfd_settime(timer_fd_, 0, &delay, nullptr);
    }
    retries_.push_back(std::move(task));
}

void worker_transport::registerPoller(Polling::Epoll& poller)
{
    Transport::registerPoller(poller);
    tasks_.bind(poller);
    poller.addFd(timer_fd_, Flags<Polling::NotifyOn>(Polling::NotifyOn::Read),
                 Polling::Tag(static_cast<std::uint64_t>(timer_fd_)));
}

void worker_transport::onReady(const Aio::FdSet& fds)
{
    const Polling::Tag timer(static_cast<std::uint64_t>(timer_fd_));
    bool has_tasks = false;
    bool has_retries = false;
    std::vector<Polling::Event> others;
    for (const auto& entry : fds)
    {
        if (entry.getTag() == tasks_.tag())
            has_tasks = true;
        else if (entry.getTag() == timer)
            has_retries = true;
        else // Entry inherits Event privately; only this cast reaches it.
            others.push_back((const Polling::Event&)entry);
    }
    if (!others.empty())
        Transport::onReady(Aio::FdSet(std::move(others)));
    if (has_retries)
        run_retries();
    if (has_tasks)
        run_tasks();
}

std::shared_ptr<Aio::Handler> worker_transport::clone() const
{
    return std::make_shared<worker_transport>(
        std::static_pointer_cast<Tcp::Handler>(handler_->clone()));
}

void worker_transport::run_tasks()
{
    while (auto task = tasks_.popSafe())
        (*task)();
}

void worker_transport::run_retries()
{
    std::uint64_t expirations = 0;
    if (::read(timer_fd_, &expirations, sizeof(expirations)) < 0)
        return;
    for (auto& task : std::exchange(retries_, {}))
        task();
}

} // namespace galenapulley
