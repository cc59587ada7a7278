#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenapulley
{

struct fleet;
struct service;

/// Free capacity of a shard as last reported by its owner.
struct shard_capacity
{
    std::string shard;
    std::int64_t epoch = 0;
    std::vector<std::uint32_t> free_slots_by_class;
    std::uint32_t queued = 0;
};

/// Selects the shard of a service that a node requests a permit from.
class shard_selector
{
public:
    using generator = std::mt19937_64;

    explicit shard_selector(std::string own_zone);

    /// Sets the service's shards; the state of known shards is kept.
    void set_service(const service& document);
    /// Shards in withdrawn zones are not chosen.
    void set_fleet(const fleet& document);
    /// Shards without a known owner are not chosen.
    void set_owner_known(const std::string& shard, bool known);

    /// Ignores digests of an older epoch.
    void on_capacity(const shard_capacity& digest, msec now);
    /// Free slots reported with a grant or a refusal.
    void on_free_slots(const std::string& shard, std::size_t length_class,
                       std::uint32_t free_slots, msec now);
    /// The owner didn't respond in time; the shard is chosen last for a while.
    void on_owner_timeout(const std::string& shard, msec now);

    /// Chooses by power of two choices among the shards of the best tier: own
    /// zone with free slots, other zones with free slots, then any. Shards in
    /// `tried` are omitted.
    std::optional<std::string> pick(std::size_t length_class,
                                    const std::vector<std::string>& tried,
                                    msec now, generator& random);

private:
    struct shard_view
    {
        std::string shard;
        std::string zone;
        std::int64_t epoch = 0;
        std::vector<std::uint32_t> free_slots;
        std::uint32_t queued = 0;
        msec reported_at = 0;
        bool reported = false;
        msec avoid_until = 0;
        bool withdrawn = false;
        bool owner_known = true;
    };

    /// Order of preference; lower is better.
    enum class tier
    {
        own_zone_free,
        other_zone_free,
        full,
        unresponsive,
        unusable
    };

    shard_view* find(const std::string& shard);
    std::uint32_t free_slots(const shard_view& view, std::size_t length_class,
                             msec now) const;
    tier tier_of(const shard_view& view, std::size_t length_class,
                 msec now) const;
    bool is_better(const shard_view& a, const shard_view& b,
                   std::size_t length_class, msec now) const;

    std::string own_zone_;
    std::set<std::string> withdrawn_zones_;
    std::vector<shard_view> views_;
    /// Scratch space of pick().
    std::vector<std::size_t> candidates_;
};

} // namespace galenapulley
