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
    /// Each period is shortened or lengthened at random by up to this much.
    msec jitter = 500;
    msec call_timeout = 2000;
    /// Number of reads after which the rows are loaded even if the head has not
    /// changed; this repairs an earlier load that returned stale rows.
    std::size_t reads_per_load = 20;
    /// Number of settled peers whose snapshots form a baseline while the table
    /// service is unavailable.
    std::size_t baseline_peers = 3;
    /// Time for gossip to discover the peers, before the set of known peers is
    /// regarded as the whole fleet.
    msec peer_baseline_delay = 3000;
    /// Older snapshots do not count for the baseline.
    msec max_snapshot_age = 10'000;
    std::uint64_t seed = 1;
};

/// Keeps the registry up to date from the table service and from peers. The
/// baseline, which a node needs before it serves, is a complete load of
/// the rows or snapshots of enough settled peers.
class config_sync
{
public:
    /// Receives documents that were rejected because they do not parse.
    using rejection_callback =
        std::function<void(const config_document&, const absl::Status&)>;

    config_sync(table_service& table, config_registry& registry,
                const clock& time, config_sync_options options = {});
    ~config_sync();
    config_sync(const config_sync&) = delete;
    config_sync& operator=(const config_sync&) = delete;

    /// Starts the reads that are due; to be called about every 100 ms.
    void tick();
    /// Schedules a read of config_head for the next tick.
    void read_soon();

    /// Whether the configuration is complete enough to serve requests.
    bool has_baseline() const { return baseline_; }
    /// Highest config_head known, from the store or from peers.
    std::int64_t head() const { return head_; }
    /// Send time of the newest read of config_head for which all changes up to
    /// that head have been loaded.
    std::optional<msec> last_read() const { return last_read_; }
    /// Whether the last completed read succeeded.
    bool store_reachable() const { return store_reachable_; }

    /// Sets the number of other known nodes, which limits the number of
    /// snapshots needed for a baseline.
    void set_known_peers(std::size_t n);
    /// Whether to request snapshots from peers with `make_pull`.
    bool wants_snapshots() const;

    wire::config_pull make_pull() const;
    wire::config_push
    make_push(const std::vector<config_document>& documents) const;
    /// Applies the pushed documents and acknowledges those that the node now
    /// has in the pushed version or a higher one.
    wire::config_ack on_push(const wire::config_push& message);
    /// `settled` states whether this node has run for 10 s with a fresh view.
    wire::config_snapshot on_pull(const wire::config_pull& message,
                                  bool settled) const;
    void on_snapshot(const std::string& from,
                     const wire::config_snapshot& message);
    /// Compares a peer's gossip with the registry; returns the pull to send to
    /// that peer if the digests differ.
    std::optional<wire::config_pull> on_gossip(std::int64_t head,
                                               std::uint64_t digest);

    void on_rejection(rejection_callback callback);

private:
    void read_head();
    void on_head(msec sent_at, const absl::StatusOr<table_row>& row);
    void load_all_rows(msec sent_at, std::int64_t head);
    /// Keys of the rows whose newest change is not in the registry.
    std::vector<std::string> outdated_rows(const head_record& head) const;
    void load_listed_rows(msec sent_at, std::int64_t head,
                          std::vector<std::string> rows);
    void finish_load(msec sent_at, std::int64_t head);
    void on_services(msec sent_at, std::int64_t head,
                     const absl::StatusOr<std::vector<table_row>>& rows);
    void on_fleet(msec sent_at, std::int64_t head,
                  const absl::StatusOr<table_row>& row);
    void fail_read();
    void finish_read(msec sent_at, std::int64_t head);
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
    /// Version of config_head read before the last complete load of the rows.
    std::int64_t loaded_head_ = -1;
    std::size_t reads_since_load_ = 0;
    std::size_t known_peers_ = 0;
    /// Arrival time of the last snapshot of each settled peer.
    std::map<std::string, msec> snapshots_;
    rejection_callback on_rejection_;
    /// Expires with this object, so that callbacks that arrive later do
    /// nothing.
    std::shared_ptr<int> alive_;
};

} // namespace galenapulley
