#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/serving_set.hpp"
#include "gateway/cluster_view.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/dispatcher_proxy.hpp"
#include "gateway/endpoint_prober.hpp"
#include "gateway/event_log.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/row_store.hpp"
#include "gateway/traffic_server.hpp"
#include "gateway/traffic_state.hpp"
#include "gateway/wire_format.hpp"
#include "gateway/work_announcer.hpp"
#include "node/control_loop.hpp"
#include "node/peer_socket.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// Platform-specific parts of a gateway.
struct gateway_adapter
{
    std::unique_ptr<wire_format> format;
    std::unique_ptr<row_codec> codec;
    /// Creates the client of the store; its callbacks run on the loop.
    std::function<std::unique_ptr<row_store>(control_loop&,
                                             const gateway_settings&)>
        make_store;
    /// Turns on the decisions that the deployment's contracts ask for and the
    /// settings leave open.
    std::function<void(gateway_settings&)> apply_contracts;
};

/// One gateway process: accepts clients' requests, places them on endpoints in
/// agreement with the other nodes, and forwards them. The thread that calls
/// run() is the control thread.
class gateway
{
public:
    gateway(gateway_settings settings, std::string settings_path,
            gateway_adapter adapter);
    ~gateway();

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until request_stop() is called and the gateway has drained.
    void run();
    /// May be called from any thread.
    void request_stop();
    void request_reload();

private:
    membership_options make_membership_options() const;
    void start_timers();
    void begin_stop();
    void check_stopped();
    void reload();
    void gossip();
    void add_gossip_payload(wire::gossip& message);
    void update_members();
    void update_live(const std::vector<const member*>& members);
    void update_domain_nodes(const std::vector<const member*>& members);
    void update_serving_set(const std::vector<const member*>& members);
    void log_serving_set();
    ranked_node own_rank() const;
    /// Nodes that the directory lists to clients.
    std::vector<listed_node> listed_nodes() const;
    /// Has tick() called soon; it is not called while there is nothing to do.
    void wake();
    void tick();
    void publish_state();
    void update_gauges();
    void join_cluster();
    void register_address();
    void on_store_restored();

    void receive(const wire::peer_message& message);
    void send_to_live(const wire::peer_message& message);
    void set_routing(std::shared_ptr<const routing_table> routing);

    gateway_settings settings_;
    std::string settings_path_;
    gateway_adapter adapter_;
    boot_time_clock clock_;
    std::int64_t incarnation_;
    event_log log_;
    counters counters_;
    gateway_metrics metrics_;
    control_loop loop_;
    membership members_;
    client_bounds bounds_;
    peer_socket peers_;
    std::unique_ptr<row_store> store_;
    dispatcher dispatcher_;
    work_announcer announcer_;
    serving_set serving_set_;
    cluster_view view_;
    boost::asio::io_context traffic_io_;
    dispatcher_proxy dispatcher_proxy_;
    endpoint_prober prober_;
    traffic_state traffic_;
    traffic_server server_;
    /// Incarnations of the nodes that are alive.
    std::map<std::string, std::int64_t> live_;
    bool has_routing_ = false;
    bool serving_ = false;
    /// This node's address is in the store, or being written.
    bool registered_ = false;
    bool is_awake_ = false;
    std::vector<listed_node> published_nodes_;
    bool published_ready_ = false;
    /// When this node was last listed to clients.
    std::optional<msec> listed_at_;
    msec stop_began_ = 0;
    msec last_settings_change_ = 0;
};

} // namespace galenapulley
