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

/// An endpoint and what this node knows of it beyond its own description.
struct known_endpoint
{
    endpoint description;
    endpoint_key key = 0;
    /// End of the cold phase on this node's clock.
    msec cold_until = 0;
    /// Its entry has vanished while the store was not dependable.
    std::optional<msec> missing_since{};
    /// Calls failed; it gets no new work until then.
    msec avoid_until = 0;
    std::uint32_t failures = 0;
    /// The peer that has told of a failed call last, and when.
    std::string reported_by{};
    msec reported_at = 0;
    /// Peers' calls failed; it gets no new work until then, unless the same is
    /// said of many endpoints.
    msec peers_avoid_until = 0;
    std::uint32_t peer_failures = 0;
};

/// All endpoints, from the entries that they keep in the platform's store.
class endpoint_registry
{
public:
    /// Makes the registry equal to the entries. While the store is not
    /// dependable, entries lapse although their endpoints live: those are
    /// kept and marked as missing.
    void update(const std::vector<endpoint>& entries, bool dependable,
                msec now);
    /// Drops endpoints that are still missing after the time in which entries
    /// come back once the store is there again.
    void drop_missing(bool dependable, msec dependable_since, msec now);

    /// A call could not reach the endpoint, or it broke off.
    void on_failure(endpoint_key key, msec now);
    /// A peer tells that its call has failed. Only failures of different
    /// nodes within a short time count: a node that is cut off finds every
    /// endpoint to fail. Returns whether a pause begins.
    bool on_peer_failure(endpoint_key key, const std::string& peer, msec now);
    /// The endpoint has refused for lack of room.
    void on_full(endpoint_key key, msec now);
    void on_success(endpoint_key key);
    /// The endpoint has told that it is cold.
    void on_cold(endpoint_key key, msec left, msec now);
    /// Another endpoint has answered at its address.
    void on_replaced(endpoint_key key, msec now);

    /// Endpoints of a service that may get new work.
    std::vector<const known_endpoint*> usable(const std::string& service,
                                              msec now) const;
    const known_endpoint* find(endpoint_key key) const;
    const std::map<std::string, known_endpoint>& all() const { return all_; }

    /// Time after the store's return in which lapsed entries come back.
    static constexpr msec lapse_grace = 2500;
    /// First pause after a failed call; it doubles with each further one.
    static constexpr msec avoid_time = 200;
    static constexpr msec avoid_time_max = 3000;
    /// Time within which a second peer's failure confirms the first one's.
    static constexpr msec confirm_time = 2000;
    /// Part of a service's endpoints that peers' failures keep out of use; if
    /// there are more, the trouble is between nodes and endpoints.
    static constexpr double most_reported = 0.34;
    /// Pause after a refusal for lack of room.
    static constexpr msec full_time = 60;
    /// An entry whose address another endpoint has lapses within this time.
    static constexpr msec replaced_time = 10'000;

private:
    known_endpoint* lookup(endpoint_key key);
    static msec pause_after(std::uint32_t failures);

    std::map<std::string, known_endpoint> all_;
};

endpoint_key key_of(const endpoint& value);

} // namespace galenapulley
