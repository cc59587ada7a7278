#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "gateway/work_message.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

// Input to the dispatcher from the store and from other nodes.

namespace galenapulley
{

namespace
{

/// Share of the cluster's retry allowance that a node uses. The rest covers
/// retries that several nodes start before they learn of each other's.
constexpr double allowance_share = 0.7;
/// Time without announcements after which a node's work is forgotten. Nodes
/// with work announce it every two seconds.
constexpr msec silence_limit = 6500;
/// Logged in place of a rate limit that has ended.
constexpr double no_limit = -1;

} // namespace

void dispatcher::set_nodes(std::size_t live, std::size_t known)
{
    // Retries of unreachable nodes can't be counted here, so their share of the
    // allowance is left to them.
    const double heard = static_cast<double>(live + 1) /
                         static_cast<double>(std::max(live, known) + 1);
    allowance_ = {.base = static_cast<std::uint32_t>(
                      allowance_share * heard * options_.cluster_retries.base),
                  .ratio = allowance_share * options_.cluster_retries.ratio};
    for (auto& [service, budget] : budgets_)
        budget.set_allowance(allowance_);
}

void dispatcher::count_peer_work(const wire::work_entry& entry)
{
    const auto* const primary = registry_.find(entry.endpoints(0));
    if (primary == nullptr)
        return;
    auto& budget = budget_of(primary->description.service);
    if (entry.repeat())
        budget.on_retry(clock_.now());
    else
        budget.on_request(clock_.now());
}

void dispatcher::record_peer_failure(endpoint_key key, const std::string& peer)
{
    const auto now = clock_.now();
    if (!registry_.on_peer_failure(key, peer, now))
        return;
    prefixes_.forget(key, now);
    const auto& known = *registry_.find(key);
    log_.write(
        log_event::endpoint_avoided,
        {{"endpoint", std::string_view(known.description.id)},
         {"failure_domain", std::string_view(known.description.failure_domain)},
         {"reported_by", std::string_view(peer)},
         {"failures", static_cast<std::int64_t>(known.peer_failures)},
         {"until_ms", known.peers_avoid_until - now}});
}

void dispatcher::on_announcement(endpoint_key key,
                                 const endpoint_announcement& announced)
{
    const auto changes = announcements_.record(key, announced, clock_.now());
    if (changes.any())
        on_recorded(key, changes);
}

void dispatcher::on_recorded(endpoint_key key,
                             const announcement_changes& changes)
{
    if (registry_.find(key) == nullptr)
        return;
    const auto now = clock_.now();
    wire::work_update update;
    if (changes.rate_limit)
    {
        const rate_limit_report report{.endpoint = key,
                                       .per_second =
                                           announcements_.rate_limit(key),
                                       .at = now};
        log_rate_limit(report, {});
        write_rate_limit(report, now, *update.add_rate_limits());
    }
    if (changes.pause)
        write_pause(
            {.endpoint = key, .until = announcements_.paused_until(key)}, now,
            *update.add_pauses());
    if (changes.leaving)
    {
        log_leaving(key, {});
        update.add_leaving(key);
    }
    announce(std::move(update));
    // What waits for the endpoint may have to be refused.
    if (changes.pause)
        place_waiting();
}

void dispatcher::log_leaving(endpoint_key key, const std::string& peer)
{
    const auto& known = *registry_.find(key);
    log_.write(
        log_event::endpoint_leaving,
        {{"endpoint", std::string_view(known.description.id)},
         {"failure_domain", std::string_view(known.description.failure_domain)},
         {"reported_by", std::string_view(peer)}});
}

void dispatcher::record_peer_leaving(endpoint_key key, const std::string& peer)
{
    // A hint like a pause, repeated as long as the peer holds it to be true.
    const auto now = clock_.now();
    if (registry_.on_peer_pause(key, now + endpoint_announcements::max_pause,
                                now))
        log_leaving(key, peer);
}

void dispatcher::record_peer_pause(const pause_report& report,
                                   const std::string& peer)
{
    const auto now = clock_.now();
    if (!registry_.on_peer_pause(report.endpoint, report.until, now))
        return;
    prefixes_.forget(report.endpoint, now);
    const auto& known = *registry_.find(report.endpoint);
    log_.write(log_event::pause_requested,
               {{"request", std::string_view()},
                {"endpoint", std::string_view(known.description.id)},
                {"retry_after_ms", report.until - now},
                {"reported_by", std::string_view(peer)}});
}

bool dispatcher::record_rate_limit(const rate_limit_report& report,
                                   const std::string& peer)
{
    if (registry_.find(report.endpoint) == nullptr ||
        !announcements_.record_rate_limit(report))
        return false;
    log_rate_limit(report, peer);
    return true;
}

void dispatcher::log_rate_limit(const rate_limit_report& report,
                                const std::string& peer)
{
    const auto& known = *registry_.find(report.endpoint);
    log_.write(
        log_event::rate_limited,
        {{"endpoint", std::string_view(known.description.id)},
         {"failure_domain", std::string_view(known.description.failure_domain)},
         {"per_second", report.per_second.value_or(no_limit)},
         {"reported_by", std::string_view(peer)}});
}

void dispatcher::write_announcements(wire::work_update& update) const
{
    const auto now = clock_.now();
    for (const auto& it : announcements_.rate_limits(now))
        write_rate_limit(it, now, *update.add_rate_limits());
    for (const auto& it : announcements_.pauses(now))
        write_pause(it, now, *update.add_pauses());
    for (const auto key : announcements_.leaving(now))
        update.add_leaving(key);
}

void dispatcher::forget_removed_endpoints()
{
    std::set<endpoint_key> known;
    for (const auto& [id, it] : registry_.all())
        known.insert(it.key);
    announcements_.retain(known);
    update_members();
}

wire::work_update dispatcher::all_work() const
{
    wire::work_update update;
    update.set_complete(true);
    const auto now = clock_.now();
    for (const auto* const it : load_.work_of(options_.node))
        write_entry(*it, now, *update.add_placed());
    write_announcements(update);
    write_estimates(update);
    write_prefixes(update);
    write_contact(update);
    return update;
}

void dispatcher::drop_silent_nodes()
{
    const auto oldest = clock_.now() - silence_limit;
    std::vector<std::string> silent;
    for (const auto& [node, at] : heard_at_)
        if (at < oldest)
            silent.push_back(node);
    for (const auto& it : silent)
    {
        heard_at_.erase(it);
        on_node_lost(it);
    }
}

void dispatcher::set_endpoints(const std::vector<endpoint>& entries,
                               bool authoritative)
{
    registry_.update(entries, authoritative, clock_.now());
    forget_removed_endpoints();
    set_prefix_holders();
    log_.write(log_event::endpoints,
               {{"entries", static_cast<std::int64_t>(entries.size())},
                {"known", static_cast<std::int64_t>(registry_.all().size())},
                {"dependable", static_cast<std::int64_t>(authoritative)}});
    place_waiting();
}

void dispatcher::drop_missing(bool authoritative, msec authoritative_since)
{
    registry_.drop_missing(authoritative, authoritative_since, clock_.now());
    update_members();
}

void dispatcher::on_store_restored()
{
    registry_.on_store_restored(clock_.now());
}

void dispatcher::set_withdrawn(std::set<std::string> domains)
{
    withdrawn_ = std::move(domains);
    place_waiting();
}

void dispatcher::on_update(const std::string& node,
                           const wire::work_update& message)
{
    const auto now = clock_.now();
    heard_at_[node] = now;
    std::vector<placed_work> placed;
    for (const auto& it : message.placed())
    {
        if (it.endpoints_size() == 0)
            continue;
        placed.push_back(read_entry(it, node, now));
        count_peer_use(placed.back(), it, message.complete());
        if (!message.complete())
            count_peer_work(it);
    }
    if (message.complete())
        load_.replace_node(node, std::move(placed), now);
    else
        for (auto& it : placed)
            load_.add(std::move(it), now);
    for (const auto id : message.first_event())
        load_.on_first_token(id, now);
    for (const auto id : message.ended())
        load_.remove(id, now);
    for (const auto key : message.failed())
        record_peer_failure(key, node);
    for (const auto& it : message.rate_limits())
        record_rate_limit(read_rate_limit(it, now), node);
    for (const auto& it : message.pauses())
        record_peer_pause(read_pause(it, now), node);
    for (const auto key : message.leaving())
        record_peer_leaving(key, node);
    record_peer_prefixes(message);
    record_peer_contact(node, message);
    record_peer_estimates(node, message);
    if (message.ended_size() > 0 || message.complete())
        place_waiting();
}

void dispatcher::on_node_lost(const std::string& node)
{
    load_.remove_node(node, clock_.now());
    place_waiting();
}

} // namespace galenapulley
