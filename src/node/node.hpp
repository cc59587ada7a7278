#pragma once

#include "galenapulley/action_ledger.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/config_sync.hpp"
#include "galenapulley/config_writer.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/crash_registry.hpp"
#include "galenapulley/latency.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/node_lease.hpp"
#include "galenapulley/node_settings.hpp"
#include "galenapulley/retry_budget.hpp"
#include "galenapulley/shard_claims.hpp"
#include "galenapulley/view_freshness.hpp"
#include "node/admin_api.hpp"
#include "node/config_manager.hpp"
#include "node/control_loop.hpp"
#include "node/engine_monitor.hpp"
#include "node/held_reservations.hpp"
#include "node/http_client.hpp"
#include "node/http_server.hpp"
#include "node/http_table_service.hpp"
#include "node/known_tokens.hpp"
#include "node/order_manager.hpp"
#include "node/peer_socket.hpp"
#include "node/permit_manager.hpp"
#include "node/request_handler.hpp"
#include "node/session_context.hpp"
#include "node/vm_list_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace galenapulley
{

class completion_session;
class plain_session;
struct completion_request;

/// One node process: owns the control state and wires up the modules. Members
/// other than the constructor and request_stop() run on the control thread.
class node
{
public:
    explicit node(node_settings settings);
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Serves until a graceful stop is complete.
    void run();
    /// Begins a graceful stop. May be called from any thread.
    void request_stop();

    void begin_completion(completion_request request,
                          const std::shared_ptr<http_exchange>& exchange);
    void begin_plain_request(const std::string& service_name,
                             const std::string& path, http_request request,
                             const std::shared_ptr<http_exchange>& exchange);
    void handle_other(const http_request& request,
                      const std::shared_ptr<http_exchange>& exchange);

private:
    // Construction.
    membership_options make_membership_options() const;
    node_lease::settings make_lease_settings() const;
    void connect_modules();
    void start_timers();

    // Periodic work.
    void run_fast_tick();
    /// Starts the fast tick timer if it is not running. Called when there is
    /// new work.
    void wake_fast_tick();
    bool needs_fast_tick() const;
    void run_control_tick();
    void run_gossip_tick();
    void update_candidates();
    void read_vm_list();
    void read_seeds();

    // Peer messages.
    void on_peer_message(const wire::peer_message& message);
    void on_gossip(const wire::peer_message& message);
    void fill_gossip(wire::gossip& message,
                     std::size_t max_crash_reports) const;
    void update_incarnation(const std::string& peer, std::int64_t incarnation);

    // Changes of state.
    void on_document(const config_document& document);
    /// Has large bodies read for the tokens of the documents in force.
    void update_known_tokens();
    void on_shard_gained(const owned_shard& shard);
    void on_shard_lost(const std::string& shard, std::int64_t epoch);
    bool must_abort_segmented() const;
    bool is_settled() const;

    // Requests.
    bool refuse_if_unavailable(const std::shared_ptr<http_exchange>& exchange);
    std::string nodes_json();
    std::string status_json();
    std::string metrics_text();

    // Stop.
    void begin_stop();
    void check_stopped();
    std::size_t sessions() const;

    node_settings settings_;
    std::int64_t incarnation_;
    boot_time_clock clock_;
    control_loop loop_;
    counters counters_;
    counter_family& control_counts_;
    latency latency_;

    http_client platform_client_;
    http_client engine_client_;
    http_table_service table_;
    vm_list_client vms_;

    config_registry registry_;
    config_sync sync_;
    config_writer writer_;
    membership members_;
    view_freshness freshness_;
    crash_registry crashes_;
    retry_budget retries_;
    held_reservations held_;
    std::set<std::string> vm_machines_;
    bool vm_list_read_ = false;
    std::set<std::string> leaving_machines_;

    node_lease lease_;
    shard_claims claims_;
    peer_socket peers_;
    permit_manager permits_;
    action_ledger ledger_;
    config_manager config_;
    engine_monitor monitor_;
    order_manager orders_;
    admin_api admin_;
    session_context session_context_;
    known_tokens tokens_;
    request_handler requests_;
    std::unique_ptr<http_server> server_;

    std::uint64_t last_session_number_ = 0;
    std::map<std::uint64_t, std::shared_ptr<completion_session>>
        completion_sessions_;
    std::map<std::uint64_t, std::shared_ptr<plain_session>> plain_sessions_;
    std::map<std::string, std::int64_t> incarnations_;

    /// When the stop was requested; 0 before.
    msec stop_began_ = 0;
    bool stopping_ = false;
    bool lease_released_ = false;
    bool was_fresh_ = false;
    /// Timer of the fast tick; 0 while no request waits for a permit or for the
    /// action ledger.
    std::uint64_t fast_timer_ = 0;
};

} // namespace galenapulley
