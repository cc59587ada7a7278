#pragma once

#include <pistache/listener.h>
#include <pistache/mailbox.h>
#include <pistache/transport.h>

#include <functional>
#include <memory>
#include <vector>

namespace galenapulley
{

/// A Pistache transport that runs posted tasks on its worker's thread.
/// Pistache 0.0.5 loses or misdirects answers written from other threads.
class worker_transport final : public Pistache::Tcp::Transport
{
public:
    explicit worker_transport(
        const std::shared_ptr<Pistache::Tcp::Handler>& handler);
    ~worker_transport() override;

    worker_transport(const worker_transport&) = delete;
    worker_transport& operator=(const worker_transport&) = delete;

    /// May be called from any thread.
    void post(std::function<void()> task);
    /// Runs the task a few milliseconds later. Worker thread only.
    void retry_later(std::function<void()> task);

    void registerPoller(Pistache::Polling::Epoll& poller) override;
    void onReady(const Pistache::Aio::FdSet& fds) override;
    std::shared_ptr<Pistache::Aio::Handler> clone() const override;

private:
    void run_tasks();
    void run_retries();

    Pistache::PollableQueue<std::function<void()>> tasks_;
    std::vector<std::function<void()>> retries_;
    int timer_fd_;
    std::shared_ptr<Pistache::Tcp::Handler> handler_;
};

} // namespace galenapulley
