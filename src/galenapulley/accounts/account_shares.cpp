#include "galenapulley/accounts/account_shares.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace galenapulley
{

namespace
{

/// Accounts with less use than this are no longer active.
constexpr double min_use_ms = 1;
/// A placement is announced again while it runs. Older ones than decay_time are
/// not counted, so ids are kept that long and for the delay of announcements.
constexpr msec counted_memory = account_shares::decay_time + 5_sec;
/// Bounds the memory of a small node to about a megabyte. With more placements
/// in counted_memory, a late repetition counts twice.
constexpr std::size_t max_counted = 16'384;

double decayed(double ms, msec elapsed)
{
    const auto spans = static_cast<double>(std::max(elapsed, 0_ms)) /
                       static_cast<double>(account_shares::decay_time);
    return ms * std::exp(-spans);
}

} // namespace

account_key account_key_of(std::string_view name)
{
    return name.empty() ? 0 : XXH64(name.data(), name.size(), 0);
}

double endpoint_time_ms(const engine_profile& engine, double prompt_tokens,
                        double output_tokens)
{
    const auto slots = std::max(1U, engine.slots);
    const double context = std::min(static_cast<double>(engine.memory_tokens),
                                    slots * (prompt_tokens + output_tokens));
    return engine.prefill_ms(prompt_tokens) +
           engine.decode_ms(output_tokens, slots, context) / slots;
}

void account_shares::set_weight(account_key account, double weight)
{
    if (weight > 0 && std::isfinite(weight))
        weights_[account] = weight;
}

double account_shares::weight_of(account_key account) const
{
    const auto it = weights_.find(account);
    return it == weights_.end() ? 1 : it->second;
}

bool account_shares::remember(std::uint64_t request, msec now)
{
    while (!counted_.empty() && (counted_.size() >= max_counted ||
                                 now - counted_.front().at > counted_memory))
    {
        counted_ids_.erase(counted_.front().request);
        counted_.pop_front();
    }
    if (!counted_ids_.insert(request).second)
        return false;
    counted_.push_back({.request = request, .at = now});
    return true;
}

void account_shares::make_room(use_map& uses, msec now)
{
    std::erase_if(
        uses, [now](const auto& it)
        { return decayed(it.second.ms, now - it.second.at) < min_use_ms; });
}

bool account_shares::on_placed(const std::string& service,
                               const account_placement& item, msec now)
{
    const auto age = std::max(item.age, 0_ms);
    if (!(item.cost_ms > 0) || age > decay_time || !remember(item.request, now))
        return false;
    auto& uses = uses_[service];
    if (uses.size() >= max_accounts && !uses.contains(item.account))
        make_room(uses, now);
    if (uses.size() >= max_accounts && !uses.contains(item.account))
        return false;
    auto& it = uses[item.account];
    it.ms = decayed(it.ms, now - it.at) +
            decayed(std::min(item.cost_ms, max_cost_ms), age);
    it.at = now;
    return true;
}

double& account_shares::add_active(current_uses& uses,
                                   account_key account) const
{
    const auto [it, added] = uses.by_account.try_emplace(account, 0);
    if (added)
        uses.weight += weight_of(account);
    return it->second;
}

account_shares::current_uses account_shares::current(const std::string& service,
                                                     msec now) const
{
    current_uses out;
    const auto found = uses_.find(service);
    if (found == uses_.end())
        return out;
    for (const auto& [account, it] : found->second)
    {
        const auto ms = decayed(it.ms, now - it.at);
        if (ms < min_use_ms)
            continue;
        add_active(out, account) = ms;
        out.use_ms += ms;
    }
    return out;
}

bool account_shares::exceeds(const current_uses& uses, account_key account,
                             double use_ms) const
{
    const auto share = weight_of(account) / uses.weight;
    return use_ms > share * uses.use_ms + burst_credit_ms;
}

bool account_shares::is_over_share(const std::string& service,
                                   account_key account, msec now) const
{
    auto uses = current(service, now);
    const auto use = add_active(uses, account);
    return exceeds(uses, account, use);
}

std::vector<bool>
account_shares::over_share(const std::string& service,
                           std::span<const account_demand> waiting,
                           msec now) const
{
    std::vector<bool> over(waiting.size(), false);
    const bool one_account =
        std::all_of(waiting.begin(), waiting.end(),
                    [&waiting](const account_demand& it)
                    { return it.account == waiting.front().account; });
    if (one_account)
        return over;
    auto uses = current(service, now);
    for (const auto& it : waiting)
        add_active(uses, it.account);
    for (std::size_t n = 0; n < waiting.size(); ++n)
    {
        auto& use = uses.by_account[waiting[n].account];
        over[n] = exceeds(uses, waiting[n].account, use);
        if (over[n])
            continue;
        use += waiting[n].cost_ms;
        uses.use_ms += waiting[n].cost_ms;
    }
    return over;
}

std::vector<account_use> account_shares::uses(const std::string& service,
                                              msec now) const
{
    const auto uses = current(service, now);
    std::vector<account_use> out;
    for (const auto& [account, ms] : uses.by_account)
        out.push_back({.account = account,
                       .use_ms = ms,
                       .share = weight_of(account) / uses.weight});
    return out;
}

std::vector<std::string> account_shares::services() const
{
    std::vector<std::string> out;
    for (const auto& [name, uses] : uses_)
        out.push_back(name);
    return out;
}

} // namespace galenapulley
