#pragma once

#include "galenapulley/back_end_load.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/fair_queue.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/permit.hpp"
#include "galenapulley/placement.hpp"
#include "galenapulley/service.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenapulley
{

class crash_registry;

/// Queued requests of one node process, listed in the owner's keep-alives.
struct queued_requests
{
    std::string node;
    std::int64_t incarnation = 0;
    std::vector<std::uint64_t> requests;
};

/// Grants the permits of one shard. Every permit of the shard is granted here,
/// so limits hold exactly over all nodes.
class shard_scheduler
{
public:
    using generator = std::mt19937_64;
    using refusal_counters = std::array<std::uint64_t, error_kind_count>;

    /// Time after its deadline at which a permit without a release expires.
    static constexpr msec release_grace = 5'000_ms;
    /// Time after a claim in which nodes register their running permits.
    static constexpr msec register_time = 1'000_ms;

    shard_scheduler(std::string shard, const clock& time, generator& random);

    /// Applies a document; keeps running and queued permits.
    void set_service(const service& document);
    void set_fleet(const fleet& document,
                   const std::set<std::string>& leaving_machines);
    /// Halves the limits once per lapsed owner that may still grant. Without
    /// its lease, this owner keeps to the half that its successor doesn't use.
    void set_allowance(std::uint32_t lapsed_owners, bool lease_held);
    /// Registry to check fingerprints against; nullptr for none. It has to
    /// outlive the scheduler.
    void set_crash_registry(const crash_registry* registry)
    {
        crash_registry_ = registry;
    }

    /// Removes all permits and grants nothing for `register_time`.
    void start_epoch(std::int64_t epoch);
    std::int64_t epoch() const { return epoch_; }

    /// Grants, queues or refuses a permit. Idempotent by key.
    permit_decision request(const permit_query& query);
    /// Returns decisions on queued requests. Must be called after releases and
    /// at least every 100 ms.
    std::vector<permit_decision> tick();
    /// Removes a queued request or ends an unused permit.
    void cancel(const permit_key& key);
    void release(const permit_key& key, const permit_result& result);
    /// Adds a permit that a former owner granted. If `deadline` is 0, it is
    /// computed from now and from the length class.
    void register_permit(const permit_key& key,
                         const std::vector<permit_share>& shares,
                         const std::string& customer = {}, msec deadline = 0);
    /// Removes permits and queued requests of the node's incarnations before
    /// `incarnation`.
    void drop_node(const std::string& node, std::int64_t incarnation);

    void on_load_report(const std::string& back_end, const load_report& report);
    void on_back_end_unreachable(const std::string& back_end);

    /// Requests of the class that could be granted, as of the last tick or
    /// change.
    std::uint32_t free_slots(std::size_t length_class) const;
    std::vector<std::uint32_t> free_slots_by_class() const;
    std::size_t queued() const { return queued_.size(); }
    std::size_t running() const { return permits_.size(); }
    std::vector<queued_requests> queued_by_node() const;
    const refusal_counters& refusals() const { return refusals_; }
    /// Permits that ended without a release.
    std::uint64_t expired_permits() const { return expired_; }

    const std::string& shard() const { return shard_; }
    /// Load of a back end of this shard; nullptr if it is unknown.
    const back_end_load* find_load(const std::string& back_end) const;
    /// The part of a limit from the document that this owner may use.
    std::uint32_t allowance(std::uint32_t limit) const;

private:
    struct key_hash
    {
        std::size_t operator()(const permit_key& key) const;
    };

    /// One back end's part of a running permit.
    struct booked_share
    {
        std::size_t index = 0;
        std::uint32_t tokens = 0;
        /// Outstanding prefill tokens at the grant, this prompt included.
        std::uint64_t prefill_tokens = 0;
        /// ended_tokens() of the back end at the grant.
        std::uint64_t ended_tokens = 0;
    };

    struct running_permit
    {
        std::string customer;
        std::size_t length_class = 0;
        std::uint32_t prompt_tokens = 0;
        msec granted_at = 0;
        msec expires_at = 0;
        /// Granted by a former owner, so its grant time is unknown.
        bool registered = false;
        std::vector<booked_share> shares;
    };

    struct queued_permit
    {
        permit_query query;
        std::uint64_t id = 0;
        msec latest_start = 0;
    };

    /// Recent load of a length class.
    struct class_load
    {
        fair_queue queue;
        /// Running average of the time that a permit is held; 0 if unknown.
        double mean_hold_ms = 0;
        std::uint32_t running = 0;
    };

    /// Limits of a customer and its running and queued requests.
    struct customer_load
    {
        std::uint32_t weight = 1;
        std::uint32_t max_in_flight = 50;
        std::uint32_t in_flight = 0;
    };

    using expiry = std::pair<msec, permit_key>;

    // Admission.
    permit_decision refuse(const permit_key& key, error_kind kind,
                           msec retry_after = 0);
    std::optional<error_kind> find_refusal(const permit_query& query);
    bool is_possible(const permit_query& query) const;
    bool is_yielding(std::size_t length_class) const;
    void update_yielding();
    bool may_grant(std::size_t length_class) const;
    msec expected_wait(const permit_query& query) const;
    msec expected_start(const permit_query& query) const;
    permit_decision enqueue(permit_query&& query);
    /// This shard's part of a customer's limit over all shards.
    std::uint32_t share_of_limit(std::uint32_t limit) const;
    customer_load& load_of(const std::string& customer);

    // Placement.
    std::uint32_t kv_need(const permit_query& query) const;
    bool is_usable(const back_end_load& load) const;
    bool is_usable_for(const permit_query& query,
                       const back_end_load& load) const;
    bool is_long(std::size_t length_class) const;
    bool is_short(const permit_query& query) const;
    /// The class whose limits and queue apply to a prompt.
    std::size_t effective_class(std::uint32_t prompt_tokens,
                                bool is_segmented) const;
    std::uint32_t slots_left(const back_end_load& load,
                             std::size_t length_class) const;
    std::uint32_t kv_limit(const back_end_load& load) const;
    std::uint32_t kv_free(const back_end_load& load) const;
    bool needs_segments(const permit_query& query) const;
    std::size_t segments_needed(const permit_query& query);
    back_end_candidate candidate_for(const permit_query& query,
                                     const back_end_load& load) const;
    bool place(const permit_query& query, std::vector<booked_share>& shares);
    bool place_whole(const permit_query& query,
                     std::vector<booked_share>& shares);
    bool place_segments(const permit_query& query,
                        std::vector<booked_share>& shares);
    void reserve_back_ends();
    void reserve_back_ends_for(const permit_query& query);
    std::uint32_t cached_tokens(const permit_query& query,
                                const back_end_load& load) const;
    void choose_long_back_ends();
    permit_decision grant(const permit_query& query,
                          std::vector<booked_share>&& shares);

    permit_decision decision_for(const permit_key& key,
                                 const running_permit& permit) const;

    // Bookkeeping.
    using permit_map = std::unordered_map<permit_key, running_permit, key_hash>;
    void book(const permit_key& key, running_permit&& permit);
    permit_map::iterator end_permit(permit_map::iterator it);
    void update_estimates(const running_permit& permit,
                          const permit_result& result);
    void update_first_token_estimate(const running_permit& permit, msec took);
    using queue_map = std::unordered_map<permit_key, queued_permit, key_hash>;
    queue_map::iterator remove_queued(queue_map::iterator it);
    void rebuild_loads(const std::vector<back_end>& back_ends);
    void rebook_permits(const std::vector<std::size_t>& new_index);
    void rebuild_queues();
    void update_availability();
    void update_periodically();
    void expire_permits();
    void refuse_unservable(std::vector<permit_decision>& decisions);
    bool grant_from(std::size_t length_class,
                    std::vector<permit_decision>& decisions);
    void clear_reservations();
    void grant_queued(std::vector<permit_decision>& decisions);

    std::string shard_;
    const clock& clock_;
    generator& random_;
    const crash_registry* crash_registry_ = nullptr;
    service service_;
    fleet fleet_;
    std::set<std::string> leaving_;
    std::unique_ptr<placement> placement_;
    std::uint32_t lapsed_owners_ = 0;
    bool lease_held_ = true;
    std::int64_t epoch_ = 0;
    msec grants_from_ = 0;
    /// Time of the current call, read once.
    msec now_ = 0;

    std::vector<back_end_load> loads_;
    std::vector<class_load> classes_;
    permit_map permits_;
    std::set<expiry> expiries_;
    queue_map queued_;
    std::unordered_map<std::uint64_t, permit_key> queued_ids_;
    std::set<expiry> queue_deadlines_;
    std::unordered_map<std::string, customer_load> customers_;
    std::uint64_t next_id_ = 1;
    std::size_t next_class_ = 0;
    /// Back ends of the whole service that are withdrawn.
    std::size_t withdrawn_ = 0;
    /// Shards of the service that have an admitted back end; at least 1.
    std::uint32_t active_shards_ = 1;
    /// Classes from this one on yield to shorter ones.
    std::size_t first_yielding_ = static_cast<std::size_t>(-1);
    /// Whether tick() has to check that queued requests have a usable back end.
    bool recheck_queue_ = false;
    /// Recent prefill work of long prompts and of all prompts, in tokens.
    double long_prefill_tokens_ = 0;
    double all_prefill_tokens_ = 0;
    msec updated_at_ = 0;
    refusal_counters refusals_{};
    std::uint64_t expired_ = 0;
    /// Buffers that decisions reuse to avoid allocations.
    std::vector<back_end_candidate> candidates_;
    std::vector<std::size_t> order_;
    std::vector<std::uint64_t> heads_;
    /// Back end that last ran a prompt with a prefix, by hash of the prefix.
    struct prefix_slot
    {
        std::uint64_t prefix = 0;
        std::uint64_t back_end = 0;
    };
    std::array<prefix_slot, 512> prefixes_{};
};

} // namespace galenapulley
