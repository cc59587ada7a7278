#pragma once

#include "galenapulley/accounts/account_limits.hpp"
#include "galenapulley/accounts/account_report.hpp"
#include "galenapulley/accounts/account_shares.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/crash_registry.hpp"
#include "galenapulley/endpoint_announcements.hpp"
#include "galenapulley/endpoint_registry.hpp"
#include "galenapulley/endpoints/endpoint_estimates.hpp"
#include "galenapulley/fleet_load.hpp"
#include "galenapulley/handover_targets.hpp"
#include "galenapulley/partition_detector.hpp"
#include "galenapulley/placement_queue.hpp"
#include "galenapulley/placement_turn.hpp"
#include "galenapulley/prefixes/prefix_index.hpp"
#include "galenapulley/prompt_placement.hpp"
#include "galenapulley/prompt_quarantine.hpp"
#include "galenapulley/rate_meter.hpp"
#include "galenapulley/rate_share.hpp"
#include "galenapulley/retry_budget.hpp"
#include "gateway/dispatch_request.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace galenapulley
{

class event_log;
enum class log_event;

namespace wire
{
class work_entry;
class work_update;
} // namespace wire

struct dispatcher_options
{
    std::string node;
    std::string failure_domain;
    /// Retries allowed to all nodes together in ten seconds.
    retry_allowance cluster_retries{};
    /// See gateway_settings::load_decisions.
    bool admission_forecast = false;
    bool account_shares = false;
    bool endpoint_estimates = false;
};

/// Work that placing waiting requests has taken since the process started.
struct placement_work
{
    /// Longest turn and most attempts in a turn.
    msec longest_ms = 0;
    std::size_t most_attempts = 0;
    /// Attempts in all turns.
    std::uint64_t attempts = 0;
    /// Turns that left requests to a later one.
    std::uint64_t unfinished_turns = 0;
};

/// Places requests on endpoints, queues them until one is free, or refuses
/// them, and announces its placements to the other nodes. Used on the control
/// thread.
class dispatcher
{
public:
    using result_callback = std::function<void(dispatch_result)>;
    using announce_callback = std::function<void(const wire::work_update&)>;
    using crash_callback = std::function<void(const crash_report&)>;
    using prompts_callback = std::function<void(const prompt_reports&)>;
    using probe_callback =
        std::function<void(endpoint_key, const std::string& address)>;

    dispatcher(dispatcher_options options, const clock& time, event_log& log);

    /// The callback sends an update to the other nodes that place requests.
    void set_announce(announce_callback fn) { announce_ = std::move(fn); }
    void set_crash_announce(crash_callback fn)
    {
        announce_crash_ = std::move(fn);
    }
    /// The callback sends reports of prompts that crash endpoints to the other
    /// nodes.
    void set_prompts_announce(prompts_callback fn)
    {
        announce_prompts_ = std::move(fn);
    }
    /// The callback connects to an endpoint, without a request, and reports the
    /// result to on_probe().
    void set_probe(probe_callback fn) { probe_ = std::move(fn); }
    /// The callback is invoked when a request begins to wait and tick() has to
    /// be called periodically.
    void set_wake(std::function<void()> fn) { wake_ = std::move(fn); }
    /// The callback is invoked when continue_placing() has to be called in the
    /// next iteration of the event loop.
    void set_continue(std::function<void()> fn) { continue_ = std::move(fn); }
    /// The callback gets the tokens that need no prefill when a request is
    /// placed where a prefix of its prompt is retained.
    void set_prefix_use(std::function<void(double)> fn)
    {
        on_prefix_use_ = std::move(fn);
    }

    void request(dispatch_request item, result_callback done);
    /// Removes a waiting request whose client has disconnected or whose
    /// deadline has passed.
    void cancel(std::uint64_t id);
    void on_first_token(std::uint64_t id);
    /// The endpoint has sent enough of the response to show that the prompt
    /// doesn't crash it.
    void on_sound(std::uint64_t id);
    /// The head of a response of the endpoint has arrived.
    void on_announcement(endpoint_key key,
                         const endpoint_announcement& announced);
    /// A response has changed the record of announcements.
    void on_recorded(endpoint_key key, const announcement_changes& changes);
    void on_finished(std::uint64_t id, const attempt_result& result);
    /// Time after which a refused client may return because an endpoint of the
    /// service wants requests again; 0 if one wants them now.
    msec pause_of(const std::string& service);

    /// Retries the placement of waiting requests and refuses those that can no
    /// longer be served in time.
    void tick();
    /// Continues to place waiting requests where the last turn ended.
    void continue_placing();
    /// While this node is partitioned from the endpoints, checks whether it
    /// still is.
    void probe_endpoints();
    /// A connection that a probe began at `began_at` was made, or failed.
    void on_probe(endpoint_key key, msec began_at, bool connected);
    bool is_partitioned() const { return partition_.is_partitioned(); }
    /// All work of this node, which replaces what the other nodes know of it.
    wire::work_update all_work() const;
    /// Forgets the work of nodes that have stopped announcing it, as they do
    /// when they leave the serving set.
    void drop_silent_nodes();
    /// Client requests per second that this node receives.
    double request_rate() const { return rate_.value(clock_.now()); }

    void set_endpoints(const std::vector<endpoint>& entries,
                       bool authoritative);
    void drop_missing(bool authoritative, msec authoritative_since);
    /// The store was restored from a backup, so entries may be outdated.
    void on_store_restored();
    void set_withdrawn(std::set<std::string> domains);
    /// Number of other nodes that are live, and that are known.
    void set_nodes(std::size_t live, std::size_t known);

    /// Sets the live nodes of the serving set, other than this one.
    void set_peers(std::map<std::string, peer_gateway> peers)
    {
        handover_targets_.set_peers(std::move(peers));
    }

    /// Sets the configuration that gives the costs of other nodes' work and the
    /// names of accounts.
    void set_routing(std::shared_ptr<const routing_table> table);
    /// Recent use and limits of client accounts, for operators.
    std::vector<account_report> account_reports() const;
    /// Logs the limits of accounts that have ended.
    void end_account_limits();
    std::size_t limited_accounts() const { return account_limits_.size(); }

    void on_update(const std::string& node, const wire::work_update& message);
    void on_node_lost(const std::string& node);
    void on_crash_report(const crash_report& item);
    void on_prompt_reports(const prompt_reports& reports);
    /// What a node that has just started has to learn about prompts.
    prompt_reports known_prompts() { return quarantine_.reports(clock_.now()); }

    const endpoint_registry& endpoints() const { return registry_; }
    /// May be used by other threads.
    endpoint_announcements& announcements() { return announcements_; }
    const endpoint_estimates& estimates() const { return estimates_; }
    /// What operators see of the estimates, as JSON.
    std::string describe_estimates() const;
    const fleet_load& load() const { return load_; }
    const placement_work& placing() const { return placing_; }
    std::size_t waiting() const { return queue_.size(); }
    std::size_t running() const { return running_.size(); }

private:
    struct waiting_request
    {
        dispatch_request item;
        result_callback done;
    };
    struct running_request
    {
        endpoint_key primary = 0;
        std::vector<endpoint_key> endpoints;
        std::uint64_t fingerprint = 0;
        std::vector<prompt_part> shared_parts;
        std::string attempt;
        msec placed_at = 0;
        /// Expected for an endpoint of usual speed; 0 if the time to first
        /// token shows nothing of the endpoint.
        double expected_first_token_ms = 0;
        /// The node that the request was handed over to; empty if none was.
        std::string handed_to{};
        /// Set for long prefills, whose end is announced to the other nodes.
        bool announce_first_token = false;
    };
    struct candidate_list
    {
        std::vector<const known_endpoint*> endpoints;
        std::vector<placement_candidate> load;
        /// Endpoints that selectable() returned, including those that can't
        /// take this request.
        std::size_t known = 0;
    };

    candidate_list candidates(const dispatch_request& item) const;
    /// The service's usable endpoints, without ejected ones unless too few
    /// others can take the request; an ejected one alone if the request is a
    /// trial of it.
    std::vector<const known_endpoint*>
    selectable(const dispatch_request& item) const;
    /// Whether the request may try an endpoint that fails many requests.
    bool is_trial_of(const dispatch_request& item,
                     const known_endpoint& it) const;
    /// What running_request::expected_first_token_ms is for the choice.
    double measured_first_token_ms(const dispatch_request& item,
                                   const candidate_list& list,
                                   const placement_choice& choice) const;
    void record_speed(running_request& work);
    void record_reliability(const running_request& work,
                            const attempt_result& result);
    void update_members();
    void record_peer_estimates(const std::string& node,
                               const wire::work_update& message);
    void write_estimates(wire::work_update& update) const;
    /// Ejects and reinstates endpoints.
    void evaluate_estimates();
    /// Whether the endpoint's rate limit allows another request of this node.
    bool has_room(const known_endpoint& it) const;
    bool may_use(const dispatch_request& item, const known_endpoint& it,
                 const endpoint_load& load) const;
    bool try_place(const dispatch_request& item, const result_callback& done);
    /// Reports to the turn what room a failed attempt has found.
    bool try_place(const dispatch_request& item, const result_callback& done,
                   const placement_need& need, placement_turn& turn);
    /// Whether its memory has to be distributed over several endpoints.
    static bool is_distributed(const engine_profile& engine,
                               const dispatch_request& item);
    /// Whether several endpoints may prefill it.
    static bool is_split(const engine_profile& engine,
                         const dispatch_request& item);
    static placement_need need_of(const dispatch_request& item);
    static std::optional<double> room_for(const dispatch_request& item,
                                          const candidate_list& list);
    std::optional<placement_choice> choose(const dispatch_request& item,
                                           const candidate_list& list) const;
    /// Weighs the prefixes that endpoints retain against their load.
    std::optional<placement_choice>
    place_on_engines(const dispatch_request& item, const engine_profile& engine,
                     const placement_request& request,
                     const candidate_list& list) const;
    void set_prefix_holders();
    void record_prefixes(std::uint64_t id, const running_request& work,
                         const attempt_result& result);
    void record_peer_prefixes(const wire::work_update& message);
    void write_prefixes(wire::work_update& update) const;
    void grant(const dispatch_request& item, const candidate_list& list,
               const placement_choice& choice, const result_callback& done);
    void refuse(const dispatch_request& item, dispatch_refusal refusal,
                const result_callback& done);
    void refuse_waiting(std::uint64_t id, dispatch_refusal refusal);
    /// Why the request must not be sent to endpoints; absent if it may be.
    std::optional<dispatch_refusal>
    quarantine_refusal(const dispatch_request& item);
    /// When the first endpoint of the service that isn't excluded wants
    /// requests from this node; absent if there is none.
    std::optional<msec>
    first_pause_end(const std::string& service,
                    const std::vector<endpoint_key>& excluded) const;
    /// Spreads the clients that return after a pause.
    msec retry_after_pause(msec left, std::uint64_t id) const;
    /// Why the request isn't worth a wait: all endpoints want a pause.
    std::optional<dispatch_refusal>
    pause_refusal(const dispatch_request& item) const;
    /// Why the request must not, or need not, wait for an endpoint.
    std::optional<dispatch_refusal> early_refusal(const dispatch_request& item);
    /// Why a node that is partitioned from the endpoints can't take it.
    std::optional<dispatch_refusal>
    partition_refusal(const dispatch_request& item) const;
    /// A node that is likely to reach endpoints, while this one doesn't.
    std::optional<handover> choose_peer(const dispatch_request& item) const;
    void record_peer_contact(const std::string& node,
                             const wire::work_update& message);
    void hand_over(const dispatch_request& item, handover to,
                   const result_callback& done);
    void record_handover(const running_request& work,
                         const attempt_result& result);
    void record_connection(const running_request& work,
                           const attempt_result& result);
    void on_partition_change(partition_detector::change change);
    /// Adds what this node knows of its links to the endpoints.
    void announce(wire::work_update update);
    /// Tries the waiting requests in their order, as far as the limits of a
    /// turn allow; continue_placing() and tick() try the rest.
    void place_waiting();
    struct turn_result
    {
        bool placed = false;
        /// The first request that the turn left to a later one.
        std::optional<placement_rank> left{};
    };

    turn_result run_turn(std::optional<placement_rank> from);
    void continue_after(const turn_result& turn);
    void count_turn(const placement_turn& turn, msec elapsed,
                    bool is_unfinished);
    bool place(std::uint64_t id, const placement_need& need,
               placement_turn& turn);
    /// Finds out, from time to time, which waiting requests are over the share
    /// of their accounts.
    void refresh_shares();
    void update_shares(msec now);
    /// Returns the waiting requests of the service that are over the share of
    /// their accounts. `requests` is in the order of placement.
    std::vector<std::uint64_t>
    over_share(const std::string& service,
               const std::vector<const dispatch_request*>& requests, msec now);
    /// Whether a request that begins to wait is ordered after others at once.
    bool begins_over_share(const dispatch_request& item);
    /// Whether a waiting request leaves free endpoints to other nodes, at which
    /// requests of accounts under their share wait.
    bool is_deferred(const dispatch_request& item) const;
    void count_peer_use(const placed_work& work, const wire::work_entry& entry,
                        bool is_listed);
    /// Counts the endpoint time of work that is placed now, or that a node
    /// lists because it still runs.
    void count_use(const placed_work& work, bool is_listed);
    double cost_of(const std::string& service, double prompt_tokens,
                   double output_tokens) const;
    void log_account(log_event event, const limited_account& item);
    std::string account_name(account_key account) const;
    void record_failure(const running_request& work,
                        const attempt_result& result);
    /// The endpoint that caused the end of the attempt.
    static endpoint_key failed_endpoint(const running_request& work,
                                        const attempt_result& result);
    retry_budget& budget_of(const std::string& service);
    void count_peer_work(const wire::work_entry& entry);
    void record_peer_failure(endpoint_key key, const std::string& peer);
    /// `peer` is empty if this node received the response.
    bool record_rate_limit(const rate_limit_report& report,
                           const std::string& peer);
    void record_peer_pause(const pause_report& report, const std::string& peer);
    void record_peer_leaving(endpoint_key key, const std::string& peer);
    void log_leaving(endpoint_key key, const std::string& peer);
    void log_rate_limit(const rate_limit_report& report,
                        const std::string& peer);
    void write_announcements(wire::work_update& update) const;
    void write_contact(wire::work_update& update) const;
    void forget_removed_endpoints();
    void record_crash(const running_request& work,
                      const attempt_result& result);
    void report_request_crash(const running_request& work);
    void report_prompt_crash(const running_request& work);
    void log_quarantine();
    /// Why the service's endpoints couldn't serve the request in time even if
    /// all of them were idle; empty if they could.
    std::string_view infeasible_reason(const dispatch_request& item) const;
    /// See placement_queue_entry: the least time, or the usual one on busy
    /// engines with options_.admission_forecast.
    msec min_service_time(const dispatch_request& item) const;
    /// Number of endpoints that may prefill segments of the prompt.
    std::size_t max_prefill_endpoints(const dispatch_request& item) const;

    dispatcher_options options_;
    const clock& clock_;
    event_log& log_;
    announce_callback announce_;
    crash_callback announce_crash_;
    prompts_callback announce_prompts_;
    std::function<void()> wake_ = [] {
    };
    std::function<void()> continue_ = [] {
    };
    rate_meter rate_;
    /// When each node last announced work.
    std::map<std::string, msec> heard_at_;
    endpoint_registry registry_;
    endpoint_announcements announcements_;
    endpoint_estimates estimates_;
    partition_detector partition_;
    probe_callback probe_ = [](endpoint_key, const std::string&) {
    };
    std::uint64_t probes_ = 0;
    handover_targets handover_targets_;
    fleet_load load_;
    prefix_index prefixes_;
    std::function<void(double)> on_prefix_use_ = [](double) {
    };
    rate_share rate_share_;
    placement_queue queue_;
    /// Where a turn continues in the next iteration of the event loop.
    std::optional<placement_rank> continue_at_;
    /// Where the next tick tries requests that the turns before did not reach.
    std::optional<placement_rank> sweep_at_;
    placement_work placing_;
    crash_registry crashes_;
    prompt_quarantine quarantine_;
    /// The quarantined parts that the log has last named.
    std::set<std::uint64_t> logged_parts_;
    /// Retry budgets by service; they count the requests and retries of all
    /// nodes.
    std::map<std::string, retry_budget> budgets_;
    retry_allowance allowance_;
    std::set<std::string> withdrawn_;
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    std::unordered_map<std::uint64_t, running_request> running_;
    std::uint64_t last_crash_ = 0;
    std::uint64_t pause_queries_ = 0;
    std::shared_ptr<const routing_table> routing_;
    account_shares account_shares_;
    account_limits account_limits_;
    std::map<account_key, std::string> account_names_;
    std::map<limited_account, refusal_counts> account_refusals_;
    /// Waiting requests over the share of their account.
    std::unordered_set<std::uint64_t> over_share_;
    /// When another node last placed a request of the service that had waited
    /// and was under the share of its account.
    std::map<std::string, msec> peers_waited_at_;
    msec shares_updated_at_ = 0;
};

} // namespace galenapulley
