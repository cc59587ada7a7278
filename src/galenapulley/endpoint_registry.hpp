#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/fleet_load.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// An endpoint's self-description and the state that this node keeps for it.
struct known_endpoint
{
    endpoint description;
    endpoint_key key = 0;
    /// End of the cold phase on this node's clock.
    msec cold_until = 0;
    /// When the entry was first missing from a view of the store that was not
    /// authoritative.
    std::optional<msec> missing_since{};
    /// No new work is sent to it before this time, after failed attempts.
    msec avoid_until = 0;
    std::uint32_t failures = 0;
    /// The peer that last reported a failed attempt, and when.
    std::string reported_by{};
    msec reported_at = 0;
    /// No new work is sent to it before this time, after failed attempts of
    /// peers or pauses that it asked them for, unless they report many
    /// endpoints.
    msec peers_avoid_until = 0;
    std::uint32_t peer_failures = 0;
};

/// All endpoints that have an entry in the platform's store.
class endpoint_registry
{
public:
    /// Synchronizes the registry with the entries. A missing entry removes its
    /// endpoint only if the view is authoritative. Otherwise the endpoint is
    /// kept and marked as missing, as entries expire in an outage of the store
    /// although their endpoints still run.
    void update(const std::vector<endpoint>& entries, bool authoritative,
                msec now);
    /// Removes the endpoints that are still missing when the view has been
    /// authoritative for lapse_grace.
    void drop_missing(bool authoritative, msec authoritative_since, msec now);

    /// The store was restored from a backup. Until the entries in it that
    /// belong to ended endpoints have expired, an endpoint that was draining or
    /// removed before stays so, whatever its entry says.
    void on_store_restored(msec now);

    /// An attempt couldn't reach the endpoint, or its connection broke.
    void on_failure(endpoint_key key, msec now);
    /// A peer reports a failed attempt. Counts only if two different peers
    /// report the endpoint within a short time, as an isolated node fails to
    /// reach any endpoint. Returns whether a pause begins.
    bool on_peer_failure(endpoint_key key, const std::string& peer, msec now);
    /// The endpoint asked a peer for a pause, and may want one from this node
    /// too. Returns whether a pause begins.
    bool on_peer_pause(endpoint_key key, msec until, msec now);
    /// The endpoint refused a request for lack of capacity.
    void on_capacity_refusal(endpoint_key key, msec now);
    void on_success(endpoint_key key);
    /// The endpoint reported that it is cold.
    void on_cold(endpoint_key key, msec remaining, msec now);
    /// This node reaches endpoints again after a partition, which explains the
    /// failed attempts.
    void on_partition_end();
    /// Another endpoint responded at its address.
    void on_replaced(endpoint_key key, msec now);

    /// Endpoints of a service that new work may be sent to.
    std::vector<const known_endpoint*> usable(const std::string& service,
                                              msec now) const;
    const known_endpoint* find(endpoint_key key) const;
    const std::map<std::string, known_endpoint>& all() const { return all_; }

    /// Time within which endpoints renew expired entries after an outage of the
    /// store.
    static constexpr msec lapse_grace = 2500;
    /// Time after a restore of the store within which the entries of endpoints
    /// that no longer run expire.
    static constexpr msec backup_entry_lifetime = 5000;
    /// Time for which removed endpoints are remembered; longer than a backup is
    /// old.
    static constexpr msec removal_memory = 60'000;
    /// Pause after the first failed attempt; doubles with each further one.
    static constexpr msec first_pause = 200;
    static constexpr msec max_pause = 3000;
    /// Time within which a second peer's report confirms the first one.
    static constexpr msec confirmation_window = 2000;
    /// Largest share of a service's endpoints that is avoided because of peers'
    /// reports. If more are reported, the network between nodes and endpoints
    /// is the likely cause, and the reports are ignored.
    static constexpr double max_reported_share = 0.34;
    /// Pause after a refusal for lack of capacity.
    static constexpr msec refusal_pause = 60;
    /// Time within which the entry of an endpoint expires whose address was
    /// taken by another one.
    static constexpr msec replaced_pause = 10'000;

private:
    known_endpoint* lookup(endpoint_key key);
    static msec pause_after(std::uint32_t failures);
    void update_entry(const endpoint& entry, endpoint_key key, msec now);
    /// Whether entries may be older than what is known of their endpoints.
    bool has_backup_entries(msec now) const;
    void forget_removals(msec now);

    std::map<std::string, known_endpoint> all_;
    /// When incarnations were removed.
    std::map<endpoint_key, msec> removed_at_;
    std::optional<msec> restored_at_;
};

endpoint_key key_of(const endpoint& value);

} // namespace galenapulley
