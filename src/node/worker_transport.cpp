#include "node/worker_transport.hpp"

#include <pistache/tcp.h>

#include <utility>
#include <vector>

namespace galenapulley
{

using namespace Pistache;

worker_transport::worker_transport(const std::shared_ptr<Tcp::Handler>& handler)
    : Transport(handler), handler_(handler)
{
}

void worker_transport::post(std::function<void()> task)
{
    tasks_.push(std::move(task));
}

void worker_transport::registerPoller(Polling::Epoll& poller)
{
    Transport::registerPoller(poller);
    tasks_.bind(poller);
}

void worker_transport::onReady(const Aio::FdSet& fds)
{
    bool has_tasks = false;
    std::vector<Polling::Event> others;
    for (const auto& entry : fds)
    {
        if (entry.getTag() == tasks_.tag())
            has_tasks = true;
        else // Entry inherits Event privately; only this cast reaches it.
            others.push_back((const Polling::Event&)entry);
    }
    if (!others.empty())
        Transport::onReady(Aio::FdSet(std::move(others)));
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

} // namespace galenapulley
