#pragma once

#include "galenapulley/clock.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenapulley
{

namespace wire
{
class gossip;
class member_entry;
} // namespace wire

struct membership_options
{
    std::string node;
    std::string zone;
    std::string peer_address;
    std::string listen_address;
    /// Start time of the process, milliseconds since the epoch.
    std::int64_t incarnation = 0;
    /// Peer addresses to contact before any member is known.
    std::vector<std::string> seeds;
    msec period = 1000;
    std::size_t fanout = 3;
    std::size_t max_entries = 8;
    std::size_t max_reply_entries = 4;
    /// For up to 35 members; see time_scale.
    msec suspect_after = 5000;
    msec drop_after = 30'000;
    /// Shard owners in a message: new ones, or any for a receiver that just
    /// joined; and those that are repeated to all others.
    std::size_t max_shard_owners = 8;
    std::size_t repeated_shard_owners = 2;
    std::size_t max_strikes = 8;
    std::uint64_t seed = 1;
};

/// What is known of another node.
struct member
{
    std::string node;
    std::string zone;
    std::string peer_address;
    std::string listen_address;
    std::int64_t incarnation = 0;
    std::int64_t heartbeat = 0;
    bool leaving = false;
    /// When a newer heartbeat was last learnt, directly or not.
    msec newer_at = 0;
    /// Latest instant at which the node is proven to have been running and
    /// connected, by a message of its own that quotes this node's heartbeat.
    std::optional<msec> heard_at;
    /// Messages that still carry the entry first, after it joined, restarted
    /// or announced that it leaves.
    std::size_t news_left = 0;
    /// Messages that carried the newest heartbeat.
    std::size_t times_sent = 0;
};

struct shard_owner
{
    std::string shard;
    std::string node;
    std::int64_t epoch = 0;
};

/// An address that callers may use.
struct listed_node
{
    std::string node;
    std::string zone;
    std::string address;
};

/// Gossip between the nodes: who runs, and who owns which shard.
class membership
{
public:
    struct outgoing
    {
        std::string peer_address;
        /// Heap-held because the message type is only declared here.
        std::shared_ptr<wire::gossip> message;
    };
    /// Fills in config_head, config_digest, store_read_age_ms, settled and up
    /// to `max_strikes` strikes.
    using fill_callback =
        std::function<void(wire::gossip&, std::size_t max_strikes)>;

    explicit membership(membership_options options);

    void set_fill(fill_callback fill) { fill_ = std::move(fill); }

    /// Messages to send now; none before the next period begins.
    std::vector<outgoing> tick(msec now);
    /// Merges a peer's message. Returns the reply, if one is due.
    std::shared_ptr<wire::gossip>
    on_gossip(const std::string& from, const wire::gossip& message, msec now);

    /// Latest instant on this node's clock that precedes the making of the
    /// message, proven by the heartbeat of this node that it quotes. Ages in
    /// the message count from that instant; none if the message quotes none.
    std::optional<msec> proven_time(const wire::gossip& message) const;

    /// Announces that this node stops; the next tick sends at once.
    void announce_leaving();
    bool leaving() const { return leaving_; }
    /// A node that can't serve yet takes part in gossip without the address
    /// for callers, so that no node lists it. Nodes serve from the start
    /// unless told otherwise.
    void set_serving(bool serving);
    /// Adds a peer address to contact, for example from a `nodes/` row.
    void add_seed(const std::string& peer_address);

    /// Other nodes that are not dropped.
    const std::map<std::string, member>& members() const { return members_; }
    const member* find(const std::string& node) const;
    bool is_suspected(const member& it, msec now) const;
    /// Members that are neither suspected nor leaving.
    std::vector<const member*> live_members(msec now) const;

    /// Other nodes and zones (own zone included) known, for view_freshness.
    std::size_t known_peers() const { return members_.size(); }
    std::set<std::string> known_zones() const;
    /// Members heard directly within the window, and their zones with the own
    /// one.
    std::size_t heard_peers(msec window, msec now) const;
    std::set<std::string> heard_zones(msec window, msec now) const;

    /// Answer to callers: own zone first, then the other zones in turn; leaving
    /// and suspected nodes are left out.
    std::vector<listed_node> list_nodes(std::size_t max, msec now);

    /// Records an owner if its epoch is higher than the one known.
    bool note_shard_owner(const shard_owner& owner);
    /// Null if none is known.
    const shard_owner* owner_of(const std::string& shard) const;

    /// Incarnation of another process that runs, or ran, under this node's id
    /// with a higher incarnation; this process should then stop.
    std::optional<std::int64_t> superseded_by() const { return superseded_by_; }

private:
    struct lost_member
    {
        member last;
        msec since = 0;
    };
    struct heartbeat_time
    {
        std::int64_t heartbeat = -1;
        msec at = 0;
    };
    struct owner_record
    {
        shard_owner owner;
        std::size_t news_left = 0;
    };

    /// Instants of this node's latest heartbeats; 64 s cover every window in
    /// use.
    static constexpr std::size_t heartbeat_history = 64;

    void merge(const wire::member_entry& entry, msec now);
    /// Brings a lost member back if the entry is newer than its last one;
    /// returns false if it is not.
    bool revive(const wire::member_entry& entry);
    /// Returns whether the entry is out of date and needs to be refuted.
    bool check_own(const wire::member_entry& entry);
    void note_heard(const std::string& from, const wire::gossip& message);
    void drop_silent(msec now);
    void forget_lost(msec now);
    std::vector<std::string> choose_targets(msec now);
    std::vector<std::string> next_peers(std::size_t n, msec now);
    std::vector<std::string> outside_addresses() const;
    std::shared_ptr<wire::gossip> make_message(const member* to,
                                               std::size_t entries, msec now);
    void add_own_entry(wire::gossip& message, const member* to);
    /// Whether an entry for that receiver states zone and addresses.
    bool wants_full_entry(const member* to);
    void add_members(wire::gossip& message, const member* to,
                     std::size_t entries, msec now);
    void add_shard_owners(wire::gossip& message, const member* to);
    std::size_t news_budget() const;
    /// Factor on suspect_after and drop_after, by the size of the fleet.
    msec time_scale() const;
    std::uint64_t random();

    membership_options options_;
    std::uint64_t random_;
    fill_callback fill_;
    std::map<std::string, member> members_;
    std::map<std::string, lost_member> lost_;
    std::map<std::string, owner_record> owners_;
    std::array<heartbeat_time, heartbeat_history> heartbeats_{};
    std::int64_t heartbeat_ = 0;
    std::optional<msec> next_tick_;
    std::size_t ticks_ = 0;
    std::size_t outside_cursor_ = 0;
    /// Members still to be contacted before all are gone through again.
    std::vector<std::string> peer_order_;
    std::string owner_cursor_;
    std::size_t list_cursor_ = 0;
    bool leaving_ = false;
    bool serving_ = true;
    /// Own entries are full up to this heartbeat after a change.
    std::int64_t full_until_ = 0;
    bool leaving_announced_ = false;
    std::optional<std::int64_t> superseded_by_;
};

} // namespace galenapulley
