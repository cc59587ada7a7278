#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/node_lease.hpp"
#include "galenapulley/shard_record.hpp"
#include "galenapulley/table_service.hpp"

#include <cstddef>
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

/// A shard that this node owns.
struct owned_shard
{
    std::string shard;
    std::int64_t epoch = 0;
    std::uint32_t lapsed_owners = 0;
    /// Whether the lease is held and the ownership was confirmed after the
    /// last conflict.
    bool held = false;
    msec claimed_at = 0;
};

/// The last known owner of a shard, used for routing.
struct known_owner
{
    std::string node;
    std::int64_t epoch = 0;
};

/// Claims shards for this node and tracks those that it owns.
class shard_claims
{
public:
    struct observer
    {
        std::function<void(const owned_shard&)> on_gained;
        /// The shard was claimed by another node or is being released. No
        /// permits may be granted from it any more.
        std::function<void(const std::string& shard, std::int64_t epoch)>
            on_lost;
        /// The lease lapsed; the shard stays owned with half the allowance.
        std::function<void(const std::string& shard)> on_lapsed;
        /// The allowance of an owned shard grew, because the lease is held
        /// again or the shard has fewer lapsed owners.
        std::function<void(const owned_shard&)> on_restored;
    };

    /// Returns whether the VM list has been read and lacks the machine.
    using machine_removed = std::function<bool(const std::string& machine)>;

    shard_claims(const clock& time, table_service& table,
                 const node_lease& lease, observer events = {},
                 machine_removed removed = {});

    /// Sets the ids of the shards of all configured services.
    void set_shards(const std::vector<std::string>& shards);
    /// Sets the candidates; this node is added if it is missing.
    void set_nodes(const std::vector<known_node>& nodes);
    /// Records an owner received by gossip if its epoch is higher.
    void learn_owner(const std::string& shard, const known_owner& owner);

    /// Polls rows and claims shards. Call at least every 100 ms.
    void tick();

    std::vector<owned_shard> owned() const;
    std::optional<owned_shard> find_owned(const std::string& shard) const;
    std::optional<known_owner> owner_of(const std::string& shard) const;

    /// Releases all shards and claims none from now on. `done` runs when the
    /// rows are written, or after `timeout`.
    void release_all(msec timeout, std::function<void()> done);

private:
    enum class phase
    {
        idle,
        reading,
        writing
    };

    /// This node's role for a shard.
    enum class shard_role
    {
        none,
        owner,
        /// Not the owner any more; the row has to be written as released.
        releasing,
        /// Lost the shard; has to remove itself from the lapsed owners.
        former_owner
    };

    /// The owner's lease as last read, and how long it has been unchanged.
    struct lease_watch
    {
        std::string node;
        std::int64_t incarnation = 0;
        std::int64_t renewal = -1;
        msec since = 0;
    };

    struct shard_state
    {
        std::string shard;
        phase store_phase = phase::idle;
        shard_role role = shard_role::none;
        bool configured = false;
        std::size_t rank = 0;
        msec next_poll = 0;
        /// Version of the row as last read or written.
        std::int64_t version = 0;
        shard_record row;
        lease_watch watch;
        /// When the shard was first seen without an owner; empty if it has
        /// one.
        std::optional<msec> free_since;
        /// Epoch of this node's ownership.
        std::int64_t epoch = 0;
        std::uint32_t lapsed_owners = 0;
        /// Lease generation in which the ownership was confirmed.
        std::int64_t confirmed_generation = -1;
        msec claimed_at = 0;
        bool was_held = false;
        /// When this node may remove itself from the lapsed owners.
        msec removal_at = 0;
        known_owner known;
        /// First candidate from the shard's zone, if this node is in another
        /// zone, and when there first was such a candidate.
        std::optional<known_node> local_candidate;
        msec local_since = 0;
        /// Next owner to write into the row on release.
        std::optional<known_node> successor;
    };
    using state_ptr = std::shared_ptr<shard_state>;

    bool held(const shard_state& state) const;
    owned_shard describe(const shard_state& state) const;
    bool wants_poll(const shard_state& state) const;
    void report_changes(shard_state& state);
    void rank_all();
    void rank(shard_state& state);
    bool owner_is_missing(const shard_state& state) const;
    bool may_hand_over(const shard_state& state) const;
    void hand_over(shard_state& state);

    void poll(const state_ptr& state);
    void on_row(const state_ptr& state, std::optional<std::int64_t> generation,
                const absl::StatusOr<table_row>& row);
    void act_as_owner(const state_ptr& state,
                      std::optional<std::int64_t> generation);
    void act_as_former_owner(const state_ptr& state);
    void act_as_candidate(const state_ptr& state);
    void become_owner(shard_state& state, std::int64_t confirmed_generation);
    void on_ownership_lost(shard_state& state);
    bool row_names_this_node(const shard_state& state) const;
    bool is_lapsed_owner(const shard_state& state) const;
    std::vector<lapsed_owner> without_self(const shard_record& row) const;
    void update_known_owner(shard_state& state);

    void read_owner_lease(const state_ptr& state);
    void on_owner_lease(const state_ptr& state, const table_row& row);
    bool may_claim_at(shard_state& state, msec instant);
    void claim_from(const state_ptr& state, const table_row& row,
                    lease_record record);
    void claim_free(const state_ptr& state,
                    std::vector<row_condition> conditions);
    void send_claim(const state_ptr& state, shard_record row,
                    table_transaction transaction);
    void on_claimed(const state_ptr& state, const shard_record& row,
                    std::int64_t generation, const commit_result& result);

    void check_lapsed(const state_ptr& state, std::size_t index,
                      std::vector<lapsed_owner> remaining);
    void write_row(const state_ptr& state, shard_record row);
    void on_written(const state_ptr& state, const shard_record& row,
                    const commit_result& result);
    void start_release(shard_state& state);
    void check_released();

    const clock& time_;
    table_service& table_;
    const node_lease& lease_;
    observer events_;
    machine_removed machine_removed_;
    std::map<std::string, state_ptr> shards_;
    std::vector<known_node> nodes_;
    /// Shards are handed over one at a time, so that the others take the load
    /// in the meantime.
    msec next_hand_over_ = 0;
    /// Former owners with a claim of this node in flight. There is one claim at
    /// a time per owner, as each changes the version of the owner's lease row.
    std::set<std::string> claiming_from_;
    bool releasing_ = false;
    msec release_deadline_ = 0;
    std::function<void()> on_all_released_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace galenapulley
