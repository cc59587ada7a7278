#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace galenapulley
{

class action_ledger;
class config_registry;
class control_loop;
class counters;
class held_reservations;
class http_client;
class latency;
class permit_manager;
class retry_budget;
class view_freshness;

/// Dependencies of the sessions; all of them must outlive the sessions.
struct session_context
{
    std::string node;
    std::int64_t incarnation = 0;
    const clock& time;
    control_loop& loop;
    http_client& engines;
    permit_manager& permits;
    config_registry& registry;
    view_freshness& freshness;
    counters& counts;
    latency& latencies;
    retry_budget& retries;
    action_ledger& ledger;
    held_reservations& held;
    /// Whether this node has to end segmented requests: its view is stale, and
    /// its lease has lapsed for so long that shard owners may release its
    /// reservations.
    std::function<bool()> must_abort_segmented;
};

} // namespace galenapulley
