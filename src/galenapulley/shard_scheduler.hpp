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
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenapulley
{

class strike_book;

/// Queued requests of one node process, for keep-alives.
struct queued_requests
{
    std::string node;
    std::int64_t incarnation = 0;
    std::vector<std::uint64_t> requests;
};

/// Grants the permits of one shard. Limits hold exactly over all nodes,
/// because every permit of the shard is granted here.
class shard_scheduler
{
public:
    using generator = std::mt19937_64;
    using refusal_counters = std::array<std::uint64_t, error_kind_count>;

    /// A permit that isn't released ends at its deadline plus this time.
    static constexpr msec release_grace = 5'000_ms;
    /// After a claim, nodes register their running permits for this time.
    static constexpr msec register_time = 1'000_ms;

    shard_scheduler(std::string shard, const clock& time, generator& random);

    /// Running and queued permits are kept.
    void set_service(const service& document);
    void set_fleet(const fleet& document,
                   const std::set<std::string>& leaving_machines);
    /// `lapsed_owners` halves the limits once per owner that may still grant;
    /// without its lease this owner grants the other half.
    void set_allowance(std::uint32_t lapsed_owners, bool lease_held);
    /// Strikes to check fingerprints against; nullptr for none. The book has to
    /// outlive the scheduler.
    void set_strikes(const strike_book* strikes) { strikes_ = strikes; }

    /// Forgets all permits and grants nothing for `register_time`.
    void start_epoch(std::int64_t epoch);
    std::int64_t epoch() const { return epoch_; }

    /// Grants, queues or refuses. A repeat of a key gets the same answer.
    permit_decision request(const permit_query& query);
    /// Decisions on queued requests. To be called after releases and at least
    /// every 100 ms.
    std::vector<permit_decision> tick();
    /// Removes a queued request or ends an unused permit.
    void cancel(const permit_key& key);
    void release(const permit_key& key, const permit_result& result);
    /// Books a permit that a former owner granted. A deadline of 0 stands for
    /// the deadline of its length class from now.
    void register_permit(const permit_key& key,
                         const std::vector<permit_share>& shares,
                         const std::string& customer = {}, msec deadline = 0);
    /// Ends permits and queued requests of the node's incarnations below
    /// `incarnation`.
    void drop_node(const std::string& node, std::int64_t incarnation);

    void on_load_report(const std::string& back_end, const load_report& report);
    void on_back_end_unreachable(const std::string& back_end);

    /// Requests of the class that could be granted now.
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
    /// The limit that this owner may use of a limit of the document.
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
        /// Prefill work before and including this prompt at the grant.
        std::uint64_t prefill_tokens = 0;
    };

    struct running_permit
    {
        std::string customer;
        std::size_t length_class = 0;
        std::uint32_t prompt_tokens = 0;
        msec granted_at = 0;
        msec expires_at = 0;
        std::vector<booked_share> shares;
    };

    struct queued_permit
    {
        permit_query query;
        std::uint64_t id = 0;
    };

    /// Recent load of a length class.
    struct class_load
    {
        fair_queue queue;
        /// Running average of the time that a permit is held; 0 if unknown.
        double held_ms = 0;
        std::uint32_t running = 0;
    };

    using expiry = std::pair<msec, permit_key>;

    // Admission.
    std::size_t class_of(const permit_query& query) const;
    permit_decision refuse(const permit_key& key, error_kind kind,
                           msec retry_after = 0);
    bool find_refusal(const permit_query& query, error_kind& kind);
    bool is_over_customer_limit(const std::string& customer) const;
    bool gives_way(std::size_t length_class) const;
    msec expected_wait(const permit_query& query) const;
    msec expected_start(const permit_query& query) const;
    permit_decision enqueue(const permit_query& query);

    // Placement.
    std::uint32_t kv_need(const permit_query& query) const;
    bool is_usable(const back_end_load& load) const;
    bool is_excluded(const permit_query& query,
                     const back_end_load& load) const;
    bool is_long(std::size_t length_class) const;
    bool has_room(const back_end_load& load, std::size_t length_class) const;
    std::uint32_t slots_left(const back_end_load& load,
                             std::size_t length_class) const;
    std::uint32_t kv_limit(const back_end_load& load) const;
    bool needs_segments(const permit_query& query, bool& possible) const;
    bool place(const permit_query& query, std::vector<booked_share>& shares);
    bool place_whole(const permit_query& query,
                     std::vector<booked_share>& shares);
    bool place_segments(const permit_query& query,
                        std::vector<booked_share>& shares);
    void choose_long_back_ends();
    permit_decision grant(const permit_query& query,
                          std::vector<booked_share>&& shares);

    // Bookkeeping.
    using permit_map = std::unordered_map<permit_key, running_permit, key_hash>;
    void book(const running_permit& permit);
    permit_map::iterator end_permit(permit_map::iterator it);
    void learn(const running_permit& permit, const permit_result& result);
    void remove_queued(const permit_key& key);
    void count_customer(const std::string& customer, int change);
    void rebuild(std::vector<back_end_load>&& loads);
    void rebuild_queues();
    void update_availability();
    void expire_permits();
    void refuse_hopeless(std::vector<permit_decision>& decisions);
    bool grant_from(std::size_t length_class,
                    std::vector<permit_decision>& decisions);
    void grant_queued(std::vector<permit_decision>& decisions);

    std::string shard_;
    const clock& clock_;
    generator& random_;
    const strike_book* strikes_ = nullptr;
    service service_;
    fleet fleet_;
    std::set<std::string> leaving_;
    std::unique_ptr<placement> placement_;
    std::uint32_t lapsed_owners_ = 0;
    bool lease_held_ = true;
    std::int64_t epoch_ = 0;
    msec grants_from_ = 0;

    std::vector<back_end_load> loads_;
    std::vector<class_load> classes_;
    permit_map permits_;
    std::set<expiry> expiries_;
    std::unordered_map<permit_key, queued_permit, key_hash> queued_;
    std::unordered_map<std::uint64_t, permit_key> queued_ids_;
    std::set<expiry> queue_deadlines_;
    std::unordered_map<std::string, std::uint32_t> in_flight_;
    std::uint64_t next_id_ = 1;
    std::size_t next_class_ = 0;
    /// Share of the service's back ends that are unavailable.
    double unavailable_ = 0;
    /// Recent prefill work of long prompts and of all prompts, in tokens.
    double long_work_ = 0;
    double all_work_ = 0;
    msec work_since_ = 0;
    refusal_counters refusals_{};
    std::uint64_t expired_ = 0;
    /// Scratch space of a decision, so that it allocates nothing per back end.
    std::vector<placement_candidate> candidates_;
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
