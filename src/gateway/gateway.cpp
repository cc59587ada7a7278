#include "gateway/gateway.hpp"

#include "galenapulley/crash_registry.hpp"
#include "peer.pb.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec gossip_period = 500;
/// Time without a heartbeat after which a node is no longer listed to clients.
constexpr msec suspect_after = 3000;
/// Entries per gossip message. Heartbeats have to reach the whole fleet within
/// suspect_after, and clients must not be sent to a node that ended 7 s ago;
/// 128 entries keep suspect_after at 3 s for up to 575 nodes.
constexpr std::size_t gossip_entries = 128;
constexpr msec members_period = 250;
constexpr msec tick_period = 20;
constexpr msec flush_period = 200;
constexpr msec announce_all_period = 2000;
constexpr msec settings_check_period = 2000;
constexpr msec join_retry = 1000;
constexpr msec stop_check_period = 50;
/// Share of the stop's grace period in which new requests are still served.
constexpr double serving_share = 0.37;
/// Share of the grace period for which an idle node still runs, as clients may
/// still send requests to it.
constexpr double linger_share = 0.62;
/// The process ends by itself this long before the grace period is over.
constexpr msec stop_margin = 400;
/// Request bodies may use one part in this many of the memory limit.
constexpr std::size_t body_memory_divisor = 4;

msec modified_at(const std::string& path)
{
    struct stat info
    {
    };
    if (::stat(path.c_str(), &info) != 0)
        return 0;
    return static_cast<msec>(info.st_mtim.tv_sec) * 1000 +
           info.st_mtim.tv_nsec / 1'000'000;
}

} // namespace

gateway::gateway(gateway_settings settings, std::string settings_path,
                 gateway_adapter adapter)
    : settings_(std::move(settings))
    , settings_path_(std::move(settings_path))
    , adapter_(std::move(adapter))
    , incarnation_(wall_time())
    , log_(settings_.node, settings_.log_level)
    , metrics_(counters_)
    , loop_(clock_)
    , members_(make_membership_options())
    , peers_(loop_,
             {.address = settings_.peer,
              .node = settings_.node,
              .incarnation = incarnation_},
             [this](const wire::peer_message& message) { receive(message); })
    , store_(adapter_.make_store(loop_, settings_))
    , dispatcher_({.node = settings_.node,
                   .failure_domain = settings_.failure_domain,
                   .cluster_retries = {.base = settings_.retry_base,
                                       .ratio = settings_.retry_ratio}},
                  clock_, log_)
    , view_(settings_.node, loop_, *store_, *adapter_.codec, peers_, log_,
            {.routing = [this](auto it) { set_routing(std::move(it)); },
             .withdrawn = [this](auto it)
             { dispatcher_.set_withdrawn(std::move(it)); },
             .endpoints =
                 [this](const auto& it, bool authoritative)
             {
                 dispatcher_.set_endpoints(it, authoritative);
             }})
    , dispatcher_proxy_(loop_, dispatcher_, traffic_io_)
    , traffic_{.io = traffic_io_,
               .settings = settings_,
               .format = *adapter_.format,
               .time = clock_,
               .dispatch = dispatcher_proxy_,
               .log = log_,
               .count = counters_,
               .metrics = metrics_,
               // Ids of different processes start far apart and don't collide.
               .next_request = static_cast<std::uint64_t>(incarnation_) << 20 ^
                               std::hash<std::string>{}(settings_.node) << 44,
               .body_bytes_limit =
                   (settings_.memory_mb << 20) / body_memory_divisor}
    , server_(traffic_)
    , last_settings_change_(modified_at(settings_path_))
{
    members_.set_serving(false);
    members_.set_payload_callback([this](wire::gossip& message, std::size_t)
                                  { view_.add_versions(message); });
    dispatcher_.set_announce(
        [this](const wire::work_update& update)
        {
            wire::peer_message message;
            *message.mutable_work_update() = update;
            send_to_live(message);
        });
    dispatcher_.set_crash_announce(
        [this](const crash_report& item)
        {
            wire::peer_message message;
            auto& entry = *message.mutable_strike()->add_strikes();
            entry.set_fingerprint(item.fingerprint);
            entry.set_crash_id(item.crash_id);
            entry.set_age_ms(loop_.now() - item.at);
            send_to_live(message);
        });
}

