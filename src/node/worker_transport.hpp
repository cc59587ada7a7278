#pragma once

#include <pistache/listener.h>
#include <pistache/transport.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace galenapulley
{

/// A handler with work that doesn't wait for input.
class timed_handler
{
public:
    virtual ~timed_handler() = default;
    /// Called about every 100 ms on the worker's thread.
    virtual void on_tick() = 0;
};

/// A Pistache transport that runs posted tasks on its worker's thread.
/// Pistache 0.0.5 loses or misdirects responses written from other threads.
///
/// Pistache's PollableQueue can lose a wake-up: it clears its eventfd after it
/// found the queue empty, so an entry pushed in between waits for the next
/// push. Tasks therefore have a separate queue, and a timer checks for accepted
/// connections that wait in Pistache's queue.
class worker_transport final
    : public Pistache::Tcp::Transport,
      public std::enable_shared_from_this<worker_transport>
{
public:
    explicit worker_transport(
        const std::shared_ptr<Pistache::Tcp::Handler>& handler);
    ~worker_transport() override;

    /// May be called from any thread. Tasks run in the order posted.
    void post(std::function<void()> task);
    /// Runs the task on this worker after 5 ms. Called on the worker's thread
    /// only.
    void post_delayed(std::function<void()> task);

    void registerPoller(Pistache::Polling::Epoll& poller) override;
    void onReady(const Pistache::Aio::FdSet& fds) override;
    std::shared_ptr<Pistache::Aio::Handler> clone() const override;

private:
    void handle(Pistache::Polling::Event event);
    void run_tasks();
    void run_delayed_tasks();
    void run_periodic_work();

    std::shared_ptr<Pistache::Tcp::Handler> handler_;
    /// The same handler; null if it has no timed work.
    timed_handler* timed_;
    int task_event_;
    int accept_check_timer_;
    int delay_timer_;
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    std::vector<std::function<void()>> delayed_tasks_;
    /// Event of Pistache's queue of accepted connections; learnt from the first
    /// connection.
    std::optional<Pistache::Polling::Event> accept_event_;
};

} // namespace galenapulley
