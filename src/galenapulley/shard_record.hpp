#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// A candidate for the ownership of shards.
struct known_node
{
    std::string node;
    std::string zone;
    bool leaving = false;
    /// 0 if unknown; no shard is handed over to such a node.
    std::int64_t incarnation = 0;
};

/// A former owner whose lease lapsed before it released the shard. It may still
/// grant permits.
struct lapsed_owner
{
    std::string node;
    std::int64_t incarnation = 0;
    std::string machine;

    bool operator==(const lapsed_owner&) const = default;
};

/// Value of a row shards/<shard>.
struct shard_record
{
    /// The owner; empty after a release.
    std::string node;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
    std::vector<lapsed_owner> lapsed;
};

std::string shard_key(const std::string& shard);
std::string format_shard(const shard_record& record);
std::optional<shard_record> parse_shard(const std::string& value);

/// The share of `limit` that an owner may grant: halved, rounding up, for each
/// lapsed former owner, and halved once more, rounding down, while the owner's
/// own lease is not held.
std::uint32_t shard_allowance(std::uint32_t limit, std::uint32_t lapsed_owners,
                              bool held);

/// The candidates for a shard in claiming order: nodes of the shard's zone come
/// first, and rendezvous hashing orders the nodes within and outside the zone.
/// Leaving nodes are omitted.
std::vector<std::string> rank_candidates(const std::string& shard,
                                         const std::vector<known_node>& nodes);

} // namespace galenapulley
