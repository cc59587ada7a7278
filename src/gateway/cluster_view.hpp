#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/cluster_rows.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/node_rank.hpp"
#include "galenapulley/peer_link.hpp"
#include "galenapulley/relay_role.hpp"
#include "galenapulley/routing_table.hpp"
#include "galenapulley/row_arrival.hpp"
#include "gateway/row_store.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

class control_loop;
class event_log;

namespace wire
{
class gossip;
class rows_pull;
class rows_push;
class rows_relay;
} // namespace wire

/// A live node of the same failure domain.
struct domain_node
{
    ranked_node rank;
    std::string peer_address;

    bool operator==(const domain_node&) const = default;
};

/// The node that sent a message.
struct message_sender
{
    std::string node;
    std::string peer_address;
};

/// Local copy of the store's tables. Follows them with watches or through relay
/// nodes, pulls rows from peers that have newer ones, and reports the decoded
/// content. Used on the control thread.
class cluster_view
{
public:
    struct callbacks
    {
        std::function<void(std::shared_ptr<const routing_table>)> routing;
        std::function<void(std::set<std::string>)> withdrawn;
        /// `authoritative`: endpoints that are missing from the list are
        /// deleted ones, not ones whose entry has only lapsed.
        std::function<void(std::vector<endpoint>, bool authoritative)>
            endpoints;
        /// The store was restored from a backup. The next rows may be older
        /// than what they replace.
        std::function<void()> store_restored;
    };

    cluster_view(ranked_node self, control_loop& loop, row_store& store,
                 const row_codec& codec, peer_link& link, event_log& log,
                 callbacks on_change);

    /// `is_bootstrap`: all nodes of the fleet start now.
    void start(bool is_bootstrap);
    /// Sets the other live nodes of this failure domain.
    void set_domain_nodes(std::vector<domain_node> nodes);

    /// Adds the versions of this node's tables to a gossip message.
    void add_versions(wire::gossip& message) const;
    /// Pulls rows from a peer whose tables are newer.
    void on_gossip(const message_sender& sender, const wire::gossip& message);
    void on_pull(const std::string& peer_address,
                 const wire::rows_pull& message);
    void on_push(const std::string& node, const wire::rows_push& message);
    void on_relay(const std::string& node, const wire::rows_relay& message);

    /// Whether the view is authoritative: the store has been reachable long
    /// enough for endpoints whose entries lapsed to have registered again.
    bool is_authoritative() const;
    bool store_reached() const { return failures_ == 0; }
    /// How often the store has been restored from a backup, as far as known.
    std::uint64_t era() const { return era_.value_or(0); }
    /// Whether this node can vouch for the endpoints: it has followed them at
    /// the store itself for long enough.
    bool is_dependable() const;
    /// Whether this node relays the store to its failure domain.
    bool is_relay() const { return relay_role_.is_relay(); }
    msec authoritative_since() const { return reached_since_; }
    store_version version(cluster_table table) const;
    /// Whether the table has been read, from the store or from a peer.
    bool is_read(cluster_table table) const;
    /// Time since the store last responded about the table, to this node or
    /// to a relay node.
    msec age(cluster_table table) const;

    /// Time after which a watch without a change returns and is renewed.
    static constexpr msec watch_wait = 20'000;
    /// Interval between polls that verify that an open watch hasn't missed a
    /// change: its response, or the store's record of it, may be lost without a
    /// sign.
    static constexpr msec verify_period = 500;
    /// Time within which the store must respond to a poll; a slow one takes a
    /// quarter of a second.
    static constexpr msec poll_timeout = 1000;
    /// Timeout of a page of a read, doubled with each read that times out up to
    /// the second value: a response may be lost, but a large table may also
    /// take long.
    static constexpr msec min_read_timeout = 1000;
    static constexpr msec max_read_timeout = 4000;
    /// Pause between two watches of the endpoints, which often change together.
    static constexpr msec change_pause = 50;
    /// Time from a failed request to the next one, doubled with each failure.
    static constexpr msec min_retry_pause = 200;
    static constexpr msec max_retry_pause = 1000;
    /// Time that a peer may be ahead before its rows are pulled. This node's
    /// own watch usually returns them earlier.
    static constexpr msec pull_delay = 600;
    /// The same for a node that relies on relay nodes.
    static constexpr msec relay_pull_delay = 100;
    static constexpr msec pull_interval = 500;

private:
    /// The table whose changes relay nodes send along. A configuration may be
    /// large and changes seldom, so nodes pull it once they know that there is
    /// a new one.
    static constexpr cluster_table pushed_table = cluster_table::endpoints;

    /// A request of this node to the store.
    struct store_request
    {
        cluster_table table = cluster_table::operations;
        row_route route = row_route::read;
        std::uint64_t id = 0;
        /// Number of the version that changes are asked for; 0 for a read of
        /// the whole table.
        std::uint64_t after = 0;
        msec sent_at = 0;
    };