gateway::~gateway() = default;

membership_options gateway::make_membership_options() const
{
    return {.node = settings_.node,
            .zone = settings_.failure_domain,
            .peer_address = settings_.peer,
            .listen_address = settings_.traffic,
            .incarnation = incarnation_,
            .seeds = settings_.seeds,
            .period = gossip_period,
            .max_entries = gossip_entries,
            .suspect_after = suspect_after,
            .seed = static_cast<std::uint64_t>(incarnation_)};
}

void gateway::run()
{
    log_.write(log_event::started,
               {{"traffic", std::string_view(settings_.traffic)},
                {"failure_domain", std::string_view(settings_.failure_domain)},
                {"incarnation", incarnation_}});
    server_.listen(settings_.traffic, listener_role::traffic);
    server_.listen(settings_.ready, listener_role::ready);
    server_.listen(settings_.directory, listener_role::directory);
    if (!settings_.metrics.empty())
        server_.listen(settings_.metrics, listener_role::metrics);
    server_.start();
    view_.start();
    join_cluster();
    register_address();
    start_timers();
    loop_.run();
    server_.stop();
    log_.write(log_event::stopped, {});
    log_.flush();
}

void gateway::start_timers()
{
    loop_.call_every(members_period,
                     [this]
                     {
                         gossip();
                         update_members();
                         publish_state();
                     });
    loop_.call_every(tick_period, [this] { dispatcher_.tick(); });
    loop_.call_every(announce_all_period,
                     [this] { dispatcher_.announce_all(); });
    loop_.call_every(flush_period,
                     [this]
                     {
                         update_gauges();
                         log_.flush();
                     });
    loop_.call_every(settings_check_period,
                     [this]
                     {
                         if (modified_at(settings_path_) !=
                             last_settings_change_)
                             reload();
                     });
}

void gateway::request_stop()
{
    loop_.post([this] { begin_stop(); });
}

void gateway::request_reload()
{
    loop_.post([this] { reload(); });
}

void gateway::begin_stop()
{
    if (stop_began_ != 0)
        return;
    stop_began_ = loop_.now();
    log_.write(log_event::stopping,
               {{"running", static_cast<std::int64_t>(dispatcher_.running())},
                {"grace_ms", settings_.stop_grace}});
    members_.announce_leaving();
    gossip();
    publish_state();
    server_.post(
        [this]
        {
            traffic_.ready = false;
            traffic_.stopping = true;
            server_.close_idle();
        });
    loop_.call_every(stop_check_period, [this] { check_stopped(); });
}

void gateway::check_stopped()
{
    const auto spent = loop_.now() - stop_began_;
    const auto grace = static_cast<double>(settings_.stop_grace);
    const bool refusing = spent >= static_cast<msec>(serving_share * grace);
    server_.post([this, refusing] { traffic_.refusing = refusing; });
    const bool idle = dispatcher_.running() + dispatcher_.waiting() == 0;
    if ((idle && spent >= static_cast<msec>(linger_share * grace)) ||
        spent >= settings_.stop_grace - stop_margin)
        loop_.stop();
}

void gateway::reload()
{
    last_settings_change_ = modified_at(settings_path_);
    std::ifstream file(settings_path_);
    std::ostringstream buf;
    buf << file.rdbuf();
    auto fresh = parse_gateway_settings(buf.str());
    if (!fresh.ok())
    {
        const auto reason = std::string(fresh.status().message());
        log_.write(log_event::reload_failed,
                   {{"reason", std::string_view(reason)}});
        return;
    }
    for (const auto& it : fresh->seeds)
        members_.add_seed(it);
    log_.set_level(fresh->log_level);
    settings_.stop_grace = fresh->stop_grace;
    log_.write(log_event::reloaded,
               {{"seeds", static_cast<std::int64_t>(fresh->seeds.size())},
                {"grace_ms", settings_.stop_grace}});
}

void gateway::gossip()
{
    for (auto& it : members_.tick(loop_.now()))
    {
        wire::peer_message message;
        *message.mutable_gossip() = std::move(*it.message);
        peers_.send(it.peer_address, std::move(message));
    }
}

