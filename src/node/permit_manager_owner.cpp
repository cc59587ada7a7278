// Shard owner's side of the permit manager: decides on permit requests for the
// shards that this node owns.
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

const std::vector<permit_manager::handler_entry>& permit_manager::handlers()
{
    using body = wire::peer_message;
    static const std::vector<handler_entry> table{
        {body::kPermitRequest, &permit_manager::handle_request},
        {body::kPermitQueued, &permit_manager::handle_queued},
        {body::kPermitGrant, &permit_manager::handle_grant},
        {body::kPermitRefusal, &permit_manager::handle_refusal},
        {body::kPermitRelease, &permit_manager::handle_release},
        {body::kPermitRegister, &permit_manager::handle_register},
        {body::kPermitKeepAlive, &permit_manager::handle_keep_alive},
        {body::kStrike, &permit_manager::handle_crash_reports},
    };
    return table;
}

void permit_manager::on_message(const wire::peer_message& message)
{
    for (const auto& it : handlers())
    {
        if (it.body == message.body_case())
        {
            (this->*it.handle)(message);
            return;
        }
    }
}

shard_scheduler* permit_manager::find_scheduler(const std::string& shard)
{
    const auto it = schedulers_.find(shard);
    return it == schedulers_.end() ? nullptr : it->second.get();
}

permit_decision permit_manager::decide(shard_scheduler& scheduler,
                                       const permit_query& query) const
{
    // An owner with a stale view may have missed a withdrawal and must not
    // grant permits.
    if (!deps_.freshness.is_fresh(deps_.time.now()))
        return {.key = query.key,
                .state = permit_state::refused,
                .refusal = error_kind::isolated};
    return scheduler.request(query);
}

void permit_manager::deliver(const shard_scheduler& scheduler,
                             const permit_decision& decision,
                             std::size_t length_class)
{
    const auto request = decision.key.request;
    const auto& shard = scheduler.shard();
    if (is_own(decision.key))
    {
        const auto found = waiting_.find(request);
        if (found == waiting_.end() || found->second.shard != shard)
            return;
        if (decision.state == permit_state::granted)
            accept_grant(request, shard, decision.shares);
        else if (decision.state == permit_state::refused)
            process_refusal(request, shard, decision.refusal);
        return;
    }
    wire::peer_message message;
    if (decision.state == permit_state::queued)
        message.mutable_permit_queued()->set_request(request);
    else if (decision.state == permit_state::refused)
    {
        auto& body = *message.mutable_permit_refusal();
        body.set_request(request);
        body.set_shard(shard);
        body.set_error_kind(static_cast<std::uint32_t>(decision.refusal));
        body.set_retry_after_ms(
            static_cast<std::uint32_t>(decision.retry_after));
        body.set_free_slots(scheduler.free_slots(length_class));
    }
    else
    {
        auto& body = *message.mutable_permit_grant();
        body.set_request(request);
        body.set_shard(shard);
        body.set_epoch(scheduler.epoch());
        body.set_free_slots(scheduler.free_slots(length_class));
        for (const auto& it : decision.shares)
        {
            auto& share = *body.add_shares();
            share.set_back_end(it.back_end);
            share.set_tokens(it.tokens);
        }
    }
    send_to(decision.key.node, message);
}

void permit_manager::handle_request(const wire::peer_message& message)
{
    const auto& body = message.permit_request();
    permit_query query;
    query.key = {.node = message.from(),
                 .incarnation = message.incarnation(),
                 .request = body.request()};
    auto* scheduler = find_scheduler(body.shard());
    if (scheduler == nullptr)
    {
        wire::peer_message reply;
        auto& refusal = *reply.mutable_permit_refusal();
        refusal.set_request(body.request());
        refusal.set_shard(body.shard());
        refusal.set_error_kind(
            static_cast<std::uint32_t>(error_kind::node_leaving));
        send_to(message.from(), reply);
        return;
    }
    query.customer = body.customer();
    query.length_class = body.length_class();
    query.prompt_tokens = body.prompt_tokens();
    query.output_tokens = body.output_tokens();
    query.deadline = deps_.time.now() + body.time_left_ms();
    query.fingerprint = body.fingerprint();
    query.prefix = body.prefix();
    query.excluded.assign(body.excluded().begin(), body.excluded().end());
    query.is_retry = body.is_retry();
    deliver(*scheduler, decide(*scheduler, query), query.length_class);
}

void permit_manager::handle_release(const wire::peer_message& message)
{
    const auto& body = message.permit_release();
    auto* scheduler = find_scheduler(body.shard());
    if (scheduler == nullptr)
        return;
    const permit_key key{.node = message.from(),
                         .incarnation = message.incarnation(),
                         .request = body.request()};
    if (body.result() == wire::outcome::unused)
        scheduler->cancel(key);
    else
        scheduler->release(
            key, {.outcome = static_cast<permit_outcome>(body.result()),
                  .first_token = body.first_token_ms(),
                  .output_tokens = body.output_tokens(),
                  .failed_back_end = body.failed_back_end()});
    tick_scheduler(*scheduler);
}

