#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenapulley::standins
{

struct cache_event
{
    std::uint64_t sequence = 0;
    bool added = false;
    std::uint64_t block = 0;
    msec at = 0;
};

/// Prefix cache with LRU eviction. A block is 4096 bytes of the prompt; its key
/// is XXH3-64 of the bytes, seeded with the key of the block before it.
class prefix_cache
{
public:
    explicit prefix_cache(std::int64_t capacity_tokens);

    static std::vector<std::uint64_t> block_keys(const std::string& prompt);

    /// Tokens at the start of the prompt that are cached.
    std::int64_t cached_tokens(const std::vector<std::uint64_t>& keys);
    void insert(const std::vector<std::uint64_t>& keys, msec now);
    void clear();

    /// Events after `since` that are at least `event_delay_ms` old. Some events
    /// are dropped, which leaves gaps in the sequence numbers.
    std::vector<cache_event> events(std::uint64_t since, msec now) const;

    static constexpr msec event_delay_ms = 500;

private:
    void record(bool added, std::uint64_t block, msec now);

    std::size_t capacity_blocks_;
    /// Most recently used first.
    std::list<std::uint64_t> lru_list_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
    std::deque<cache_event> events_;
    std::uint64_t sequence_ = 0;
};

} // namespace galenapulley::standins