void gateway::update_members()
{
    std::map<std::string, std::int64_t> live;
    std::map<std::string, std::string> domain_nodes;
    for (const auto* const it : members_.live_members(loop_.now()))
    {
        live[it->node] = it->incarnation;
        if (it->zone == settings_.failure_domain)
            domain_nodes[it->node] = it->peer_address;
    }
    view_.set_domain_nodes(std::move(domain_nodes));
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
    dispatcher_.set_nodes(live.size(), members_.known_peers());
    live_ = std::move(live);
    dispatcher_.drop_missing(view_.store_reached(),
                             view_.authoritative_since());
}

void gateway::publish_state()
{
    const bool ready = has_routing_ && stop_began_ == 0 &&
                       view_.version(cluster_table::endpoints) > 0;
    if (ready != serving_)
    {
        serving_ = ready;
        members_.set_serving(ready);
    }
    constexpr std::size_t max_listed = 64;
    auto nodes = members_.list_nodes(max_listed, loop_.now());
    server_.post(
        [this, ready, nodes = std::move(nodes)]() mutable
        {
            traffic_.ready = ready && !traffic_.stopping;
            traffic_.nodes = std::move(nodes);
        });
}

void gateway::update_gauges()
{
    metrics_.set(gauge::operations_age_ms,
                 view_.age(cluster_table::operations));
    metrics_.set(gauge::endpoints_age_ms, view_.age(cluster_table::endpoints));
    metrics_.set(gauge::store_reached, view_.store_reached() ? 1 : 0);
    metrics_.set(
        gauge::endpoints_known,
        static_cast<std::int64_t>(dispatcher_.endpoints().all().size()));
    metrics_.set(gauge::live_nodes, static_cast<std::int64_t>(live_.size()));
    metrics_.set(gauge::waiting_requests,
                 static_cast<std::int64_t>(dispatcher_.waiting()));
    metrics_.set(gauge::running_requests,
                 static_cast<std::int64_t>(dispatcher_.running()));
    metrics_.set(gauge::log_lines_dropped,
                 static_cast<std::int64_t>(log_.dropped()));
}

void gateway::join_cluster()
{
    store_->read_nodes(
        [this](absl::StatusOr<std::vector<std::string>> addresses)
        {
            if (!addresses.ok())
            {
                loop_.call_after(join_retry, [this] { join_cluster(); });
                return;
            }
            for (const auto& it : *addresses)
                if (it != settings_.peer)
                    members_.add_seed(it);
        });
}

void gateway::register_address()
{
    store_->write_node(settings_.node, settings_.peer,
                       [this](const absl::Status& status)
                       {
                           if (!status.ok() && stop_began_ == 0)
                               loop_.call_after(join_retry,
                                                [this] { register_address(); });
                       });
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
        view_.on_gossip(sender->peer_address, message.gossip());
        if (reply == nullptr)
            return;
        wire::peer_message response;
        *response.mutable_gossip() = std::move(*reply);
        peers_.send(sender->peer_address, std::move(response));
        return;
    }
    case wire::peer_message::kWorkUpdate:
        dispatcher_.on_update(message.from(), message.work_update());
        return;
    case wire::peer_message::kStrike:
        for (const auto& it : message.strike().strikes())
            dispatcher_.on_crash_report({.fingerprint = it.fingerprint(),
                                         .crash_id = it.crash_id(),
                                         .at = now - it.age_ms()});
        return;
    case wire::peer_message::kRowsPull:
        if (const auto* const sender = members_.find(message.from()))
            view_.on_pull(sender->peer_address, message.rows_pull());
        return;
    case wire::peer_message::kRowsPush:
        view_.on_push(message.rows_push());
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

void gateway::set_routing(std::shared_ptr<const routing_table> routing)
{
    has_routing_ = true;
    metrics_.set(gauge::configuration_version,
                 static_cast<std::int64_t>(routing->version()));
    server_.post([this, routing = std::move(routing)]() mutable
                 { traffic_.routing = std::move(routing); });
    publish_state();
}

} // namespace galenapulley