void permit_manager::handle_register(const wire::peer_message& message)
{
    const auto& body = message.permit_register();
    auto* scheduler = find_scheduler(body.shard());
    if (scheduler == nullptr)
        return;
    for (const auto& permit : body.permits())
    {
        std::vector<permit_share> shares;
        for (const auto& it : permit.shares())
            shares.push_back(
                {.back_end = it.back_end(), .tokens = it.tokens()});
        scheduler->register_permit({.node = message.from(),
                                    .incarnation = message.incarnation(),
                                    .request = permit.request()},
                                   shares);
    }
}

void permit_manager::handle_crash_reports(const wire::peer_message& message)
{
    const auto now = deps_.time.now();
    for (const auto& it : message.strike().strikes())
        deps_.crashes.add(
            {.fingerprint = it.fingerprint(),
             .crash_id = it.crash_id(),
             .at = now - std::clamp<msec>(it.age_ms(), 0,
                                          crash_registry::quarantine_time)},
            now);
}

void permit_manager::report_crash(const std::string& service_name,
                                  const crash_report& report)
{
    const auto now = deps_.time.now();
    deps_.crashes.add(report, now);
    const auto target = deps_.registry.find_service(service_name);
    if (!target)
        return;
    wire::peer_message message;
    auto& entry = *message.mutable_strike()->add_strikes();
    entry.set_fingerprint(report.fingerprint);
    entry.set_crash_id(report.crash_id);
    entry.set_age_ms(now - report.at);
    std::set<std::string> owners;
    for (const auto& shard : target->shards())
        owners.insert(owner_of(shard));
    owners.erase(options_.node);
    for (const auto& owner : owners)
        send_to(owner, message);
}

void permit_manager::tick_scheduler(shard_scheduler& scheduler)
{
    // Granting queued requests is new work as well. No keep-alives are sent
    // meanwhile, so the requesting nodes turn to other owners.
    if (!deps_.freshness.is_fresh(deps_.time.now()))
        return;
    for (const auto& it : scheduler.tick())
        deliver(scheduler, it, 0);
}

void permit_manager::send_keep_alives()
{
    const auto now = deps_.time.now();
    if (now < next_keep_alive_ || !deps_.freshness.is_fresh(now))
        return;
    next_keep_alive_ = now + options_.keep_alive_period;
    for (const auto& it : schedulers_)
        for (const auto& queue : it.second->queued_by_node())
        {
            if (queue.node == options_.node)
                continue;
            wire::peer_message message;
            auto& body = *message.mutable_permit_keep_alive();
            for (const auto request : queue.requests)
                body.add_requests(request);
            send_to(queue.node, message);
        }
}

void permit_manager::configure(shard_scheduler& scheduler)
{
    const auto target =
        deps_.registry.find_service(service_of_shard(scheduler.shard()));
    if (target)
        scheduler.set_service(*target);
    scheduler.set_fleet(*deps_.registry.current_fleet(), leaving_machines_);
}

void permit_manager::on_services_changed()
{
    for (const auto& it : schedulers_)
        configure(*it.second);
    for (auto it = selectors_.begin(); it != selectors_.end();)
    {
        const auto target = deps_.registry.find_service(it->first);
        if (!target)
        {
            it = selectors_.erase(it);
            continue;
        }
        it->second.set_service(*target);
        it->second.set_fleet(*deps_.registry.current_fleet());
        for (const auto& shard : target->shards())
            it->second.set_owner_known(shard, !owner_of(shard).empty());
        ++it;
    }
}

void permit_manager::on_fleet_changed(
    const std::set<std::string>& leaving_machines)
{
    leaving_machines_ = leaving_machines;
    const auto current = deps_.registry.current_fleet();
    for (const auto& it : schedulers_)
        it.second->set_fleet(*current, leaving_machines_);
    for (auto& it : selectors_)
        it.second.set_fleet(*current);
}

void permit_manager::on_shard_gained(const owned_shard& shard)
{
    auto scheduler =
        std::make_unique<shard_scheduler>(shard.shard, deps_.time, random_);
    scheduler->set_crash_registry(&deps_.crashes);
    configure(*scheduler);
    scheduler->start_epoch(shard.epoch);
    scheduler->set_allowance(shard.lapsed_owners, shard.held);
    schedulers_[shard.shard] = std::move(scheduler);
    on_owner_changed(shard.shard);
}

void permit_manager::on_shard_lost(const std::string& shard)
{
    auto entry = schedulers_.extract(shard);
    if (entry.empty())
        return;
    // The requesting nodes retry queued requests at other shards.
    for (const auto& queue : entry.mapped()->queued_by_node())
        for (const auto request : queue.requests)
            deliver(*entry.mapped(),
                    {.key = {.node = queue.node,
                             .incarnation = queue.incarnation,
                             .request = request},
                     .state = permit_state::refused,
                     .refusal = error_kind::node_leaving},
                    0);
}

void permit_manager::on_allowance_changed(const std::string& shard)
{
    const auto owned = deps_.claims.find_owned(shard);
    auto* scheduler = find_scheduler(shard);
    if (owned && scheduler != nullptr)
        scheduler->set_allowance(owned->lapsed_owners, owned->held);
}

void permit_manager::on_node_restarted(const std::string& node,
                                       std::int64_t incarnation)
{
    for (const auto& it : schedulers_)
        it.second->drop_node(node, incarnation);
}

} // namespace galenapulley
