#include "galenapulley/prefixes/prefix_index.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

void prefix_index::set_holders(std::span<const prefix_holder> holders)
{
    auto before = std::exchange(holders_, {});
    for (const auto& it : holders)
    {
        if (it.retention.tokens <= 0 || it.retention.time <= 0)
            continue;
        auto& to = holders_[it.endpoint];
        const auto known = before.find(it.endpoint);
        if (known != before.end() &&
            known->second.declared.weights == it.weights)
            to = std::move(known->second);
        to.declared = it;
    }
}

prefix_index::holder* prefix_index::find(endpoint_key key)
{
    const auto it = holders_.find(key);
    return it == holders_.end() ? nullptr : &it->second;
}

std::vector<held_prefix>
prefix_index::on_served(endpoint_key key,
                        std::span<const prompt_prefix> prefixes, msec now)
{
    std::vector<held_prefix> out;
    auto* const at = find(key);
    if (at == nullptr)
        return out;
    // A longer prefix is useless without the shorter ones, so it is the first
    // to be evicted.
    auto until = now + at->declared.retention.time;
    for (const auto& it : prefixes)
    {
        if (!add(*at, it.hash,
                 {.added_tokens = it.added_tokens, .until = until, .own = true},
                 now))
            break;
        out.push_back({.endpoint = key,
                       .prefix = it.hash,
                       .added_tokens = it.added_tokens,
                       .until = until,
                       .weights = at->declared.weights});
        --until;
    }
    return out;
}

void prefix_index::on_report(const held_prefix& item, msec now)
{
    auto* const at = find(item.endpoint);
    if (at == nullptr || item.weights != at->declared.weights)
        return;
    const auto until = std::min(item.until, now + at->declared.retention.time);
    const auto used_at = until - at->declared.retention.time;
    if (at->lost_at && used_at <= *at->lost_at + max_report_delay)
        return;
    add(*at, item.prefix, {.added_tokens = item.added_tokens, .until = until},
        now);
}

bool prefix_index::add(holder& at, std::uint64_t prefix, const entry& item,
                       msec now)
{
    if (!(item.added_tokens > 0) ||
        item.added_tokens > at.declared.retention.tokens || item.until <= now)
        return false;
    const auto [it, is_new] = at.entries.try_emplace(prefix, item);
    if (is_new)
        at.tokens += item.added_tokens;
    it->second.until = std::max(it->second.until, item.until);
    it->second.own = it->second.own || item.own;
    evict(at, now);
    return at.entries.contains(prefix);
}

void prefix_index::evict(holder& at, msec now)
{
    const auto is_full = [&at]
    {
        return at.tokens > at.declared.retention.tokens ||
               at.entries.size() > max_prefixes_per_endpoint;
    };
    if (!is_full())
        return;
    for (auto it = at.entries.begin(); it != at.entries.end();)
    {
        if (it->second.until > now)
        {
            ++it;
            continue;
        }
        at.tokens -= it->second.added_tokens;
        it = at.entries.erase(it);
    }
    while (is_full())
        erase_first_to_end(at);
}

void prefix_index::erase_first_to_end(holder& at)
{
    const auto it = std::min_element(at.entries.begin(), at.entries.end(),
                                     [](const auto& a, const auto& b) {
                                         return a.second.until < b.second.until;
                                     });
    at.tokens -= it->second.added_tokens;
    at.entries.erase(it);
}

void prefix_index::forget(endpoint_key key, msec now)
{
    auto* const at = find(key);
    if (at == nullptr)
        return;
    at->entries.clear();
    at->tokens = 0;
    at->lost_at = now;
}

double prefix_index::retained_tokens(endpoint_key key,
                                     std::span<const prompt_prefix> prefixes,
                                     msec now) const
{
    const auto at = holders_.find(key);
    if (at == holders_.end())
        return 0;
    double out = 0;
    for (const auto& it : prefixes)
    {
        const auto known = at->second.entries.find(it.hash);
        if (known == at->second.entries.end() || known->second.until <= now)
            break;
        out = it.tokens;
    }
    return out;
}

std::vector<held_prefix> prefix_index::own(std::size_t max, msec now) const
{
    std::vector<held_prefix> out;
    for (const auto& [key, at] : holders_)
        for (const auto& [prefix, it] : at.entries)
            if (it.own && it.until > now)
                out.push_back({.endpoint = key,
                               .prefix = prefix,
                               .added_tokens = it.added_tokens,
                               .until = it.until,
                               .weights = at.declared.weights});
    std::sort(out.begin(), out.end(),
              [](const held_prefix& a, const held_prefix& b)
              { return a.until > b.until; });
    if (out.size() > max)
        out.resize(max);
    return out;
}

std::size_t prefix_index::size() const
{
    std::size_t out = 0;
    for (const auto& [key, at] : holders_)
        out += at.entries.size();
    return out;
}

} // namespace galenapulley
