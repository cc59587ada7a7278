#include "node/config_manager.hpp"

#include "galenapulley/config_change.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/config_sync.hpp"
#include "galenapulley/config_writer.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/peer_link.hpp"
#include "peer.pb.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace galenapulley
{

config_manager::config_manager(std::string zone, dependencies deps)
    : zone_(std::move(zone)), deps_(deps)
{
}

void config_manager::execute(const std::shared_ptr<const config_change>& change,
                             const std::string& change_id, done_callback done)
{
    deps_.writer.execute(
        change, change_id,
        [this, change,
         done = std::move(done)](const absl::StatusOr<config_document>& result)
        {
            if (result.ok())
                spdlog::info("{} {}: version {} committed", change->name(),
                             change->subject(), result->version);
            else
                deps_.counts.count(state_change::config_rejected);
            on_committed(result, done);
        });
}

void config_manager::on_committed(const absl::StatusOr<config_document>& result,
                                  const done_callback& done)
{
    if (!result.ok())
    {
        done(result.status());
        return;
    }
    const auto now = deps_.time.now();
    // The store has the document even if it can't be applied here. config_sync
    // reads it again and reports the error.
    deps_.registry.apply(*result).IgnoreError();
    deps_.sync.read_soon();
    pending_change change{.document = *result,
                          .holders = {},
                          .deadline = now + ack_timeout,
                          .next_push_at = now + push_period,
                          .done = done};
    push(change);
    pending_.push_back(std::move(change));
    tick();
}

void config_manager::push(const pending_change& change)
{
    wire::peer_message message;
    *message.mutable_config_push() = deps_.sync.make_push({change.document});
    std::size_t n = 0;
    for (const auto& it : deps_.members.members())
    {
        if (change.holders.count(it.first) != 0)
            continue;
        if (++n > max_direct_pushes)
            break;
        deps_.peers.send(it.second.peer_address, message);
    }
}

bool config_manager::has_enough_holders(const pending_change& change) const
{
    const auto live = deps_.members.live_members(deps_.time.now());
    const bool has_other_zone =
        std::any_of(live.begin(), live.end(),
                    [this](const member* it) { return it->zone != zone_; });
    bool held_elsewhere = false;
    for (const auto& node : change.holders)
    {
        const auto* it = deps_.members.find(node);
        held_elsewhere |= it != nullptr && it->zone != zone_;
    }
    return change.holders.size() >= std::min(min_holders, live.size()) &&
           (held_elsewhere || !has_other_zone);
}

void config_manager::tick()
{
    const auto now = deps_.time.now();
    std::vector<pending_change> finished;
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        if (has_enough_holders(*it) || now >= it->deadline)
        {
            finished.push_back(std::move(*it));
            it = pending_.erase(it);
            continue;
        }
        if (now >= it->next_push_at)
        {
            it->next_push_at = now + push_period;
            push(*it);
        }
        ++it;
    }
    for (const auto& it : finished)
    {
        deps_.counts.count(state_change::config_accepted);
        it.done(change_outcome{.document = it.document,
                               .holders = it.holders.size(),
                               .accepted = has_enough_holders(it)});
    }
    if (deps_.sync.wants_snapshots() && now >= next_snapshot_request_)
    {
        next_snapshot_request_ = now + push_period;
        wire::peer_message message;
        *message.mutable_config_pull() = deps_.sync.make_pull();
        for (const auto* it : deps_.members.live_members(now))
            deps_.peers.send(it->peer_address, message);
    }
}

void config_manager::add_holder(const std::string& node,
                                const std::string& name, std::int64_t version)
{
    for (auto& it : pending_)
        if (it.document.name == name && version >= it.document.version)
            it.holders.insert(node);
}

void config_manager::send_to(const std::string& node,
                             const wire::peer_message& message)
{
    if (const auto* it = deps_.members.find(node))
        deps_.peers.send(it->peer_address, message);
}

void config_manager::on_message(const wire::peer_message& message, bool settled)
{
    wire::peer_message reply;
    switch (message.body_case())
    {
    case wire::peer_message::kConfigPush:
        *reply.mutable_config_ack() = deps_.sync.on_push(message.config_push());
        send_to(message.from(), reply);
        break;
    case wire::peer_message::kConfigAck:
        for (const auto& it : message.config_ack().documents())
            add_holder(message.from(), it.name(), it.version());
        tick();
        break;
    case wire::peer_message::kConfigPull:
        *reply.mutable_config_snapshot() =
            deps_.sync.on_pull(message.config_pull(), settled);
        send_to(message.from(), reply);
        break;
    case wire::peer_message::kConfigSnapshot:
        deps_.sync.on_snapshot(message.from(), message.config_snapshot());
        break;
    default:
        break;
    }
}

void config_manager::on_peer_config(const std::string& from, std::int64_t head,
                                    std::uint64_t digest)
{
    if (auto pull = deps_.sync.on_gossip(head, digest))
    {
        wire::peer_message message;
        *message.mutable_config_pull() = std::move(*pull);
        send_to(from, message);
    }
}

} // namespace galenapulley
