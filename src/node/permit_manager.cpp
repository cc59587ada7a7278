#include "node/permit_manager.hpp"

#include "galenapulley/config_registry.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/peer_link.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/shard_claims.hpp"
#include "galenapulley/view_freshness.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

/// Refusals that any other shard of the service would give as well.
bool is_final(error_kind kind)
{
    return kind == error_kind::request_quarantined ||
           kind == error_kind::bad_request;
}

std::vector<permit_share> to_shares(const wire::permit_grant& grant)
{
    std::vector<permit_share> shares;
    for (const auto& it : grant.shares())
        shares.push_back({.back_end = it.back_end(), .tokens = it.tokens()});
    return shares;
}

} // namespace

permit_manager::permit_manager(permit_manager_options options,
                               dependencies deps)
    : options_(std::move(options)), deps_(deps), random_(options_.seed)
{
}

permit_key permit_manager::key_of(std::uint64_t request) const
{
    return {.node = options_.node,
            .incarnation = options_.incarnation,
            .request = request};
}

bool permit_manager::is_own(const permit_key& key) const
{
    return key.node == options_.node && key.incarnation == options_.incarnation;
}

std::string permit_manager::owner_of(const std::string& shard) const
{
    if (schedulers_.count(shard) != 0)
        return options_.node;
    const auto* from_gossip = deps_.members.owner_of(shard);
    const auto from_claims = deps_.claims.owner_of(shard);
    if (from_claims &&
        (from_gossip == nullptr || from_claims->epoch > from_gossip->epoch))
        return from_claims->node;
    return from_gossip == nullptr ? std::string() : from_gossip->node;
}

void permit_manager::send_to(const std::string& node,
                             const wire::peer_message& message)
{
    if (const auto* it = deps_.members.find(node))
        deps_.peers.send(it->peer_address, message);
}

shard_selector&
permit_manager::selector_for(const std::shared_ptr<const service>& target)
{
    const auto it = selectors_.find(target->name);
    if (it != selectors_.end())
        return it->second;
    auto& selector =
        selectors_.emplace(target->name, shard_selector(options_.zone))
            .first->second;
    selector.set_service(*target);
    selector.set_fleet(*deps_.registry.current_fleet());
    for (const auto& shard : target->shards())
        selector.set_owner_known(shard, !owner_of(shard).empty());
    return selector;
}

std::uint64_t
permit_manager::request_permit(const std::shared_ptr<const service>& target,
                               permit_query query, permit_callback done)
{
    const auto request = ++last_request_;
    query.key = key_of(request);
    waiting_.emplace(request,
                     waiting_request{.target = target,
                                     .query = std::move(query),
                                     .done = std::move(done),
                                     .requested_at = deps_.time.now()});
    try_next_shard(request);
    return request;
}

void permit_manager::try_next_shard(std::uint64_t request)
{
    const auto found = waiting_.find(request);
    if (found == waiting_.end())
        return;
    auto& it = found->second;
    const auto now = deps_.time.now();
    if (now >= it.query.deadline)
        it.refusal = make_error(error_kind::deadline_unreachable,
                                "no permit was granted before the deadline");
    std::optional<std::string> shard;
    if (it.tried.size() < options_.max_shards && now < it.query.deadline)
        shard = selector_for(it.target).pick(it.query.length_class, it.tried,
                                             now, random_);
    if (!shard)
    {
        if (!schedule_retry(it))
            fail_request(request);
        return;
    }
    it.shard = *shard;
    it.tried.push_back(*shard);
    it.owner = owner_of(*shard);
    it.heard_at = now;
    it.queued = false;
    send_permit_request(request, it);
}

void permit_manager::send_permit_request(std::uint64_t request,
                                         waiting_request& it)
{
    if (auto* own = find_scheduler(it.shard))
    {
        const auto length_class = it.query.length_class;
        const auto decision = decide(*own, it.query);
        deliver(*own, decision, length_class);
        return;
    }
    const auto& query = it.query;
    wire::peer_message message;
    auto& body = *message.mutable_permit_request();
    body.set_request(request);
    body.set_shard(it.shard);
    body.set_customer(query.customer);
    body.set_length_class(static_cast<std::uint32_t>(query.length_class));
    body.set_prompt_tokens(query.prompt_tokens);
    body.set_output_tokens(query.output_tokens);
    body.set_time_left_ms(static_cast<std::uint32_t>(
        std::max<msec>(0, query.deadline - deps_.time.now())));
    body.set_fingerprint(query.fingerprint);
    body.set_prefix(query.prefix);
    for (const auto& name : query.excluded)
        body.add_excluded(name);
    body.set_is_retry(query.is_retry);
    send_to(it.owner, message);
}

