#include "galenapulley/endpoint_registry.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace galenapulley
{

endpoint_key key_of(const endpoint& value)
{
    const auto text =
        value.id + '@' + value.address + '@' + std::to_string(value.started_at);
    return XXH64(text.data(), text.size(), 0);
}

void endpoint_registry::update(const std::vector<endpoint>& entries,
                               bool authoritative, msec now)
{
    std::set<std::string> present;
    forget_removals(now);
    for (const auto& it : entries)
    {
        const auto key = key_of(it);
        if (has_backup_entries(now) && removed_at_.contains(key))
            continue;
        present.insert(it.id);
        update_entry(it, key, now);
    }
    for (auto it = all_.begin(); it != all_.end();)
    {
        if (present.contains(it->first))
            ++it;
        else if (authoritative)
        {
            removed_at_[it->second.key] = now;
            it = all_.erase(it);
        }
        else
        {
            if (!it->second.missing_since)
                it->second.missing_since = now;
            ++it;
        }
    }
}

void endpoint_registry::update_entry(const endpoint& entry, endpoint_key key,
                                     msec now)
{
    auto& known = all_[entry.id];
    const bool new_incarnation = known.key != key;
    if (new_incarnation)
        known = {.description = entry, .key = key};
    const bool was_cold = known.cold_until > now;
    if (entry.cold_remaining > 0 &&
        (new_incarnation || !was_cold ||
         entry.cold_remaining != known.description.cold_remaining))
        known.cold_until = now + entry.cold_remaining;
    const bool was_draining = known.description.draining;
    known.description = entry;
    if (was_draining && has_backup_entries(now))
        known.description.draining = true;
    known.missing_since.reset();
}

void endpoint_registry::drop_missing(bool authoritative,
                                     msec authoritative_since, msec now)
{
    if (!authoritative || now - authoritative_since < lapse_grace)
        return;
    std::erase_if(all_,
                  [this, now](const auto& it)
                  {
                      const bool missing = it.second.missing_since.has_value();
                      if (missing)
                          removed_at_[it.second.key] = now;
                      return missing;
                  });
}

void endpoint_registry::on_store_restored(msec now)
{
    restored_at_ = now;
}

bool endpoint_registry::has_backup_entries(msec now) const
{
    return restored_at_ && now - *restored_at_ < backup_entry_lifetime;
}

void endpoint_registry::forget_removals(msec now)
{
    std::erase_if(removed_at_, [now](const auto& it)
                  { return now - it.second > removal_memory; });
}

known_endpoint* endpoint_registry::lookup(endpoint_key key)
{
    for (auto& [id, it] : all_)
        if (it.key == key)
            return &it;
    return nullptr;
}

const known_endpoint* endpoint_registry::find(endpoint_key key) const
{
    for (const auto& [id, it] : all_)
        if (it.key == key)
            return &it;
    return nullptr;
}

void endpoint_registry::on_failure(endpoint_key key, msec now)
{
    auto* const it = lookup(key);
    if (it == nullptr)
        return;
    it->avoid_until = now + pause_after(it->failures++);
}

msec endpoint_registry::pause_after(std::uint32_t failures)
{
    return std::min(first_pause << std::min(failures, 4U), max_pause);
}

bool endpoint_registry::on_peer_failure(endpoint_key key,
                                        const std::string& peer, msec now)
{
    auto* const it = lookup(key);
    if (it == nullptr)
        return false;
    const bool confirmed = !it->reported_by.empty() &&
                           it->reported_by != peer &&
                           now - it->reported_at < confirmation_window;
    it->reported_by = peer;
    it->reported_at = now;
    // Failures of attempts that began before the pause don't extend it.
    if (!confirmed || it->peers_avoid_until > now)
        return false;
    it->peers_avoid_until = now + pause_after(it->peer_failures++);
    return true;
}

bool endpoint_registry::on_peer_pause(endpoint_key key, msec until, msec now)
{
    auto* const it = lookup(key);
    if (it == nullptr || it->peers_avoid_until >= until)
        return false;
    return std::exchange(it->peers_avoid_until, until) <= now;
}

void endpoint_registry::on_capacity_refusal(endpoint_key key, msec now)
{
    if (auto* const it = lookup(key))
        it->avoid_until = std::max(it->avoid_until, now + refusal_pause);
}

void endpoint_registry::on_success(endpoint_key key)
{
    auto* const it = lookup(key);
    if (it == nullptr)
        return;
    it->failures = 0;
    it->avoid_until = 0;
    it->peer_failures = 0;
    it->peers_avoid_until = 0;
}

void endpoint_registry::on_cold(endpoint_key key, msec remaining, msec now)
{
    if (auto* const it = lookup(key))
        it->cold_until = std::max(it->cold_until, now + remaining);
}

void endpoint_registry::on_partition_end()
{
    for (auto& [id, it] : all_)
        if (std::exchange(it.failures, 0) > 0)
            it.avoid_until = 0;
}

void endpoint_registry::on_replaced(endpoint_key key, msec now)
{
    // The entry remains until it expires in the store, so the endpoint has to
    // be avoided here.
    if (auto* const it = lookup(key))
        it->avoid_until = now + replaced_pause;
}

std::vector<const known_endpoint*>
endpoint_registry::usable(const std::string& service, msec now) const
{
    std::vector<const known_endpoint*> out;
    std::vector<const known_endpoint*> reported;
    for (const auto& [id, it] : all_)
        if (it.description.service == service && !it.description.draining &&
            it.avoid_until <= now)
            (it.peers_avoid_until > now ? reported : out).push_back(&it);
    const auto total = static_cast<double>(out.size() + reported.size());
    if (static_cast<double>(reported.size()) > max_reported_share * total)
        out.insert(out.end(), reported.begin(), reported.end());
    return out;
}

} // namespace galenapulley
