#include "gateway/gateway.hpp"

#include "galenapulley/crash_registry.hpp"
#include "gateway/quarantine_message.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

// Membership, the serving set and messages of other nodes.

namespace galenapulley
{

namespace
{

/// Pause before the store is asked for other nodes, or for this node's
/// registration, again.
constexpr msec store_retry = 1000;

} // namespace

void gateway::gossip()
{
    for (auto& it : members_.tick(loop_.now()))
    {
        wire::peer_message message;
        *message.mutable_gossip() = std::move(*it.message);
        peers_.send(it.peer_address, std::move(message));
    }
}

void gateway::add_gossip_payload(wire::gossip& message)
{
    view_.add_versions(message);
    const auto reports = dispatcher_.known_prompts();
    if (!reports.crashes.empty())
        *message.mutable_prompts() = write_reports(reports, loop_.now());
}

void gateway::update_members()
{
    const auto now = loop_.now();
    const auto live = members_.live_members(now);
    update_live(live);
    update_domain_nodes(live);
    update_serving_set(live);
    dispatcher_.set_nodes(live_.size(), members_.known_peers());
    dispatcher_.drop_missing(view_.store_reached(),
                             view_.authoritative_since());
    if (view_.is_relay() && !std::exchange(registered_, true))
        register_address();
}

void gateway::update_live(const std::vector<const member*>& members)
{
    std::map<std::string, std::int64_t> live;
    for (const auto* const it : members)
        live[it->node] = it->incarnation;
    for (const auto& [node, incarnation] : live_)
    {
        const auto it = live.find(node);
        if (it != live.end() && it->second == incarnation)
            continue;
        log_.write(log_event::peer_lost, {{"peer", std::string_view(node)},
                                          {"incarnation", incarnation}});
        // A leaving node still has requests and announces their end itself.
        const auto* const known = members_.find(node);
        if (known == nullptr || !known->leaving ||
            known->incarnation != incarnation)
            dispatcher_.on_node_lost(node);
    }
    for (const auto& [node, it] : members_.members())
        if (it.leaving && members_.is_suspected(it, loop_.now()))
            dispatcher_.on_node_lost(node);
    for (const auto& [node, incarnation] : live)
        if (!live_.contains(node) || live_.at(node) != incarnation)
            log_.write(log_event::peer_gained,
                       {{"peer", std::string_view(node)},
                        {"incarnation", incarnation}});
    live_ = std::move(live);
}

void gateway::update_domain_nodes(const std::vector<const member*>& members)
{
    std::vector<domain_node> nodes;
    for (const auto* const it : members)
        if (it->zone == settings_.failure_domain)
            nodes.push_back(
                {.rank = {.node = it->node, .capacity = it->capacity},
                 .peer_address = it->peer_address});
    view_.set_domain_nodes(std::move(nodes));
}

void gateway::update_serving_set(const std::vector<const member*>& members)
{
    const auto rate = dispatcher_.request_rate();
    members_.set_request_rate(rate);
    std::vector<serving_candidate> candidates;
    candidates.reserve(members.size() + 1);
    for (const auto* const it : members)
        candidates.push_back(
            {.rank = {.node = it->node, .capacity = it->capacity},
             .failure_domain = it->zone,
             .request_rate = it->request_rate});
    if (stop_began_ == 0)
        candidates.push_back({.rank = own_rank(),
                              .failure_domain = settings_.failure_domain,
                              .request_rate = rate});
    if (serving_set_.update(candidates))
    {
        log_serving_set();
        metrics_.set_serving_set(serving_set_.members());
    }
    // A node may return under its name at another address.
    std::set<std::string> core;
    std::map<std::string, std::string> peers;
    std::map<std::string, peer_gateway> gateways;
    for (const auto& [node, reason] : serving_set_.members())
    {
        core.insert(node);
        const auto* const it = members_.find(node);
        if (it == nullptr)
            continue;
        peers.emplace(node, it->peer_address);
        if (!it->listen_address.empty())
            gateways.emplace(node, peer_gateway{.address = it->listen_address,
                                                .capacity = it->capacity});
    }
    dispatcher_.set_peers(std::move(gateways));
    announcer_.set_serving(std::move(peers));
    members_.set_core(serving_set_.has_standbys() ? std::move(core)
                                                  : std::set<std::string>(),
                      loop_.now());
}

void gateway::log_serving_set()
{
    std::string nodes;
    for (const auto& [node, reason] : serving_set_.members())
        nodes += (nodes.empty() ? "" : ",") + node;
    const auto own = serving_set_.members().find(settings_.node);
    const bool serves = own != serving_set_.members().end();
    log_.write(log_event::serving_set,
               {{"nodes", std::string_view(nodes)},
                {"live", static_cast<std::int64_t>(members_.known_peers())},
                {"request_rate", serving_set_.request_rate()},
                {"own_part", serves ? name_of(own->second) : "standby"}});
}

ranked_node gateway::own_rank() const
{
    return {.node = settings_.node, .capacity = capacity_of(settings_)};
}

std::vector<listed_node> gateway::listed_nodes() const
{
    std::vector<listed_node> out;
    for (const auto& [node, reason] : serving_set_.members())
    {
        const auto* const it = members_.find(node);
        if (it != nullptr && !it->listen_address.empty() &&
            members_.is_fresh(*it, loop_.now()))
            out.push_back({.node = node,
                           .zone = it->zone,
                           .address = it->listen_address,
                           .capacity = it->capacity});
    }
    // A standby is listed only if it knows no node of the serving set.
    if (serving_ && (serving_set_.contains(settings_.node) || out.empty()))
        out.push_back({.node = settings_.node,
                       .zone = settings_.failure_domain,
                       .address = settings_.traffic,
                       .capacity = own_rank().capacity});
    return out;
}

void gateway::join_cluster()
{
    if (members_.known_peers() > 0)
        return;
    store_->read_nodes(
        [this](const absl::StatusOr<std::vector<std::string>>& addresses)
        {
            if (addresses.ok())
                for (const auto& it : *addresses)
                    if (it != settings_.peer)
                        members_.add_seed(it);
            loop_.call_after(store_retry, [this] { join_cluster(); });
        });
}

void gateway::register_address()
{
    store_->write_node(settings_.node, settings_.peer,
                       [this](const absl::Status& status)
                       {
                           if (!status.ok() && stop_began_ == 0)
                               loop_.call_after(store_retry,
                                                [this] { register_address(); });
                       });
}

void gateway::on_store_restored()
{
    dispatcher_.on_store_restored();
    // The backup may lack this node.
    if (registered_)
        register_address();
}

void gateway::receive(const wire::peer_message& message)
{
    if (message.from() == settings_.node)
        return;
    const auto now = loop_.now();
    switch (message.body_case())
    {
    case wire::peer_message::kGossip:
    {
        auto reply = members_.on_gossip(message.from(), message.gossip(), now);
        const auto* const sender = members_.find(message.from());
        if (sender == nullptr)
            return;
        view_.on_gossip(
            {.node = sender->node, .peer_address = sender->peer_address},
            message.gossip());
        if (message.gossip().has_prompts())
            dispatcher_.on_prompt_reports(
                read_reports(message.gossip().prompts(), now));
        if (reply == nullptr)
            return;
        wire::peer_message response;
        *response.mutable_gossip() = std::move(*reply);
        peers_.send(sender->peer_address, std::move(response));
        return;
    }
    case wire::peer_message::kWorkUpdate:
        if (const auto* const sender = members_.find(message.from()))
            announcer_.on_update_from(sender->node, sender->peer_address, now);
        dispatcher_.on_update(message.from(), message.work_update());
        return;
    case wire::peer_message::kStrike:
        for (const auto& it : message.strike().strikes())
            dispatcher_.on_crash_report({.fingerprint = it.fingerprint(),
                                         .crash_id = it.crash_id(),
                                         .at = now - it.age_ms()});
        return;
    case wire::peer_message::kPrompts:
        dispatcher_.on_prompt_reports(read_reports(message.prompts(), now));
        return;
    case wire::peer_message::kRowsPull:
        if (const auto* const sender = members_.find(message.from()))
            view_.on_pull(sender->peer_address, message.rows_pull());
        return;
    case wire::peer_message::kRowsPush:
        view_.on_push(message.from(), message.rows_push());
        return;
    case wire::peer_message::kRowsRelay:
        view_.on_relay(message.from(), message.rows_relay());
        return;
    default:
        // The other messages are used only between processes of the `node`
        // command, which serves the project's own interface.
        return;
    }
}

void gateway::send_to_live(const wire::peer_message& message)
{
    for (const auto* const it : members_.live_members(loop_.now()))
        peers_.send(it->peer_address, message);
}

} // namespace galenapulley
