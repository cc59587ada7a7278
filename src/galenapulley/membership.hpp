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
    /// Processor capacity in thousandths of a core.
    std::uint32_t capacity = 0;
    /// Start time of the process, milliseconds since the epoch.
    std::int64_t incarnation = 0;
    /// Peer addresses to contact before any member is known.
    std::vector<std::string> seeds;
    msec period = 1000;
    std::size_t fanout = 3;
    std::size_t max_entries = 8;
    std::size_t max_reply_entries = 4;
    /// With a core, entries of other nodes in a message, besides the core's.
    std::size_t max_standby_entries = 24;
    /// Applies to up to 35 members at the default max_entries; larger fleets
    /// scale it, see time_scale().
    msec suspect_after = 5000;
    msec drop_after = 30'000;
    /// Most shard owners in a message. Owners that are not new fill it only if
    /// the receiver has just joined; for other receivers they fill it up to
    /// repeated_shard_owners.
    std::size_t max_shard_owners = 8;
    std::size_t repeated_shard_owners = 2;
    std::size_t max_crash_reports = 8;
    std::uint64_t seed = 1;
};

/// State of another node as known from gossip.
struct member
{
    std::string node;
    std::string zone;
    std::string peer_address;
    std::string listen_address;
    std::uint32_t capacity = 0;
    /// Client requests per second that it receives.
    double request_rate = 0;
    std::int64_t incarnation = 0;
    std::int64_t heartbeat = 0;
    bool leaving = false;
    /// Time of the last increase of `heartbeat`, received from the node itself
    /// or through other nodes.
    msec heartbeat_at = 0;
    /// Latest time at which the node is known to have been running and
    /// connected: it sent a message that quotes a heartbeat that this node
    /// issued then. Empty if there was no such message.
    std::optional<msec> last_contact;
    /// Remaining messages in which the entry has priority, after the node
    /// joined, restarted or announced that it leaves.
    std::size_t announcements_left = 0;
    /// Number of messages sent with the newest heartbeat.
    std::size_t times_sent = 0;
    /// When it became a core node.
    msec core_since = 0;
    /// It was silent for too long as a core node; it is suspected until its
    /// next heartbeat, as a standby too.
    bool silent_in_core = false;
};

struct shard_owner
{
    std::string shard;
    std::string node;
    std::int64_t epoch = 0;
};

/// A node that clients may send requests to.
struct listed_node
{
    std::string node;
    std::string zone;
    std::string address;
    std::uint32_t capacity = 0;

    bool operator==(const listed_node&) const = default;
};

/// Gossip-based membership: tracks which nodes are alive and which node owns
/// each shard. All nodes gossip with each other, or, if a core is set, the core
/// nodes do; the other nodes then report to core nodes and learn the state of
/// the core from the replies, which keeps their messages small in a large
/// fleet.
class membership
{
public:
    struct outgoing
    {
        std::string peer_address;
        /// On the heap because the message type is incomplete here.
        std::shared_ptr<wire::gossip> message;
    };
    /// Sets config_head, config_digest, store_read_age_ms, settled and up to
    /// `max_crash_reports` crash reports of an outgoing message.
    using payload_callback =
        std::function<void(wire::gossip&, std::size_t max_crash_reports)>;

    explicit membership(membership_options options);

    void set_payload_callback(payload_callback payload)
    {
        fill_payload_ = std::move(payload);
    }

    /// Returns the messages to send now; none until the next period begins.
    std::vector<outgoing> tick(msec now);
    /// Merges a peer's message. Returns the reply, or null if none is needed.
    std::shared_ptr<wire::gossip>
    on_gossip(const std::string& from, const wire::gossip& message, msec now);

    /// Lower bound, on this node's clock, of the time at which the message was
    /// created: when this node issued the heartbeat that the message quotes.
    /// Ages in the message count from that time. Empty if the message quotes
    /// none of this node's recent heartbeats.
    std::optional<msec> proven_time(const wire::gossip& message) const;

    /// Announces that this node is stopping, with the next tick.
    void announce_leaving();
    bool leaving() const { return leaving_; }
    /// A node that can't serve yet gossips without its listen address, so that
    /// no node includes it in list_nodes(). The initial state is serving.
    void set_serving(bool serving);
    /// Sets the core; empty if all nodes gossip with each other.
    void set_core(std::set<std::string> nodes, msec now);
    /// Sets the number of requests per second that this node announces.
    void set_request_rate(double per_second) { request_rate_ = per_second; }
    /// Adds a peer address to contact, such as one read from a `nodes/` row.
    void add_seed(const std::string& peer_address);

