#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/config_document.hpp"
#include "galenapulley/table_service.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

class config_registry;

namespace wire
{
class config_ack;
class config_pull;
class config_push;
class config_snapshot;
} // namespace wire

struct config_sync_options
{
    msec read_period = 3000;
    /// Each period is shortened or lengthened by up to this much.
    msec jitter = 500;
    msec call_timeout = 2000;
    /// Reads after which the rows are loaded even if the head is unchanged; it
    /// repairs a load that was answered with outdated rows.
    std::size_t reads_per_load = 20;
    /// Settled peers whose snapshots make a baseline while the store is away.
    std::size_t baseline_peers = 3;
    /// Time for the gossip to make the peers known before "all known peers"
    /// may be taken as the whole fleet.
    msec peer_baseline_delay = 3000;
    /// Snapshots older than this do not count for the baseline.
    msec max_snapshot_age = 10'000;
    std::uint64_t seed = 1;
};

/// Keeps the registry up to date from the table service and from peers.
class config_sync
{
public:
    /// Receives documents that were refused because they do not parse.
    using refusal_callback =
        std::function<void(const config_document&, const absl::Status&)>;

    config_sync(table_service& table, config_registry& registry,
                const clock& time, config_sync_options options = {});
    ~config_sync();
    config_sync(const config_sync&) = delete;
    config_sync& operator=(const config_sync&) = delete;

    /// Starts the reads that are due. Call it every 100 ms or so.
    void tick();
    /// Reads config_head at the next tick.
    void read_soon();

    /// Whether the node knows enough to serve.
    bool has_baseline() const { return baseline_; }
    /// Highest config_head known, from the store or from peers.
    std::int64_t head() const { return head_; }
    /// Sending time of the newest read of config_head after which every change
    /// that it counts was loaded.
    std::optional<msec> last_read() const { return last_read_; }
    /// Whether the newest read that ended was successful.
    bool store_reachable() const { return store_reachable_; }

    /// Number of other nodes known, for the baseline from peers.
    void set_known_peers(std::size_t n);
    /// Whether snapshots from peers should be asked for (send `make_pull`).
    bool wants_snapshots() const;

    wire::config_pull make_pull() const;
    wire::config_push
    make_push(const std::vector<config_document>& documents) const;
    /// Acknowledges the documents now held at the pushed version or a higher
    /// one.
    wire::config_ack on_push(const wire::config_push& message);
    /// `settled`: this node has run for 10 s with a fresh view.
    wire::config_snapshot on_pull(const wire::config_pull& message,
                                  bool settled) const;
    void on_snapshot(const std::string& from,
                     const wire::config_snapshot& message);
    /// Compares a peer's gossip with this node; returns the pull to send to it
    /// if they differ.
    std::optional<wire::config_pull> on_gossip(std::int64_t head,
                                               std::uint64_t digest);

    void on_refusal(refusal_callback callback);

private:
    void read_head();
    void on_head(msec sent_at, const absl::StatusOr<table_row>& row);
    void load(msec sent_at, std::int64_t head);
    /// Rows of which this node does not hold the newest change.
    std::vector<std::string> lacking(const head_record& head) const;
    void load_rows(msec sent_at, std::int64_t head,
                   std::vector<std::string> rows);
    void end_load(msec sent_at, std::int64_t head);
    void on_services(msec sent_at, std::int64_t head,
                     const absl::StatusOr<std::vector<table_row>>& rows);
    void on_fleet(msec sent_at, std::int64_t head,
                  const absl::StatusOr<table_row>& row);
    void fail_read();
    void end_read(msec sent_at, std::int64_t head);
    void apply_row(const table_row& row);
    void apply(const config_document& document);
    void check_peer_baseline();

    table_service& table_;
    config_registry& registry_;
    const clock& clock_;
    config_sync_options options_;
    std::uint64_t random_;
    msec started_;
    msec next_read_;
    bool reading_ = false;
    bool baseline_ = false;
    bool store_reachable_ = false;
    bool store_failed_ = false;
    std::optional<msec> last_read_;
    std::int64_t head_ = 0;
    /// config_head as read before the rows that were last loaded in full.
    std::int64_t loaded_head_ = -1;
    std::size_t reads_since_load_ = 0;
    std::size_t known_peers_ = 0;
    /// When each settled peer's snapshot came.
    std::map<std::string, msec> snapshots_;
    refusal_callback on_refusal_;
    /// Expires with this object, so that late callbacks do nothing.
    std::shared_ptr<int> alive_;
};

} // namespace galenapulley
