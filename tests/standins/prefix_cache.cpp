#include "standins/prefix_cache.hpp"

#include <xxhash.h>

#include <algorithm>

namespace galenapulley::standins
{

namespace
{

constexpr std::size_t block_bytes = 4096;
constexpr std::int64_t bytes_per_token = 5;
constexpr std::size_t max_events = 10'000;
/// Events whose sequence number is a multiple of this are dropped.
constexpr std::uint64_t dropped_event_interval = 7;

} // namespace

prefix_cache::prefix_cache(std::int64_t capacity_tokens)
    : capacity_blocks_(
          static_cast<std::size_t>(capacity_tokens * bytes_per_token /
                                   static_cast<std::int64_t>(block_bytes)))
{
}

std::vector<std::uint64_t> prefix_cache::block_keys(const std::string& prompt)
{
    std::vector<std::uint64_t> keys;
    std::uint64_t key = 0;
    for (std::size_t n = 0; n + block_bytes <= prompt.size(); n += block_bytes)
    {
        key = XXH3_64bits_withSeed(prompt.data() + n, block_bytes, key);
        keys.push_back(key);
    }
    return keys;
}

std::int64_t prefix_cache::cached_tokens(const std::vector<std::uint64_t>& keys)
{
    std::size_t count = 0;
    for (const auto key : keys)
    {
        const auto it = blocks_.find(key);
        if (it == blocks_.end())
            break;
        lru_list_.splice(lru_list_.begin(), lru_list_, it->second);
        ++count;
    }
    return static_cast<std::int64_t>(count * block_bytes) / bytes_per_token;
}

void prefix_cache::insert(const std::vector<std::uint64_t>& keys, msec now)
{
    // Blocks past the capacity would evict the first ones, at which every
    // look-up starts.
    const auto count = std::min(keys.size(), capacity_blocks_);
    for (std::size_t n = 0; n < count; ++n)
    {
        const auto it = blocks_.find(keys[n]);
        if (it != blocks_.end())
        {
            lru_list_.splice(lru_list_.begin(), lru_list_, it->second);
            continue;
        }
        lru_list_.push_front(keys[n]);
        blocks_[keys[n]] = lru_list_.begin();
        record(true, keys[n], now);
        if (blocks_.size() > capacity_blocks_)
        {
            record(false, lru_list_.back(), now);
            blocks_.erase(lru_list_.back());
            lru_list_.pop_back();
        }
    }
}

void prefix_cache::clear()
{
    lru_list_.clear();
    blocks_.clear();
}

std::vector<cache_event> prefix_cache::events(std::uint64_t since,
                                              msec now) const
{
    std::vector<cache_event> found;
    for (const auto& it : events_)
    {
        if (it.sequence > since && it.at + event_delay_ms <= now)
            found.push_back(it);
    }
    return found;
}

void prefix_cache::record(bool added, std::uint64_t block, msec now)
{
    ++sequence_;
    if (sequence_ % dropped_event_interval == 0)
        return;
    events_.push_back({sequence_, added, block, now});
    if (events_.size() > max_events)
        events_.pop_front();
}

} // namespace galenapulley::standins
