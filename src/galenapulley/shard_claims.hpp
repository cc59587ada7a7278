#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/node_lease.hpp"
#include "galenapulley/table_service.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenapulley
{

/// A candidate for ownership.
struct known_node
{
    std::string node;
    std::string zone;
    bool leaving = false;
};

/// A former owner whose lease lapsed without release. It may still grant.
struct lapsed_owner
{
    std::string node;
    std::int64_t incarnation = 0;
    std::string machine;

    bool operator==(const lapsed_owner&) const = default;
};

/// Value of a row shards/<shard>.
struct shard_record
{
    /// Empty once released.
    std::string node;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
    std::vector<lapsed_owner> lapsed;
};

std::string shard_key(const std::string& shard);
std::string format_shard(const shard_record& record);
std::optional<shard_record> parse_shard(const std::string& value);

/// The part of `limit` that an owner may grant: ceil(a/2) per lapsed former
/// owner, and floor(a/2) of that while its own lease is not held.
std::uint32_t shard_allowance(std::uint32_t limit, std::uint32_t lapsed_owners,
                              bool held);

/// The candidates for a shard in claiming order: nodes of the shard's zone
/// first, then by rendezvous hash. Leaving nodes are left out.
std::vector<std::string> rank_candidates(const std::string& shard,
                                         const std::vector<known_node>& nodes);

/// A shard that this node owns.
struct owned_shard
{
    std::string shard;
    std::int64_t epoch = 0;
    std::uint32_t lapsed_owners = 0;
    /// Whether the lease is held and the ownership has been confirmed since
    /// the last conflict.
    bool held = false;
    msec claimed_at = 0;
};

/// The owner of a shard as last learned, for routing.
struct shard_owner
{
    std::string node;
    std::int64_t epoch = 0;
};

/// Decides which shards this node claims, and keeps track of its own.
class shard_claims
{
public:
    struct observer
    {
        std::function<void(const owned_shard&)> on_gained;
        /// Taken by another node, or given up. No more grants from it.
        std::function<void(const std::string& shard, std::int64_t epoch)>
            on_lost;
        /// The lease lapsed; the shard stays owned at half the allowance.
        std::function<void(const std::string& shard)> on_lapsed;
        /// Allowance of an owned shard grew: lease held again or fewer lapsed
        /// owners.
        std::function<void(const owned_shard&)> on_restored;
    };

    /// Whether the VM list has been read and lacks the machine.
    using machine_gone = std::function<bool(const std::string& machine)>;

    shard_claims(const clock& time, table_service& table,
                 const node_lease& lease, observer events = {},
                 machine_gone gone = {});

    /// Ids of the shards of all services in force.
    void set_shards(const std::vector<std::string>& shards);
    /// Known nodes; this node is added if it is missing.
    void set_nodes(const std::vector<known_node>& nodes);
    /// Takes an owner heard by gossip; a higher epoch wins.
    void learn_owner(const std::string& shard, const shard_owner& owner);

    /// Polls rows and claims. Call at least every 100 ms.
    void tick();

    /// Owned shards with their current state.
    std::vector<owned_shard> owned() const;
    std::optional<owned_shard> find_owned(const std::string& shard) const;
    std::optional<shard_owner> owner_of(const std::string& shard) const;

    /// Gives up all shards and claims none from now on. `done` runs when the
    /// rows are written, or after `timeout`.
    void release_all(msec timeout, std::function<void()> done);

private:
    enum class phase
    {
        idle,
        reading,
        writing
    };

    /// How this node stands to the shard.
    enum class standing
    {
        none,
        owner,
        /// The row has to be written as released.
        releasing,
        /// The name has to be taken off the list of lapsed owners.
        leaving_list
    };

    struct shard_state
    {
        phase step = phase::idle;
        standing role = standing::none;
        bool in_force = false;
        std::size_t rank = 0;
        msec next_poll = 0;
        /// Last row seen.
        std::int64_t version = -1;
        shard_record row;
        /// Since when the owner's lease row has shown this renewal.
        std::string watched_node;
        std::int64_t watched_incarnation = 0;
        std::int64_t watched_renewal = -1;
        msec watched_since = 0;
        /// Since when nobody has owned the shard; -1 if somebody does.
        msec free_since = -1;
        /// Own epoch, lapsed list and the generation that confirmed it.
        std::int64_t epoch = 0;
        std::uint32_t lapsed_owners = 0;
        std::int64_t confirmed = -1;
        msec claimed_at = 0;
        bool was_held = false;
        bool removal_due = false;
        shard_owner known;
    };

    struct lease_view
    {
        std::int64_t version = 0;
        std::optional<lease_record> record;
    };

    bool held(const shard_state& state) const;
    owned_shard describe(const std::string& shard,
                         const shard_state& state) const;
    bool wants_poll(const shard_state& state) const;
    void report_changes(const std::string& shard, shard_state& state);
    void poll(const std::string& shard);
    void on_row(const std::string& shard, std::int64_t generation, bool in_term,
                const absl::StatusOr<table_row>& row);
    void act(const std::string& shard);
    void confirm_own(const std::string& shard, shard_state& state,
                     std::int64_t generation, bool in_term);
    void give_up(const std::string& shard, shard_state& state);
    bool row_is_mine(const shard_state& state) const;
    bool on_lapsed_list(const shard_state& state) const;
    void read_owner_lease(const std::string& shard);
    void on_owner_lease(const std::string& shard, const lease_view& view);
    void claim(const std::string& shard, const lease_view& view, bool lapsed);
    void claim_free(const std::string& shard);
    void send_claim(const std::string& shard, shard_record row,
                    table_transaction transaction);
    void on_claimed(const std::string& shard, const shard_record& row,
                    std::int64_t generation, const commit_result& result);
    void check_lapsed(const std::string& shard, std::size_t index,
                      std::vector<lapsed_owner> remaining);
    void write_row(const std::string& shard, shard_record row);
    void on_written(const std::string& shard, const shard_record& row,
                    const commit_result& result);
    void start_release(const std::string& shard, shard_state& state);
    void check_released();
    void take_role(shard_state& state, const shard_record& row,
                   std::int64_t generation);
    void note_owner(shard_state& state);
    void rank_all();
    msec own_delay(const shard_state& state) const;

    const clock& time_;
    table_service& table_;
    const node_lease& lease_;
    observer events_;
    machine_gone gone_;
    std::map<std::string, shard_state> shards_;
    std::vector<known_node> nodes_;
    /// Former owners with a claim in flight from this node: one at a time, as
    /// each claim changes the version of the former owner's lease row.
    std::set<std::string> claiming_from_;
    bool releasing_ = false;
    msec release_deadline_ = 0;
    std::function<void()> released_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace galenapulley