    /// Other nodes that have not been dropped.
    const std::map<std::string, member>& members() const { return members_; }
    const member* find(const std::string& node) const;
    bool is_suspected(const member& it, msec now) const;
    /// Whether a heartbeat arrived so recently that clients may be sent to the
    /// node.
    bool is_fresh(const member& it, msec now) const;
    /// Members that are neither suspected nor leaving.
    std::vector<const member*> live_members(msec now) const;

    /// Number of other nodes, and the zones of all nodes with the own one.
    std::size_t known_peers() const { return members_.size(); }
    std::set<std::string> known_zones() const;
    /// The same for members whose last_contact lies within the window.
    std::size_t reachable_peers(msec window, msec now) const;
    std::set<std::string> reachable_zones(msec window, msec now) const;

    /// Nodes to return to clients. Zones alternate, starting with the own one;
    /// leaving and suspected nodes are omitted.
    std::vector<listed_node> list_nodes(std::size_t max, msec now);

    /// Stores the owner if its epoch is higher than the known one. Returns
    /// whether it was stored.
    bool note_shard_owner(const shard_owner& owner);
    /// Null if none is known.
    const shard_owner* owner_of(const std::string& shard) const;

    /// Higher incarnation seen in gossip under this node's id: another process
    /// has taken over the id, and this one should stop.
    std::optional<std::int64_t> superseded_by() const { return superseded_by_; }

private:
    struct dropped_member
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
        std::size_t announcements_left = 0;
    };

    /// Number of own heartbeats whose times are kept. At one heartbeat per
    /// second they cover 64 s, longer than every window in use.
    static constexpr std::size_t heartbeat_history = 64;
    /// Number of heartbeats sent with a full own entry after the start of a
    /// node.
    static constexpr std::int64_t full_heartbeats = 10;
    /// Unit of request rates in messages, in requests per second.
    static constexpr double request_rate_unit = 0.1;

    void merge(const wire::member_entry& entry, msec now);
    /// Restores a dropped member if the entry is newer than its last one.
    /// Returns false if the entry is older and must be ignored.
    bool restore_dropped(const wire::member_entry& entry);
    /// Returns whether the entry about this node is out of date and has to be
    /// refuted by a reply.
    bool check_own_entry(const wire::member_entry& entry);
    void update_last_contact(const std::string& from,
                             const wire::gossip& message);
    void note_silent_core(msec now);
    void drop_unresponsive(msec now);
    bool is_core(const std::string& node) const
    {
        return core_.empty() || core_.contains(node);
    }
    void expire_dropped(msec now);
    msec tick_period() const;
    /// Messages per period.
    std::size_t fanout() const;
    std::vector<std::string> choose_targets(msec now);
    std::vector<std::string> next_peers(std::size_t n, msec now);
    std::vector<std::string> non_member_addresses() const;
    std::shared_ptr<wire::gossip> make_message(const member* to,
                                               std::size_t entries, msec now);
    void add_own_entry(wire::gossip& message, const member* to);
    /// Whether an entry sent to `to` includes zone and addresses.
    bool wants_full_entry(const member* to);
    void add_members(wire::gossip& message, const member* to,
                     std::size_t entries, msec now);
    /// Members other than `to`, in the order in which they are forwarded.
    std::vector<member*> members_to_forward(const member* to,
                                            std::size_t entries, msec now);
    void add_shard_owners(wire::gossip& message, const member* to);
    std::size_t announcement_budget() const;
    /// Factor applied to suspect_after and drop_after in large fleets.
    msec time_scale() const;
    std::uint64_t random();

    membership_options options_;
    std::uint64_t random_;
    payload_callback fill_payload_;
    std::map<std::string, member> members_;
    std::set<std::string> core_;
    double request_rate_ = 0;
    std::map<std::string, dropped_member> dropped_;
    std::map<std::string, owner_record> owners_;
    std::array<heartbeat_time, heartbeat_history> heartbeats_{};
    std::int64_t heartbeat_ = 0;
    std::optional<msec> next_tick_;
    std::size_t ticks_ = 0;
    std::size_t non_member_cursor_ = 0;
    /// Members not yet contacted in the current pass over all members.
    std::vector<std::string> peer_order_;
    std::string owner_cursor_;
    std::size_t list_cursor_ = 0;
    bool leaving_ = false;
    bool serving_ = true;
    /// Last heartbeat that is sent with a full entry after a change.
    std::int64_t full_until_heartbeat_ = 0;
    bool leaving_announced_ = false;
    std::optional<std::int64_t> superseded_by_;
};

} // namespace galenapulley
