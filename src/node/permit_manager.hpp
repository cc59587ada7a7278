#pragma once

#include "galenapulley/crash_registry.hpp"
#include "galenapulley/permit.hpp"
#include "galenapulley/shard_scheduler.hpp"
#include "galenapulley/shard_selector.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

class clock;
class config_registry;
class membership;
class peer_link;
class shard_claims;
class view_freshness;
struct owned_shard;
struct service;

namespace wire
{
class peer_message;
class permit_grant;
class permit_refusal;
class permit_register;
class permit_release;
class permit_request;
} // namespace wire

struct permit_manager_options
{
    std::string node;
    std::int64_t incarnation = 0;
    std::string zone;
    /// A shard whose owner has not replied within this time is skipped.
    msec reply_timeout = 300;
    /// The same for a queued request, for which the owner sends keep-alives.
    msec keep_alive_timeout = 1500;
    msec keep_alive_period = 500;
    /// A grant is used only if the request was sent, or its owner last heard,
    /// within this time.
    msec grant_validity = 2000;
    std::size_t max_shards = 3;
    /// A request that finds no owner is retried at this interval for up to
    /// owner_retry_timeout. A released shard has a new owner within that time.
    msec owner_retry_interval = 200;
    msec owner_retry_timeout = 5000;
    std::uint64_t seed = 1;
};

struct granted_permit
{
    std::uint64_t request = 0;
    std::string shard;
    std::vector<permit_share> shares;
};

/// Requests permits from shard owners, and decides on permit requests for the
/// shards that this node owns.
class permit_manager
{
public:
    using permit_callback = std::function<void(absl::StatusOr<granted_permit>)>;

    /// Dependencies; all of them must outlive the manager.
    struct dependencies
    {
        const clock& time;
        config_registry& registry;
        membership& members;
        shard_claims& claims;
        view_freshness& freshness;
        crash_registry& crashes;
        peer_link& peers;
    };

    permit_manager(permit_manager_options options, dependencies deps);

    /// Requests a permit for one attempt at a service and returns the number
    /// of the permit request. `done` runs once unless the request is cancelled;
    /// it may run before this function returns.
    std::uint64_t request_permit(const std::shared_ptr<const service>& target,
                                 permit_query query, permit_callback done);
    /// Cancels a pending permit request, or returns an unused permit.
    void cancel(std::uint64_t request);
    /// Returns a granted permit with its result.
    void release(std::uint64_t request, const permit_result& result);

    void on_message(const wire::peer_message& message);
    /// Call it about every 20 ms.
    void tick();

    // Changes of the control state.
    void on_services_changed();
    void on_fleet_changed(const std::set<std::string>& leaving_machines);
    void on_shard_gained(const owned_shard& shard);
    void on_shard_lost(const std::string& shard);
    void on_allowance_changed(const std::string& shard);
    void on_owner_changed(const std::string& shard);
    void on_node_restarted(const std::string& node, std::int64_t incarnation);

    /// Records a crash and reports it to the owners of the service's shards.
    void report_crash(const std::string& service_name,
                      const crash_report& report);

    /// Returns null if this node does not own the shard.
    shard_scheduler* find_scheduler(const std::string& shard);
    std::size_t waiting() const { return waiting_.size(); }
    /// Whether a permit request of this node is pending, or a request is queued
    /// at a shard that this node owns.
    bool has_waiting() const;
    std::size_t granted() const { return granted_.size(); }

private:
    struct waiting_request
    {
        std::shared_ptr<const service> target;
        permit_query query;
        permit_callback done;
        std::vector<std::string> tried;
        std::string shard;
        std::string owner;
        msec heard_at = 0;
        bool queued = false;
        absl::Status refusal;
        msec requested_at = 0;
        /// When to try the shards again; empty while a shard is being tried.
        std::optional<msec> retry_at;
    };

    struct active_permit
    {
        std::string shard;
        std::string customer;
        std::vector<permit_share> shares;
        msec deadline = 0;
    };

    using message_handler = void (permit_manager::*)(const wire::peer_message&);
    struct handler_entry
    {
        int body = 0;
        message_handler handle = nullptr;
    };
    static const std::vector<handler_entry>& handlers();

    // Requesting side.
    void try_next_shard(std::uint64_t request);
    void send_permit_request(std::uint64_t request, waiting_request& it);
    void fail_request(std::uint64_t request);
    bool schedule_retry(waiting_request& it);
    void retry_due_requests(msec now);
    void accept_grant(std::uint64_t request, const std::string& shard,
                      std::vector<permit_share> shares);
    void process_refusal(std::uint64_t request, const std::string& shard,
                         error_kind kind);
    void check_reply_timeouts();
    void handle_queued(const wire::peer_message& message);
    void handle_grant(const wire::peer_message& message);
    void handle_refusal(const wire::peer_message& message);
    void handle_keep_alive(const wire::peer_message& message);
    void send_release(const std::string& shard, const std::string& owner,
                      std::uint64_t request, const permit_result& result);

    // Shard owner's side.
    void handle_request(const wire::peer_message& message);
    void handle_release(const wire::peer_message& message);
    void handle_register(const wire::peer_message& message);
    void handle_crash_reports(const wire::peer_message& message);
    permit_decision decide(shard_scheduler& scheduler,
                           const permit_query& query) const;
    void deliver(const shard_scheduler& scheduler,
                 const permit_decision& decision, std::size_t length_class);
    void tick_scheduler(shard_scheduler& scheduler);
    void send_keep_alives();
    void configure(shard_scheduler& scheduler);

    bool is_own(const permit_key& key) const;
    std::string owner_of(const std::string& shard) const;
    void send_to(const std::string& node, const wire::peer_message& message);
    shard_selector& selector_for(const std::shared_ptr<const service>& target);
    permit_key key_of(std::uint64_t request) const;

    permit_manager_options options_;
    dependencies deps_;
    std::mt19937_64 random_;
    std::uint64_t last_request_ = 0;
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    std::unordered_map<std::uint64_t, active_permit> granted_;
    std::map<std::string, std::unique_ptr<shard_scheduler>> schedulers_;
    std::map<std::string, shard_selector> selectors_;
    std::set<std::string> leaving_machines_;
    msec next_keep_alive_ = 0;
};

} // namespace galenapulley
