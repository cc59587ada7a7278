// Client requests, status and metrics of the node.
#include "node/node.hpp"

#include "galenapulley/fleet.hpp"
#include "galenapulley/service.hpp"
#include "node/completion_request.hpp"
#include "node/completion_session.hpp"
#include "node/http_responses.hpp"
#include "node/plain_session.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace galenapulley
{

using nlohmann::json;

namespace
{

/// Longest delay that the tick adds to permit grants and to batches of the
/// action ledger. While nothing waits for these, the slower control tick serves
/// them: 100 wake-ups per second took most of the CPU time of an idle node.
constexpr msec fast_period = 10_ms;
constexpr std::size_t max_listed_nodes = 8;
/// How long clients may cache the response of GET /v1/nodes.
constexpr msec nodes_valid = 10'000_ms;

} // namespace

void node::run_fast_tick()
{
    permits_.tick();
    ledger_.tick();
    if (needs_fast_tick())
        wake_fast_tick();
    else if (fast_timer_ != 0)
        loop_.cancel(std::exchange(fast_timer_, 0));
}

void node::wake_fast_tick()
{
    if (fast_timer_ == 0)
        fast_timer_ =
            loop_.call_every(fast_period, [this] { run_fast_tick(); });
}

bool node::needs_fast_tick() const
{
    return sessions() > 0 || permits_.has_waiting() || ledger_.next_due();
}

bool node::refuse_if_unavailable(const std::shared_ptr<http_exchange>& exchange)
{
    const auto now = clock_.now();
    std::optional<error_kind> kind;
    std::string message;
    if (stopping_ && now - stop_began_ > settings_.drain)
    {
        kind = error_kind::node_leaving;
        message = "this node is stopping; use another one";
    }
    else if (!sync_.has_baseline())
    {
        kind = error_kind::no_baseline;
        message = "this node has not loaded the configuration documents yet";
    }
    if (!kind)
        return false;
    counters_.count(*kind);
    auto response = make_error_response(make_error(*kind, message));
    std::string others;
    for (const auto& it : members_.list_nodes(max_listed_nodes, now))
        if (it.node != settings_.node)
            others += (others.empty() ? "" : ",") + it.address;
    response.headers["x-other-nodes"] = others;
    exchange->respond(std::move(response));
    return true;
}

void node::begin_completion(completion_request request,
                            const std::shared_ptr<http_exchange>& exchange)
{
    if (refuse_if_unavailable(exchange))
        return;
    const auto number = ++last_session_number_;
    auto session = std::make_shared<completion_session>(
        session_context_, number, std::move(request), exchange,
        [this, number] { completion_sessions_.erase(number); });
    completion_sessions_.emplace(number, session);
    wake_fast_tick();
    session->start();
}

void node::begin_plain_request(const std::string& service_name,
                               const std::string& path, http_request request,
                               const std::shared_ptr<http_exchange>& exchange)
{
    if (refuse_if_unavailable(exchange))
        return;
    const auto number = ++last_session_number_;
    auto session = std::make_shared<plain_session>(
        session_context_, number, service_name, path, std::move(request),
        exchange, [this, number] { plain_sessions_.erase(number); });
    plain_sessions_.emplace(number, session);
    wake_fast_tick();
    session->start();
}

void node::handle_other(const http_request& request,
                        const std::shared_ptr<http_exchange>& exchange)
{
    if (request.path == "/v1/nodes")
        exchange->respond(make_json_response(nodes_json()));
    else if (request.path == "/metrics")
        exchange->respond({.content_type = "text/plain; version=0.0.4",
                           .body = metrics_text()});
    else if (request.path.compare(0, 7, "/admin/") == 0)
        admin_.handle(request, exchange);
    else
    {
        counters_.count(error_kind::unknown_route);
        exchange->respond(make_error_response(
            make_error(error_kind::unknown_route,
                       "no route " + request.method + " " + request.path)));
    }
}

std::string node::nodes_json()
{
    json list = json::array();
    for (const auto& it : members_.list_nodes(max_listed_nodes, clock_.now()))
        list.push_back({{"address", it.address}, {"zone", it.zone}});
    return json{{"nodes", list}, {"valid_ms", nodes_valid}}.dump();
}

std::string node::status_json()
{
    const auto now = clock_.now();
    json shards = json::array();
    json back_ends = json::array();
    for (const auto& it : claims_.owned())
    {
        const auto* scheduler = permits_.find_scheduler(it.shard);
        json entry{{"shard", it.shard},
                   {"epoch", it.epoch},
                   {"lapsed_owners", it.lapsed_owners},
                   {"lease_held", it.held}};
        if (scheduler != nullptr)
        {
            entry["running"] = scheduler->running();
            entry["queued"] = scheduler->queued();
            entry["free_slots"] = scheduler->free_slots_by_class();
        }
        shards.push_back(std::move(entry));
        const auto target = registry_.find_service(service_of_shard(it.shard));
        if (!target || scheduler == nullptr)
            continue;
        for (const auto& back : target->back_ends)
        {
            const auto* load = scheduler->find_load(back.name);
            if (load == nullptr)
                continue;
            back_ends.push_back({{"back_end", back.name},
                                 {"service", target->name},
                                 {"zone", back.zone},
                                 {"permits", load->permits()},
                                 {"limit", load->ramp().limit(now)},
                                 {"warm", load->ramp().is_warm(now)},
                                 {"admitted", load->admitted},
                                 {"reachable", !load->is_unreachable(now)}});
        }
    }
    json nodes = json::array();
    for (const auto& it : members_.members())
        nodes.push_back({{"node", it.first},
                         {"zone", it.second.zone},
                         {"address", it.second.listen_address},
                         {"leaving", it.second.leaving},
                         {"suspected", members_.is_suspected(it.second, now)}});
    json refusals = json::object();
    for (int n = 0; n < error_kind_count; ++n)
    {
        const auto kind = static_cast<error_kind>(n);
        if (counters_.value(kind) > 0)
            refusals[std::string(name_of(kind))] = counters_.value(kind);
    }
    const auto current = registry_.current_fleet();
    return json{{"node", settings_.node},
                {"zone", settings_.zone},
                {"incarnation", incarnation_},
                {"leaving", stopping_},
                {"baseline", sync_.has_baseline()},
                {"fresh", freshness_.is_fresh(now)},
                {"store_reachable", sync_.store_reachable()},
                {"lease_held", lease_.held(now)},
                {"config_head", sync_.head()},
                {"requests", sessions()},
                {"withdrawn_zones", current->withdrawn_zones},
                {"withdrawn_machines", current->withdrawn_machines},
                {"shards", shards},
                {"back_ends", back_ends},
                {"nodes", nodes},
                {"refusals", refusals}}
        .dump();
}

std::string node::metrics_text()
{
    const auto gauge = [](const char* name, const char* help, auto value)
    {
        const std::string full = std::string("galenapulley_") + name;
        return "# HELP " + full + " " + help + "\n# TYPE " + full + " gauge\n" +
               full + " " + std::to_string(value) + "\n";
    };
    const auto& traffic = peers_.traffic();
    return counters_.expose() + latency_.expose() +
           gauge("requests", "Requests in progress.", sessions()) +
           gauge("permits_waiting", "Permit requests waiting.",
                 permits_.waiting()) +
           gauge("reservations_held", "KV reservations held.", held_.size()) +
           gauge("reservations_swept", "Abandoned reservations released.",
                 monitor_.swept()) +
           gauge("view_fresh", "1 if new work may be given out.",
                 freshness_.is_fresh(clock_.now()) ? 1 : 0) +
           gauge("peer_messages_sent", "Peer messages sent.",
                 traffic.messages_sent) +
           gauge("peer_bytes_sent", "Bytes of peer messages sent.",
                 traffic.bytes_sent) +
           gauge("peer_messages_received", "Peer messages received.",
                 traffic.messages_received) +
           gauge("peer_bytes_received", "Bytes of peer messages received.",
                 traffic.bytes_received);
}

} // namespace galenapulley