    struct table_state
    {
        cluster_rows rows;
        msec last_response_at = 0;
        msec pulled_at = 0;
        row_arrival arrival{};
        /// The newest change that a peer has announced, and since when this
        /// node has known of one that it lacks.
        store_version announced{};
        msec announced_at = 0;
        std::uint32_t failures = 0;
        /// Since when this node's own requests have succeeded without a
        /// failure; absent if it relies on relay nodes.
        std::optional<msec> followed_since{};
        bool needs_read = true;
        /// The next request is a poll, as the node has relied on relay nodes.
        bool needs_poll = false;
        /// Id of the latest request; responses to earlier ones are ignored.
        std::uint64_t request_id = 0;
        std::optional<store_request> open_watch{};
        /// How many reads in a row have timed out.
        std::uint32_t late_reads = 0;
        /// No watch is open; relay nodes send the changes.
        bool relies_on_relays = false;
    };

    table_state& state(cluster_table table);
    const table_state& state(cluster_table table) const;
    /// Whether the whole table has to be read, as its changes alone don't
    /// suffice.
    bool must_read(const table_state& table) const;
    /// Sends the table's next request.
    void query_store(cluster_table table);
    row_store::batch_callback response_handler(const store_request& request);
    static msec read_timeout(const table_state& table);
    void retry_query(const store_request& request, const absl::Status& status);
    /// Polls what an open watch would return.
    void verify_watches();
    void verify_watch(cluster_table table);
    void on_verified(const store_request& request,
                     absl::StatusOr<row_batch> response);
    /// Verifies the watch of the endpoints if the response of a poll of the
    /// operations has a newer version than the endpoints.
    void verify_endpoints(const row_batch& operations);
    void close_watch(cluster_table table);
    /// Replaces an open watch that doesn't return what the store has.
    void renew_watch(cluster_table table);
    /// Sends a heartbeat if this node is a relay node, and watches the store
    /// again if no relay node is heard.
    void check_relays();
    void send_relay(const wire::rows_relay& message);
    /// Announces what a watch returned: the rows of the endpoints, and of the
    /// operations, which may be large, only the version.
    void relay(cluster_table table, store_version after,
               const row_batch& batch);
    void relay_changes(store_version after, const row_batch& batch);
    wire::rows_relay make_heartbeat() const;
    /// Tells the failure domain that this node follows the store, and the
    /// newest versions.
    void send_heartbeat();
    void apply_relayed(const std::string& node,
                       const wire::rows_relay& message);
    void pull(std::size_t table, const std::string& peer_address);
    /// Whether this node's own watch will probably return what a peer has.
    bool expects_change(std::size_t table) const;
    void pull_if_behind(std::size_t table, store_version last_change,
                        const std::string& peer_address);
    void handle_response(const store_request& request,
                         absl::StatusOr<row_batch> response);
    /// Takes over a response. Returns whether the replica is up to date.
    bool accept(const store_request& request, const row_batch& batch);
    /// Applies a read of the whole table, or the changes since a version.
    /// Returns whether the replica is up to date.
    bool apply(const store_request& request, const row_batch& batch,
               std::uint64_t era);
    /// Logs that a peer has a newer configuration or withdrawal than this node.
    void note_announced(std::size_t table, store_version last_change,
                        const std::string& node, std::string_view by);
    /// Called before the rows are applied.
    void record_arrival(cluster_table table, row_arrival arrival);
    void on_store_failure(cluster_table table, const absl::Status& status);
    void on_store_response(cluster_table table);
    void on_era(std::uint64_t era);
    /// A peer has reached the store for long enough. Then entries that lapsed
    /// are back, even if this node has only just regained the store.
    void on_dependable_peer(std::uint64_t era);
    void on_restored();
    /// The rows say again what is in force.
    void on_backup_entries_expired();
    std::set<std::string> read_withdrawn();
    void publish(cluster_table table, bool authoritative);
    void publish_operations();
    void publish_routing(std::shared_ptr<const routing_table> routing);
    /// Decodes a configuration's row and puts it in force if it is newer.
    void adopt_lost_configuration(const std::string& node, cluster_row row);
    void publish_endpoints(bool authoritative);

    control_loop& loop_;
    row_store& store_;
    const row_codec& codec_;
    peer_link& link_;
    event_log& log_;
    callbacks on_change_;
    relay_role relay_role_;
    std::vector<domain_node> domain_nodes_;
    std::array<table_state, cluster_table_count> tables_;
    std::uint64_t last_request_id_ = 0;
    /// Consecutive failed requests to the store, over both tables.
    std::uint32_t failures_ = 0;
    msec reached_since_ = 0;
    /// Absent until the store or a peer has named it.
    std::optional<std::uint64_t> era_;
    std::uint64_t published_routing_ = 0;
    /// The configuration in force, if the store was restored from a backup that
    /// has only an older one. Nodes that start meanwhile get it from here.
    std::optional<cluster_row> lost_configuration_;
    std::set<std::string> published_withdrawn_;
    /// Domains that were withdrawn when the store was restored, as long as the
    /// operators may still have to write that again.
    std::set<std::string> withdrawn_before_restore_;
};

} // namespace galenapulley
