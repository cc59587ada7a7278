#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/reservation_sweeper.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenapulley
{

class config_registry;
class control_loop;
class held_reservations;
class http_client;
class membership;
class peer_link;
class permit_manager;
class shard_claims;
class table_service;
struct back_end;
struct http_result;

namespace wire
{
class peer_message;
}

struct engine_monitor_options
{
    std::string node;
    std::int64_t incarnation = 0;
    msec poll_period = 500;
    msec sweep_period = 2000;
    msec lease_ttl = 6000;
    msec call_timeout = 1000;
};

/// Polls the engines of the shards that this node owns. Passes load reports to
/// the schedulers and reservation lists to the sweeper, and releases abandoned
/// reservations.
class engine_monitor
{
public:
    struct dependencies
    {
        control_loop& loop;
        http_client& engines;
        config_registry& registry;
        membership& members;
        shard_claims& claims;
        permit_manager& permits;
        table_service& table;
        peer_link& peers;
        held_reservations& held;
    };

    engine_monitor(engine_monitor_options options, dependencies deps);

    /// Starts the polls that are due. Call it about every 100 ms.
    void tick();
    void on_message(const wire::peer_message& message);
    /// Called for each message and each newer heartbeat of a node.
    void on_node_alive(const std::string& node, std::int64_t incarnation);
    std::uint64_t swept() const { return swept_; }

private:
    struct engine_state
    {
        msec next_poll = 0;
        msec next_sweep = 0;
        bool polling = false;
        bool sweeping = false;
        std::string address;
    };

    void poll(const std::string& shard, const back_end& target);
    void on_load_response(const std::string& shard, const std::string& name,
                          const http_result& result);
    void sweep(const back_end& target);
    void on_reservation_list(const std::string& name,
                             const http_result& result);
    void perform(const sweep_actions& actions);
    void query_holder(const holder_query& query);
    void release(const reservation_release& item);
    void read_lease(const std::string& node);
    void reply_to_holder_query(const wire::peer_message& message);

    engine_monitor_options options_;
    dependencies deps_;
    reservation_sweeper sweeper_;
    std::map<std::string, engine_state> engines_;
    std::uint64_t swept_ = 0;
};

} // namespace galenapulley