bool permit_manager::schedule_retry(waiting_request& it)
{
    const auto now = deps_.time.now();
    const auto kind =
        it.refusal.ok() ? error_kind::no_back_end : kind_of(it.refusal);
    const auto current = deps_.registry.current_fleet();
    const auto& back_ends = it.target->back_ends;
    const bool can_recover =
        (kind == error_kind::no_back_end || kind == error_kind::isolated) &&
        std::any_of(back_ends.begin(), back_ends.end(),
                    [&](const back_end& target)
                    { return current->admits(target); });
    if (!can_recover || now - it.requested_at >= options_.owner_retry_timeout)
        return false;
    it.retry_at = now + options_.owner_retry_interval;
    it.tried.clear();
    it.shard.clear();
    it.owner.clear();
    it.refusal = absl::OkStatus();
    return true;
}

void permit_manager::retry_due_requests(msec now)
{
    std::vector<std::uint64_t> due;
    for (const auto& [request, it] : waiting_)
        if (it.retry_at && now >= *it.retry_at)
            due.push_back(request);
    for (const auto request : due)
    {
        const auto found = waiting_.find(request);
        if (found == waiting_.end())
            continue;
        found->second.retry_at.reset();
        try_next_shard(request);
    }
}

void permit_manager::fail_request(std::uint64_t request)
{
    auto entry = waiting_.extract(request);
    if (entry.empty())
        return;
    auto& it = entry.mapped();
    auto refusal = it.refusal;
    if (refusal.ok())
        refusal = make_error(error_kind::no_back_end,
                             "no shard of service " + it.target->name +
                                 " has an owner that responds");
    it.done(refusal);
}

void permit_manager::accept_grant(std::uint64_t request,
                                  const std::string& shard,
                                  std::vector<permit_share> shares)
{
    auto entry = waiting_.extract(request);
    auto& it = entry.mapped();
    granted_[request] = {.shard = shard,
                         .customer = it.query.customer,
                         .shares = shares,
                         .deadline = it.query.deadline};
    it.done(granted_permit{
        .request = request, .shard = shard, .shares = std::move(shares)});
}

void permit_manager::process_refusal(std::uint64_t request,
                                     const std::string& shard, error_kind kind)
{
    const auto found = waiting_.find(request);
    if (found == waiting_.end() || found->second.shard != shard)
        return;
    // node_leaving means that the node no longer owns the shard, which says
    // nothing about the request itself.
    if (kind != error_kind::node_leaving)
        found->second.refusal =
            make_error(kind, "refused by the owner of shard " + shard);
    if (is_final(kind))
        fail_request(request);
    else
        try_next_shard(request);
}

void permit_manager::cancel(std::uint64_t request)
{
    const permit_result unused{.outcome = permit_outcome::unused};
    auto entry = waiting_.extract(request);
    if (entry.empty())
    {
        release(request, unused);
        return;
    }
    const auto& it = entry.mapped();
    if (!it.shard.empty())
        send_release(it.shard, it.owner, request, unused);
}

void permit_manager::release(std::uint64_t request, const permit_result& result)
{
    auto entry = granted_.extract(request);
    if (entry.empty())
        return;
    const auto& shard = entry.mapped().shard;
    send_release(shard, owner_of(shard), request, result);
}

void permit_manager::send_release(const std::string& shard,
                                  const std::string& owner,
                                  std::uint64_t request,
                                  const permit_result& result)
{
    if (auto* own = find_scheduler(shard))
    {
        if (result.outcome == permit_outcome::unused)
            own->cancel(key_of(request));
        else
            own->release(key_of(request), result);
        return;
    }
    wire::peer_message message;
    auto& body = *message.mutable_permit_release();
    body.set_request(request);
    body.set_shard(shard);
    body.set_result(static_cast<wire::outcome>(result.outcome));
    body.set_first_token_ms(static_cast<std::uint32_t>(result.first_token));
    body.set_output_tokens(result.output_tokens);
    body.set_failed_back_end(result.failed_back_end);
    send_to(owner, message);
}

