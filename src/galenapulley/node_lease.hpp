#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/table_service.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace galenapulley
{

/// Durations of the lease protocol.
struct lease_terms
{
    msec ttl = 6000;
    msec renew_interval = 2000;
    /// Claimants wait for it after the TTL. Covers permits that were granted
    /// just before the lease lapsed.
    msec grace = 2000;
};

/// Value of a row nodes/<id>.
struct lease_record
{
    std::int64_t incarnation = 0;
    /// Incremented by each renewal of this incarnation.
    std::int64_t renewal = 0;
    /// Incremented by each claim that takes a shard from the node.
    std::int64_t claims = 0;
    std::string zone;
    std::string peer_address;
    std::string listen_address;
    std::string machine;
    bool leaving = false;
};

std::string lease_key(const std::string& node);
std::string format_lease(const lease_record& record);
std::optional<lease_record> parse_lease(const std::string& value);

/// Creates and renews the lease row of this node.
class node_lease
{
public:
    struct settings
    {
        std::string node;
        std::int64_t incarnation = 0;
        std::string zone;
        std::string peer_address;
        std::string listen_address;
        std::string machine;
        lease_terms terms;
    };

    struct observer
    {
        /// A claimant changed the row; all owned shards must be read again.
        std::function<void()> on_conflict;
        /// The lease is held, after it was not.
        std::function<void()> on_held;
        /// A newer incarnation of this node owns the row.
        std::function<void()> on_replaced;
    };

    node_lease(const clock& time, table_service& table, settings own,
               observer events = {});

    /// Starts a renewal when one is due. Call at least every 100 ms.
    void tick();

    /// Whether the TTL, counted from the sending time of the last successful
    /// renewal, has not expired. False from a conflict until the next renewal
    /// succeeds.
    bool held(msec now) const;
    msec held_until() const { return held_until_; }

    /// Incremented by each conflict. Shard rows that were read under an older
    /// generation must be read again.
    std::int64_t generation() const { return generation_; }

    const settings& own() const { return own_; }

    /// Sets `leaving` in the row by a renewal that becomes due at once.
    void announce_leaving();

    /// Deletes the row. Call after shard_claims has released all shards.
    void release(std::function<void()> done);

private:
    enum class phase
    {
        idle,
        renewing,
        reading,
        releasing,
        ended
    };

    void send_renewal();
    void read_row();
    void on_commit(const commit_result& result);
    void on_row(const absl::StatusOr<table_row>& row);
    void adopt(const lease_record& record);
    void extend();
    void on_foreign_claim(std::int64_t claims);
    void end();
    void send_release();
    void on_released(const commit_result& result);
    void finish_release();

    const clock& time_;
    table_service& table_;
    settings own_;
    observer events_;
    phase phase_ = phase::idle;
    /// Version of the row; empty until it has been read.
    std::optional<std::int64_t> version_;
    lease_record record_;
    std::int64_t generation_ = 0;
    /// Sending time of the renewal numbered record_.renewal.
    msec renewal_sent_at_ = 0;
    msec held_until_ = 0;
    msec next_action_ = 0;
    /// Whether it is unknown if renewal record_.renewal was committed.
    bool outcome_unknown_ = false;
    /// Whether a row with this incarnation has been written.
    bool created_ = false;
    bool leaving_sent_ = false;
    bool release_requested_ = false;
    std::function<void()> release_done_;
    /// Lets pending callbacks detect that the object was destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace galenapulley
