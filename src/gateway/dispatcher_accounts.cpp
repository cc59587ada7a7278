#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <absl/strings/str_cat.h>

#include <unordered_set>
#include <utility>

// Fair shares of client accounts.

namespace galenapulley
{

namespace
{

/// Endpoint time of a call of a service without a model. All calls of a service
/// count alike, as their endpoints state no costs.
constexpr double plain_call_ms = 100;
/// A pass over all waiting requests is not repeated sooner; announcements of
/// other nodes are no fresher.
constexpr msec shares_period = 20;
/// The pause between two passes grows by 1 ms for so many waiting requests, so
/// that a long queue doesn't occupy the event loop.
constexpr std::size_t requests_per_ms = 10;
constexpr double percent = 100;
/// A request that another node placed this long after its arrival has waited
/// there for an endpoint.
constexpr msec min_wait = 40;
/// Time for which the other node is believed to have more such requests; some
/// announcements long.
constexpr msec peer_wait_memory = 100;

/// Longest time for which the placed work can have used endpoints: the time
/// since its request arrived, which is relative and holds for any clock.
msec time_since_arrival(const placed_work& work, msec now)
{
    return work.first_token_target - (work.first_token_due_at - now);
}

} // namespace

void dispatcher::set_routing(std::shared_ptr<const routing_table> table)
{
    routing_ = std::move(table);
    account_names_.clear();
    for (const auto& it : routing_->accounts())
        account_names_.emplace(account_key_of(it.name), it.name);
}

std::string dispatcher::account_name(account_key account) const
{
    const auto it = account_names_.find(account);
    if (it != account_names_.end())
        return it->second;
    return account == 0 ? std::string() : absl::StrCat(absl::Hex(account));
}

double dispatcher::cost_of(const std::string& service, double prompt_tokens,
                           double output_tokens) const
{
    const auto* const known =
        routing_ == nullptr ? nullptr : routing_->service(service);
    if (known == nullptr || !known->engine)
        return plain_call_ms;
    return endpoint_time_ms(*known->engine, prompt_tokens, output_tokens);
}

void dispatcher::count_use(const placed_work& work, bool is_listed)
{
    if (!options_.account_shares)
        return;
    const auto* const primary = registry_.find(work.endpoints.front());
    // A node that doesn't announce accounts would appear as one large account,
    // which raises the shares of all others.
    const bool is_unknown = work.account == 0 && work.node != options_.node;
    if (primary == nullptr || is_unknown)
        return;
    const auto now = clock_.now();
    const auto& service = primary->description.service;
    account_shares_.on_placed(
        service,
        {.request = work.request,
         .account = work.account,
         .cost_ms = cost_of(service, work.prompt_tokens, work.output_tokens),
         .age = is_listed ? time_since_arrival(work, now) : 0},
        now);
}

void dispatcher::count_peer_use(const placed_work& work,
                                const wire::work_entry& entry, bool is_listed)
{
    count_use(work, is_listed);
    const auto* const primary = registry_.find(work.endpoints.front());
    if (!options_.account_shares || primary == nullptr || is_listed ||
        entry.repeat() || work.account == 0)
        return;
    const auto now = clock_.now();
    const auto& service = primary->description.service;
    if (time_since_arrival(work, now) >= min_wait &&
        !account_shares_.is_over_share(service, work.account, now))
        peers_waited_at_[service] = now;
}

bool dispatcher::is_deferred(const dispatch_request& item) const
{
    if (!over_share_.contains(item.id))
        return false;
    const auto it = peers_waited_at_.find(item.service);
    return it != peers_waited_at_.end() &&
           clock_.now() - it->second < peer_wait_memory;
}

bool dispatcher::begins_over_share(const dispatch_request& item)
{
    const bool is_over =
        options_.account_shares &&
        account_shares_.is_over_share(
            item.service, account_key_of(item.account), clock_.now());
    if (is_over)
        over_share_.insert(item.id);
    return is_over;
}

void dispatcher::refresh_shares()
{
    if (!options_.account_shares)
        return;
    const auto now = clock_.now();
    const auto period =
        shares_period + static_cast<msec>(queue_.size() / requests_per_ms);
    if (now - shares_updated_at_ >= period)
        update_shares(now);
}

void dispatcher::update_shares(msec now)
{
    shares_updated_at_ = now;
    queue_.set_over_share({});
    std::map<std::string, std::vector<const dispatch_request*>> by_service;
    for (const auto id : queue_.ordered(now))
        if (const auto it = waiting_.find(id); it != waiting_.end())
            by_service[it->second.item.service].push_back(&it->second.item);
    over_share_.clear();
    for (const auto& [service, requests] : by_service)
        for (const auto id : over_share(service, requests, now))
            over_share_.insert(id);
    queue_.set_over_share(over_share_);
}

std::vector<std::uint64_t>
dispatcher::over_share(const std::string& service,
                       const std::vector<const dispatch_request*>& requests,
                       msec now)
{
    std::vector<account_demand> demands;
    demands.reserve(requests.size());
    for (const auto* const it : requests)
        demands.push_back({.account = account_key_of(it->account),
                           .cost_ms = cost_of(service, it->prompt_tokens,
                                              it->output_tokens)});
    const auto over = account_shares_.over_share(service, demands, now);
    std::vector<std::uint64_t> out;
    std::unordered_set<account_key> seen;
    for (std::size_t n = 0; n < over.size(); ++n)
    {
        const auto account = demands[n].account;
        // Accounts of which only later requests are over are not limited yet.
        const bool is_first = seen.insert(account).second;
        if (!over[n])
            continue;
        out.push_back(requests[n]->id);
        if (is_first && account_limits_.on_limited({service, account}, now))
            log_account(log_event::account_limited, {service, account});
    }
    return out;
}

void dispatcher::end_account_limits()
{
    for (const auto& it : account_limits_.take_ended(clock_.now()))
        log_account(log_event::account_limit_ended, it);
}

void dispatcher::log_account(log_event event, const limited_account& item)
{
    const auto name = account_name(item.account);
    double all = 0;
    account_use own;
    for (const auto& it : account_shares_.uses(item.service, clock_.now()))
    {
        all += it.use_ms;
        if (it.account == item.account)
            own = it;
    }
    log_.write(event,
               {{"account", std::string_view(name)},
                {"service", std::string_view(item.service)},
                {"share_percent", percent * own.share},
                {"use_percent", all > 0 ? percent * own.use_ms / all : 0},
                {"use_ms", own.use_ms},
                {"waiting", static_cast<std::int64_t>(queue_.size())}});
}

std::vector<account_report> dispatcher::account_reports() const
{
    std::map<limited_account, account_report> all;
    for (const auto& service : account_shares_.services())
    {
        const auto uses = account_shares_.uses(service, clock_.now());
        double total = 0;
        for (const auto& it : uses)
            total += it.use_ms;
        for (const auto& it : uses)
            all[{service, it.account}] = {.share = it.share,
                                          .use = it.use_ms / total,
                                          .use_ms = it.use_ms};
    }
    for (const auto& [id, it] : waiting_)
        ++all[{it.item.service, account_key_of(it.item.account)}].waiting;
    for (const auto& [key, counts] : account_refusals_)
        all[key].refused = counts;
    std::vector<account_report> out;
    for (auto& [key, it] : all)
    {
        it.service = key.service;
        it.account = account_name(key.account);
        it.limited = account_limits_.is_limited(key);
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace galenapulley
