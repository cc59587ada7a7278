// Graceful stop of the node.
#include "node/node.hpp"

#include "node/completion_session.hpp"
#include "node/plain_session.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec release_timeout = 3000_ms;
/// Longest time after draining that a stop waits for writes of the ledger.
constexpr msec ledger_write_grace = 10'000_ms;

} // namespace

void node::request_stop()
{
    loop_.post([this] { begin_stop(); });
}

void node::begin_stop()
{
    if (std::exchange(stopping_, true))
        return;
    spdlog::info("stopping: {} requests in progress", sessions());
    stop_began_ = clock_.now();
    members_.announce_leaving();
    lease_.announce_leaving();
    run_gossip_tick();
    claims_.release_all(release_timeout, [] {});
}

std::size_t node::sessions() const
{
    return completion_sessions_.size() + plain_sessions_.size();
}

void node::check_stopped()
{
    const bool drained = stopping_ && sessions() == 0 &&
                         clock_.now() - stop_began_ > settings_.drain;
    if (!drained || lease_released_)
        return;
    // Gives the ledger time to record the outcome of finished actions.
    if (ledger_.background_writes() > 0 &&
        clock_.now() - stop_began_ < settings_.drain + ledger_write_grace)
        return;
    lease_released_ = true;
    lease_.release([this] { loop_.stop(); });
    // If the store is unavailable, the lease expires on its own.
    loop_.call_after(release_timeout, [this] { loop_.stop(); });
}

} // namespace galenapulley
