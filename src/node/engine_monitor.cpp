#include "node/engine_monitor.hpp"

#include "galenapulley/config_registry.hpp"
#include "galenapulley/load_report.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/node_lease.hpp"
#include "galenapulley/peer_link.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/shard_claims.hpp"
#include "galenapulley/table_service.hpp"
#include "node/control_loop.hpp"
#include "node/held_reservations.hpp"
#include "node/http_client.hpp"
#include "node/permit_manager.hpp"
#include "node/reservation_list.hpp"
#include "peer.pb.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <utility>

namespace galenapulley
{

namespace
{

using nlohmann::json;

std::optional<load_report> parse_load(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    try
    {
        load_report report;
        report.incarnation = body.value("incarnation", std::int64_t{0});
        report.cold = body.value("cold", false);
        report.running = body.value("running", 0U);
        report.waiting = body.value("waiting", 0U);
        report.kv_used = body.value("kv_used", 0U);
        report.kv_capacity = body.value("kv_capacity", 0U);
        report.prefill_backlog = body.value("prefill_backlog", 0U);
        report.age = body.value("age_ms", msec{0});
        return report;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace

engine_monitor::engine_monitor(engine_monitor_options options,
                               dependencies deps)
    : options_(std::move(options)), deps_(deps), sweeper_(options_.lease_ttl)
{
}

void engine_monitor::tick()
{
    const auto now = deps_.loop.now();
    std::set<std::string> current;
    for (const auto& owned : deps_.claims.owned())
    {
        const auto target =
            deps_.registry.find_service(service_of_shard(owned.shard));
        if (!target || target->kind != service_kind::model)
            continue;
        for (const auto& it : target->back_ends)
        {
            if (target->shard_of(it) != owned.shard)
                continue;
            current.insert(it.name);
            auto& state = engines_[it.name];
            state.address = it.address;
            if (!state.polling && now >= state.next_poll)
                poll(owned.shard, it);
            if (!state.sweeping && now >= state.next_sweep)
                sweep(it);
        }
    }
    for (auto it = engines_.begin(); it != engines_.end();)
    {
        if (current.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        sweeper_.remove_engine(it->first);
        it = engines_.erase(it);
    }
}

void engine_monitor::poll(const std::string& shard, const back_end& target)
{
    auto& state = engines_[target.name];
    state.polling = true;
    state.next_poll = deps_.loop.now() + options_.poll_period;
    http_call call;
    call.url = "http://" + target.address + "/load";
    call.connect_timeout = options_.call_timeout;
    call.timeout = options_.call_timeout;
    deps_.engines.start(std::move(call),
                        [this, shard, name = target.name](http_result result)
                        {
                            deps_.loop.post(
                                [this, shard, name, result = std::move(result)]
                                { on_load_response(shard, name, result); });
                        });
}

void engine_monitor::on_load_response(const std::string& shard,
                                      const std::string& name,
                                      const http_result& result)
{
    const auto it = engines_.find(name);
    if (it != engines_.end())
        it->second.polling = false;
    auto* scheduler = deps_.permits.find_scheduler(shard);
    if (scheduler == nullptr)
        return;
    if (result.error != transfer_error::none)
    {
        scheduler->on_back_end_unreachable(name);
        return;
    }
    if (const auto report = parse_load(result.body))
        scheduler->on_load_report(name, *report);
}

void engine_monitor::sweep(const back_end& target)
{
    auto& state = engines_[target.name];
    state.sweeping = true;
    state.next_sweep = deps_.loop.now() + options_.sweep_period;
    http_call call;
    call.url = "http://" + target.address + "/kv/reservations";
    call.timeout = options_.call_timeout;
    deps_.engines.start(std::move(call),
                        [this, name = target.name](http_result result)
                        {
                            deps_.loop.post(
                                [this, name, result = std::move(result)]
                                { on_reservation_list(name, result); });
                        });
}

void engine_monitor::on_reservation_list(const std::string& name,
                                         const http_result& result)
{
    const auto it = engines_.find(name);
    if (it == engines_.end())
        return;
    it->second.sweeping = false;
    if (result.error != transfer_error::none || result.status != 200)
        return;
    if (const auto list = parse_reservations(result.body))
        perform(sweeper_.sweep(name, *list, deps_.loop.now()));
}

void engine_monitor::perform(const sweep_actions& actions)
{
    for (const auto& it : actions.queries)
        query_holder(it);
    for (const auto& it : actions.releases)
        release(it);
    for (const auto& it : actions.lease_reads)
        read_lease(it);
}

void engine_monitor::query_holder(const holder_query& query)
{
    if (query.node == options_.node)
    {
        std::vector<std::string> not_held;
        for (const auto& it : query.reservations)
            if (!deps_.held.contains(it))
                not_held.push_back(it);
        perform(sweeper_.on_holder_answer(
            query.id,
            {.node = options_.node, .incarnation = options_.incarnation},
            not_held, deps_.loop.now()));
        return;
    }
    const auto* holder = deps_.members.find(query.node);
    if (holder == nullptr)
        return;
    wire::peer_message message;
    auto& body = *message.mutable_holder_query();
    body.set_query(query.id);
    for (const auto& it : query.reservations)
        body.add_reservations(it);
    deps_.peers.send(holder->peer_address, message);
}

void engine_monitor::release(const reservation_release& item)
{
    const auto it = engines_.find(item.engine);
    if (it == engines_.end())
        return;
    ++swept_;
    http_call call;
    call.method = "POST";
    call.url = "http://" + it->second.address + "/kv/release";
    call.body = json{{"id", item.id}}.dump();
    call.timeout = options_.call_timeout;
    // If the release fails, the next sweep finds the reservation again.
    deps_.engines.start(std::move(call), [](const http_result&) {});
}

void engine_monitor::read_lease(const std::string& node)
{
    deps_.table.read(
        lease_key(node), options_.call_timeout,
        [this, node](const absl::StatusOr<table_row>& row)
        {
            if (!row.ok())
                return;
            const auto record = parse_lease(row->value);
            sweeper_.on_lease_read(
                {.node = node, .incarnation = record ? record->incarnation : 0},
                record ? record->renewal : -1, deps_.loop.now());
        });
}

void engine_monitor::on_message(const wire::peer_message& message)
{
    if (message.has_holder_query())
        reply_to_holder_query(message);
    if (!message.has_holder_answer())
        return;
    const auto& body = message.holder_answer();
    perform(sweeper_.on_holder_answer(
        body.query(),
        {.node = message.from(), .incarnation = message.incarnation()},
        {body.not_held().begin(), body.not_held().end()}, deps_.loop.now()));
}

void engine_monitor::reply_to_holder_query(const wire::peer_message& message)
{
    const auto* sender = deps_.members.find(message.from());
    if (sender == nullptr)
        return;
    wire::peer_message reply;
    auto& body = *reply.mutable_holder_answer();
    body.set_query(message.holder_query().query());
    for (const auto& it : message.holder_query().reservations())
    {
        if (deps_.held.contains(it))
            body.add_held(it);
        else
            body.add_not_held(it);
    }
    deps_.peers.send(sender->peer_address, reply);
}

void engine_monitor::on_node_alive(const std::string& node,
                                   std::int64_t incarnation)
{
    sweeper_.on_node_alive({.node = node, .incarnation = incarnation},
                           deps_.loop.now());
}

} // namespace galenapulley
