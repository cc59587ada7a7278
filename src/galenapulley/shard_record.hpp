#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// A candidate for ownership.
struct known_node
{
    std::string node;
    std::string zone;
    bool leaving = false;
    /// 0 if not known; such a node is handed no shard.
    std::int64_t incarnation = 0;
};

/// A former owner whose lease lapsed without release. It may still grant.
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
    /// Empty once released.
    std::string node;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
    std::vector<lapsed_owner> lapsed;
};

std::string shard_key(const std::string& shard);
std::string format_shard(const shard_record& record);
std::optional<shard_record> parse_shard(const std::string& value);

/// The part of `limit` that an owner may grant: ceil(a/2) per lapsed former
/// owner, and floor(a/2) of that while its own lease is not held.
std::uint32_t shard_allowance(std::uint32_t limit, std::uint32_t lapsed_owners,
                              bool held);

/// The candidates for a shard in claiming order: nodes of the shard's zone
/// first, then by rendezvous hash. Leaving nodes are left out.
std::vector<std::string> rank_candidates(const std::string& shard,
                                         const std::vector<known_node>& nodes);

} // namespace galenapulley
