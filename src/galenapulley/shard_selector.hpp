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

/// What an owner last said about the free capacity of its shard.
struct shard_capacity
{
    std::string shard;
    std::int64_t epoch = 0;
    std::vector<std::uint32_t> free_slots_by_class;
    std::uint32_t queued = 0;
};

/// A node's choice among the shards of one service.
class shard_selector
{
public:
    using generator = std::mt19937_64;

    explicit shard_selector(std::string own_zone);

    /// Takes over the service's shards and keeps what is known of them.
    void set_service(const service& document);
    /// Shards in withdrawn zones are not chosen.
    void set_fleet(const fleet& document);
    /// Shards without a known owner are not chosen.
    void set_owner_known(const std::string& shard, bool known);

    /// Ignores digests of an older epoch.
    void on_capacity(const shard_capacity& digest, msec now);
    /// Free slots that came with a grant or a refusal.
    void on_free_slots(const std::string& shard, std::size_t length_class,
                       std::uint32_t free_slots, msec now);
    /// The owner didn't answer; the shard is chosen last for a while.
    void on_silence(const std::string& shard, msec now);

    /// Chooses by power of two choices: shards of the own zone with free slots,
    /// then those of other zones, then any. `tried` shards are left out.
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
        msec heard_at = 0;
        bool heard = false;
        msec silent_until = 0;
        bool withdrawn = false;
        bool owner_known = true;
    };

    /// Order of preference; lower is better.
    enum class tier
    {
        own_zone_free,
        other_zone_free,
        full,
        silent,
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
    std::vector<std::size_t> best_;
};

} // namespace galenapulley
