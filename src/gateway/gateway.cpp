#include "gateway/gateway.hpp"

#include "galenapulley/clients/connection_limits.hpp"
#include "galenapulley/crash_registry.hpp"
#include "gateway/quarantine_message.hpp"
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
constexpr msec members_period = 500;
constexpr msec tick_period = work_announcer::max_delay;
constexpr msec flush_period = 500;
constexpr msec announce_all_period = 2000;
constexpr msec probe_period = 500;
constexpr msec settings_check_period = 2000;
/// Time in which the seeds respond if one of them runs.
constexpr msec seed_wait = 1000;
constexpr msec stop_check_period = 50;
/// Time for which clients may use the address of a node that is no longer
/// listed; it stays ready until then.
constexpr msec listing_memory = 15'000;
/// Share of the stop's grace period in which new requests are still served.
constexpr double serving_share = 0.37;
/// Share of the grace period for which an idle node still runs, as clients may
/// still send requests to it.
constexpr double linger_share = 0.62;
/// The process ends by itself this long before the grace period is over.
constexpr msec stop_margin = 400;
/// Before that, for so long, the requests that still run are answered.
constexpr msec last_answers_time = 200;

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
    , bounds_(make_client_bounds(settings_, descriptor_limit()))
    , peers_(loop_,
             {.address = settings_.peer,
              .node = settings_.node,
              .incarnation = incarnation_,
              .receive_memory = bounds_.peer_bytes,
              .max_connections = bounds_.peer_connections},
             [this](const wire::peer_message& message) { receive(message); })
    , store_(adapter_.make_store(loop_, settings_))
    , dispatcher_(
          {.node = settings_.node,
           .failure_domain = settings_.failure_domain,
           .cluster_retries = {.base = settings_.retry_base,
                               .ratio = settings_.retry_ratio},
           .admission_forecast =
               settings_.decisions.admission_forecast.value_or(false),
           .account_shares = settings_.decisions.account_shares.value_or(false),
           .endpoint_estimates =
               settings_.decisions.endpoint_estimates.value_or(false)},
          clock_, log_)
    , announcer_(peers_, [this] { return dispatcher_.all_work(); })
    , view_(own_rank(), loop_, *store_, *adapter_.codec, peers_, log_,
            {.routing = [this](auto it) { set_routing(std::move(it)); },
             .withdrawn = [this](auto it)
             { dispatcher_.set_withdrawn(std::move(it)); },
             .endpoints = [this](const auto& it, bool authoritative)
             { dispatcher_.set_endpoints(it, authoritative); },
             .store_restored =
                 [this]
             {
                 on_store_restored();
             }})
    , dispatcher_proxy_(loop_, dispatcher_, traffic_io_)
    , prober_(loop_, traffic_io_)
    , traffic_{.io = traffic_io_,
               .settings = settings_,
               .format = *adapter_.format,
               .time = clock_,
               .dispatch = dispatcher_proxy_,
               .log = log_,
               .count = counters_,
               .metrics = metrics_,
               // Ids of different processes start far apart and don't collide.
               .directory =
                   directory_sampler(static_cast<std::uint64_t>(incarnation_)),
               .next_request = static_cast<std::uint64_t>(incarnation_) << 20 ^
                               std::hash<std::string>{}(settings_.node) << 44,
               .bounds = bounds_}
    , server_(traffic_)
    , last_settings_change_(modified_at(settings_path_))
{
    members_.set_serving(false);
    members_.set_payload_callback([this](wire::gossip& message, std::size_t)
                                  { add_gossip_payload(message); });
    dispatcher_.set_announce(
        [this](const wire::work_update& update)
        {
            announcer_.announce(update, loop_.now());
            wake();
        });
    dispatcher_.set_wake([this] { wake(); });
    dispatcher_.set_continue(
        [this] { loop_.post([this] { dispatcher_.continue_placing(); }); });
    dispatcher_.set_prefix_use([this](double n) { metrics_.count_prefix(n); });
    dispatcher_.set_probe(
        [this](endpoint_key key, const std::string& address)
        {
            prober_.probe(address,
                          [this, key, began_at = loop_.now()](bool connected)
                          { dispatcher_.on_probe(key, began_at, connected); });
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
    dispatcher_.set_prompts_announce(
        [this](const prompt_reports& reports)
        {
            wire::peer_message message;
            *message.mutable_prompts() = write_reports(reports, loop_.now());
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
            .capacity = capacity_of(settings_),
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
    view_.start(settings_.is_bootstrap);
    loop_.call_after(seed_wait, [this] { join_cluster(); });
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
    loop_.call_every(probe_period, [this] { dispatcher_.probe_endpoints(); });
    loop_.call_every(
        announce_all_period,
        [this]
        {
            dispatcher_.drop_silent_nodes();
            metrics_.set_endpoints(dispatcher_.describe_estimates());
            announcer_.announce_all(serving_set_.contains(settings_.node),
                                    loop_.now());
        });
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

void gateway::wake()
{
    if (std::exchange(is_awake_, true))
        return;
    loop_.call_after(tick_period, [this] { tick(); });
}

void gateway::tick()
{
    is_awake_ = false;
    dispatcher_.tick();
    announcer_.flush(loop_.now());
    if (dispatcher_.waiting() > 0)
        wake();
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
    if (spent >= settings_.stop_grace - stop_margin - last_answers_time)
        server_.post([this] { server_.end_requests(); });
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

void gateway::publish_state()
{
    const bool can_serve = has_routing_ && stop_began_ == 0 &&
                           view_.is_read(cluster_table::endpoints);
    if (can_serve != serving_)
    {
        serving_ = can_serve;
        members_.set_serving(can_serve);
    }
    auto nodes = listed_nodes();
    const auto now = loop_.now();
    const bool is_listed = std::any_of(nodes.begin(), nodes.end(),
                                       [this](const listed_node& it)
                                       { return it.node == settings_.node; });
    if (is_listed)
        listed_at_ = now;
    const bool ready =
        can_serve && listed_at_ && now - *listed_at_ <= listing_memory;
    if (nodes == published_nodes_ && ready == published_ready_)
        return;
    published_nodes_ = nodes;
    published_ready_ = ready;
    server_.post(
        [this, ready, nodes = std::move(nodes)]() mutable
        {
            traffic_.ready = ready && !traffic_.stopping;
            traffic_.nodes = std::move(nodes);
        });
}

void gateway::update_gauges()
{
    dispatcher_.end_account_limits();
    metrics_.set(gauge::operations_age_ms,
                 view_.age(cluster_table::operations));
    metrics_.set(gauge::endpoints_age_ms, view_.age(cluster_table::endpoints));
    metrics_.set(gauge::store_reached, view_.store_reached() ? 1 : 0);
    metrics_.set(gauge::store_era, static_cast<std::int64_t>(view_.era()));
    metrics_.set(
        gauge::endpoints_known,
        static_cast<std::int64_t>(dispatcher_.endpoints().all().size()));
    metrics_.set(gauge::endpoints_leaving,
                 static_cast<std::int64_t>(
                     dispatcher_.announcements().leaving(loop_.now()).size()));
    metrics_.set(gauge::endpoints_ejected,
                 static_cast<std::int64_t>(dispatcher_.estimates().ejected()));
    metrics_.set(gauge::partitioned, dispatcher_.is_partitioned() ? 1 : 0);
    metrics_.set(gauge::endpoints_paused,
                 static_cast<std::int64_t>(
                     dispatcher_.announcements().pauses(loop_.now()).size()));
    metrics_.set(gauge::live_nodes, static_cast<std::int64_t>(live_.size()));
    metrics_.set(gauge::serving_nodes,
                 static_cast<std::int64_t>(serving_set_.members().size()));
    metrics_.set(gauge::serving, serving_set_.contains(settings_.node) ? 1 : 0);
    const auto& traffic = peers_.traffic();
    metrics_.set(gauge::peer_messages_received,
                 static_cast<std::int64_t>(traffic.messages_received));
    metrics_.set(gauge::peer_bytes_received,
                 static_cast<std::int64_t>(traffic.bytes_received));
    metrics_.set(gauge::peer_bytes_sent,
                 static_cast<std::int64_t>(traffic.bytes_sent));
    metrics_.set(gauge::waiting_requests,
                 static_cast<std::int64_t>(dispatcher_.waiting()));
    const auto& placing = dispatcher_.placing();
    metrics_.set(gauge::placement_longest_ms, placing.longest_ms);
    metrics_.set(gauge::placement_most_attempts,
                 static_cast<std::int64_t>(placing.most_attempts));
    metrics_.set(gauge::placement_unfinished_turns,
                 static_cast<std::int64_t>(placing.unfinished_turns));
    metrics_.set(gauge::running_requests,
                 static_cast<std::int64_t>(dispatcher_.running()));
    metrics_.set(gauge::limited_accounts,
                 static_cast<std::int64_t>(dispatcher_.limited_accounts()));
    metrics_.set_accounts(dispatcher_.account_reports());
    metrics_.set(gauge::log_lines_dropped,
                 static_cast<std::int64_t>(log_.dropped()));
}

void gateway::set_routing(std::shared_ptr<const routing_table> routing)
{
    has_routing_ = true;
    dispatcher_.set_routing(routing);
    metrics_.set(gauge::configuration_version,
                 static_cast<std::int64_t>(routing->version()));
    server_.post([this, routing = std::move(routing)]() mutable
                 { traffic_.routing = std::move(routing); });
    publish_state();
}

} // namespace galenapulley