void permit_manager::check_reply_timeouts()
{
    const auto now = deps_.time.now();
    std::vector<std::uint64_t> timed_out;
    for (const auto& [request, it] : waiting_)
    {
        if (it.retry_at)
            continue;
        const auto limit =
            it.queued ? options_.keep_alive_timeout : options_.reply_timeout;
        // If this node has claimed the shard since, the request still waits at
        // the former owner and is unknown to the local scheduler.
        const bool is_local = it.owner == options_.node &&
                              schedulers_.count(it.shard) != 0 &&
                              deps_.freshness.is_fresh(now);
        if (!is_local && now - it.heard_at > limit)
            timed_out.push_back(request);
    }
    for (const auto request : timed_out)
    {
        const auto found = waiting_.find(request);
        if (found == waiting_.end())
            continue;
        auto& it = found->second;
        selector_for(it.target).on_owner_timeout(it.shard, now);
        // The owner may have queued the request and must not grant it later.
        send_release(it.shard, it.owner, request,
                     {.outcome = permit_outcome::unused});
        try_next_shard(request);
    }
}

void permit_manager::handle_queued(const wire::peer_message& message)
{
    const auto found = waiting_.find(message.permit_queued().request());
    if (found == waiting_.end() || found->second.owner != message.from())
        return;
    found->second.queued = true;
    found->second.heard_at = deps_.time.now();
}

void permit_manager::handle_keep_alive(const wire::peer_message& message)
{
    for (const auto request : message.permit_keep_alive().requests())
    {
        const auto found = waiting_.find(request);
        if (found != waiting_.end() && found->second.owner == message.from())
            found->second.heard_at = deps_.time.now();
    }
}

void permit_manager::handle_grant(const wire::peer_message& message)
{
    const auto& body = message.permit_grant();
    const auto now = deps_.time.now();
    const auto found = waiting_.find(body.request());
    const bool is_current =
        found != waiting_.end() && found->second.owner == message.from() &&
        found->second.shard == body.shard() &&
        now - found->second.heard_at <= options_.grant_validity;
    if (!is_current)
    {
        // A duplicate of a grant in use is ignored; any other grant is
        // returned as unused.
        if (granted_.count(body.request()) == 0)
            send_release(body.shard(), message.from(), body.request(),
                         {.outcome = permit_outcome::unused});
        return;
    }
    auto& it = found->second;
    selector_for(it.target).on_free_slots(body.shard(), it.query.length_class,
                                          body.free_slots(), now);
    accept_grant(body.request(), body.shard(), to_shares(body));
}

void permit_manager::handle_refusal(const wire::peer_message& message)
{
    const auto& body = message.permit_refusal();
    const auto found = waiting_.find(body.request());
    if (found == waiting_.end() || found->second.owner != message.from())
        return;
    auto& it = found->second;
    selector_for(it.target).on_free_slots(body.shard(), it.query.length_class,
                                          body.free_slots(), deps_.time.now());
    const auto kind = body.error_kind() < error_kind_count
                          ? static_cast<error_kind>(body.error_kind())
                          : error_kind::overloaded;
    process_refusal(body.request(), body.shard(), kind);
}

void permit_manager::tick()
{
    for (const auto& it : schedulers_)
        tick_scheduler(*it.second);
    check_reply_timeouts();
    retry_due_requests(deps_.time.now());
    send_keep_alives();
}

bool permit_manager::has_waiting() const
{
    return !waiting_.empty() ||
           std::any_of(schedulers_.begin(), schedulers_.end(),
                       [](const auto& it) { return it.second->queued() > 0; });
}

void permit_manager::on_owner_changed(const std::string& shard)
{
    const auto selector = selectors_.find(service_of_shard(shard));
    const auto owner = owner_of(shard);
    if (selector != selectors_.end())
        selector->second.set_owner_known(shard, !owner.empty());

    wire::peer_message message;
    auto& body = *message.mutable_permit_register();
    body.set_shard(shard);
    auto* own = find_scheduler(shard);
    for (const auto& [request, it] : granted_)
    {
        if (it.shard != shard)
            continue;
        if (own != nullptr)
        {
            own->register_permit(key_of(request), it.shares, it.customer,
                                 it.deadline);
            continue;
        }
        auto& permit = *body.add_permits();
        permit.set_request(request);
        for (const auto& share : it.shares)
        {
            auto& entry = *permit.add_shares();
            entry.set_back_end(share.back_end);
            entry.set_tokens(share.tokens);
        }
    }
    if (body.permits_size() > 0)
        send_to(owner, message);
}

} // namespace galenapulley
