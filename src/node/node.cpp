#include "node/node.hpp"

#include "galenapulley/clients/connection_limits.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/request_memory.hpp"
#include "galenapulley/service.hpp"
#include "node/completion_request.hpp"
#include "node/completion_session.hpp"
#include "node/http_responses.hpp"
#include "node/plain_session.hpp"
#include "peer.pb.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec control_period = 100_ms;
constexpr msec gossip_period = 1000_ms;
constexpr msec vm_list_period = 5000_ms;
constexpr msec seed_period = 5000_ms;
constexpr msec settled_after = 10'000_ms;
/// Bodies of requests may use one part in this many of the memory for requests,
/// as a prompt exists up to three times while it is sent to a back end.
constexpr std::size_t body_divisor = 4;
/// Incomplete messages of other nodes may use one part in this many.
constexpr std::size_t peer_divisor = 8;

std::uint16_t port_of(const std::string& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
}

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

node::node(node_settings settings)
    : settings_(std::move(settings))
    , incarnation_(wall_time())
    , loop_(clock_)
    , control_counts_(counters_.add("galenapulley_control_total",
                                    "Control events of this node.", "event",
                                    {"view_reset", "peer_message"}))
    , latency_({"short", "medium", "long", "huge"})
    , table_(platform_client_, settings_.platform,
             [this](std::function<void()> fn) { loop_.post(std::move(fn)); })
    , vms_(platform_client_, settings_.platform,
           [this](std::function<void()> fn) { loop_.post(std::move(fn)); })
    , sync_(table_, registry_, clock_,
            {.seed = static_cast<std::uint64_t>(incarnation_)})
    , writer_(table_, clock_,
              {.seed = static_cast<std::uint64_t>(incarnation_) + 1})
    , members_(make_membership_options())
    , freshness_({.max_age = settings_.view_max_age})
    , lease_(
          clock_, table_, make_lease_settings(),
          {.on_conflict = [this] { counters_.count(state_change::lease_lost); },
           .on_held = [] { spdlog::info("lease held"); },
           .on_replaced =
               [this]
           {
               spdlog::error(
                   "a newer process runs under this node's name; stopping");
               begin_stop();
           }})
    , claims_(
          clock_, table_, lease_,
          {.on_gained = [this](const owned_shard& it) { on_shard_gained(it); },
           .on_lost = [this](const std::string& shard, std::int64_t epoch)
           { on_shard_lost(shard, epoch); },
           .on_lapsed =
               [this](const std::string& shard)
           {
               spdlog::warn("shard {}: lease lapsed; allowance halved", shard);
               counters_.count(state_change::shard_lapsed);
               permits_.on_allowance_changed(shard);
           },
           .on_restored =
               [this](const owned_shard& it)
           {
               spdlog::info("shard {}: allowance restored", it.shard);
               counters_.count(state_change::shard_restored);
               permits_.on_allowance_changed(it.shard);
           }},
          [this](const std::string& machine)
          { return vm_list_read_ && vm_machines_.count(machine) == 0; })
    , peers_(
          loop_,
          {.address = settings_.peer,
           .node = settings_.node,
           .incarnation = incarnation_,
           .receive_memory = request_memory(settings_.memory_mb) / peer_divisor,
           .max_connections = make_peer_connections(descriptor_limit())},
          [this](const wire::peer_message& message)
          { on_peer_message(message); })
    , permits_({.node = settings_.node,
                .incarnation = incarnation_,
                .zone = settings_.zone,
                .seed = static_cast<std::uint64_t>(incarnation_) + 2},
               {.time = clock_,
                .registry = registry_,
                .members = members_,
                .claims = claims_,
                .freshness = freshness_,
                .crashes = crashes_,
                .peers = peers_})
    , ledger_(clock_, table_,
              {.node = settings_.node, .incarnation = incarnation_},
              [this](const std::string& id, std::int64_t incarnation)
              {
                  if (id == settings_.node)
                      return incarnation == incarnation_;
                  const auto* it = members_.find(id);
                  return it != nullptr && it->incarnation == incarnation &&
                         !members_.is_suspected(*it, clock_.now());
              })
    , config_(settings_.zone, {.time = clock_,
                               .registry = registry_,
                               .sync = sync_,
                               .writer = writer_,
                               .members = members_,
                               .peers = peers_,
                               .counts = counters_})
    , monitor_({.node = settings_.node,
                .incarnation = incarnation_,
                .poll_period = settings_.engine_poll,
                // The sweeper needs several lists within one lease TTL.
                .sweep_period = std::min<msec>(2000, settings_.lease_ttl / 2),
                .lease_ttl = settings_.lease_ttl},
               {.loop = loop_,
                .engines = engine_client_,
                .registry = registry_,
                .members = members_,
                .claims = claims_,
                .permits = permits_,
                .table = table_,
                .peers = peers_,
                .held = held_})
    , orders_(loop_, engine_client_, table_)
    , admin_({.settings = settings_,
              .registry = registry_,
              .config = config_,
              .orders = orders_,
              .counts = counters_,
              .sync = sync_,
              .status =
                  [this]
              {
                  return status_json();
              }})
    , session_context_{.node = settings_.node,
                       .incarnation = incarnation_,
                       .time = clock_,
                       .loop = loop_,
                       .engines = engine_client_,
                       .permits = permits_,
                       .registry = registry_,
                       .freshness = freshness_,
                       .counts = counters_,
                       .latencies = latency_,
                       .retries = retries_,
                       .ledger = ledger_,
                       .held = held_,
                       .must_abort_segmented =
                           [this]
                       {
                           return must_abort_segmented();
                       }}
    , requests_(loop_, counters_, *this, tokens_)
{
    connect_modules();
    start_timers();
}

node::~node()
{
    // The server's threads post to the loop, so the server is destroyed first.
    server_.reset();
}

membership_options node::make_membership_options() const
{
    return {.node = settings_.node,
            .zone = settings_.zone,
            .peer_address = settings_.peer,
            .listen_address = settings_.listen,
            .incarnation = incarnation_,
            .seeds = settings_.seeds,
            .seed = static_cast<std::uint64_t>(incarnation_) + 3};
}

node_lease::settings node::make_lease_settings() const
{
    return {.node = settings_.node,
            .incarnation = incarnation_,
            .zone = settings_.zone,
            .peer_address = settings_.peer,
            .listen_address = settings_.listen,
            .machine = settings_.machine,
            .terms = {.ttl = settings_.lease_ttl,
                      .renew_interval = settings_.lease_renew}};
}

void node::connect_modules()
{
    registry_.on_change([this](const config_document& it) { on_document(it); });
    sync_.on_rejection(
        [](const config_document& it, const absl::Status& status)
        {
            spdlog::error("{} version {}: invalid document: {}", it.name,
                          it.version, std::string(status.message()));
        });
    members_.set_serving(false);
    members_.set_payload_callback(
        [this](wire::gossip& message, std::size_t max_crash_reports)
        { fill_gossip(message, max_crash_reports); });
    server_ = std::make_unique<http_server>(
        http_server_options{
            .address = host_of(settings_.listen),
            .port = port_of(settings_.listen),
            .workers = static_cast<int>(settings_.workers),
            .body_memory = request_memory(settings_.memory_mb) / body_divisor,
            .connections = make_connection_limits(
                settings_.client_connections,
                settings_.client_connections_per_address, descriptor_limit()),
            .check_upload = [this](const client_request& head)
            { return requests_.check_upload(head); },
            .on_refused =
                [this](error_kind kind)
            {
                counters_.count(kind);
            }},
        [this](http_request request,
               const std::shared_ptr<http_exchange>& exchange)
        { requests_.handle(std::move(request), exchange); });
}

void node::start_timers()
{
    loop_.call_every(control_period, [this] { run_control_tick(); });
    loop_.call_every(gossip_period, [this] { run_gossip_tick(); });
    loop_.call_every(vm_list_period, [this] { read_vm_list(); });
    loop_.call_every(seed_period, [this] { read_seeds(); });
    loop_.post([this] { run_gossip_tick(); });
}

void node::run()
{
    server_->start();
    spdlog::info("node {} listening on {}, zone {}", settings_.node,
                 settings_.listen, settings_.zone);
    loop_.run();
    spdlog::info("node {} stopped", settings_.node);
}

void node::run_control_tick()
{
    const auto now = clock_.now();
    run_fast_tick();
    lease_.tick();
    claims_.tick();
    sync_.set_known_peers(members_.known_peers());
    sync_.tick();
    if (sync_.has_baseline() && !tokens_.is_set())
        update_known_tokens();
    if (const auto read = sync_.last_read())
        freshness_.note_own_read(*read);
    writer_.tick();
    config_.tick();
    monitor_.tick();
    const bool fresh = freshness_.is_fresh(now);
    if (fresh != was_fresh_)
    {
        was_fresh_ = fresh;
        if (fresh)
            spdlog::info("view is fresh");
        else
            spdlog::warn("view is stale: refusing new work");
    }
    if (fresh && sync_.has_baseline())
        members_.set_serving(true);
    check_stopped();
}

void node::run_gossip_tick()
{
    const auto now = clock_.now();
    const auto window = freshness_.contact_window(now);
    const auto resets = freshness_.resets();
    freshness_.tick(
        now, {.known_peers = members_.known_peers(),
              .known_zones = members_.known_zones().size(),
              .reachable_peers = members_.reachable_peers(window, now),
              .reachable_zones = members_.reachable_zones(window, now).size()});
    if (freshness_.resets() != resets)
    {
        control_counts_.increment(0);
        sync_.read_soon();
    }
    if (members_.superseded_by() && !stopping_)
    {
        spdlog::error("a newer process runs under this node's name; stopping");
        begin_stop();
        return;
    }
    update_candidates();
    for (const auto& it : members_.tick(now))
    {
        wire::peer_message message;
        *message.mutable_gossip() = *it.message;
        peers_.send(it.peer_address, std::move(message));
    }
}

void node::update_candidates()
{
    std::vector<known_node> nodes;
    for (const auto* it : members_.live_members(clock_.now()))
        nodes.push_back({.node = it->node,
                         .zone = it->zone,
                         .incarnation = it->incarnation});
    nodes.push_back(
        {.node = settings_.node, .zone = settings_.zone, .leaving = stopping_});
    claims_.set_nodes(nodes);
}

void node::on_peer_message(const wire::peer_message& message)
{
    control_counts_.increment(1);
    update_incarnation(message.from(), message.incarnation());
    monitor_.on_node_alive(message.from(), message.incarnation());
    if (message.has_gossip())
    {
        on_gossip(message);
        return;
    }
    wake_fast_tick();
    config_.on_message(message, is_settled());
    monitor_.on_message(message);
    permits_.on_message(message);
}

void node::on_gossip(const wire::peer_message& message)
{
    const auto now = clock_.now();
    const auto& body = message.gossip();
    std::set<std::string> changed;
    for (const auto& it : body.shard_owners())
    {
        claims_.learn_owner(it.shard(),
                            {.node = it.node(), .epoch = it.epoch()});
        if (members_.note_shard_owner(
                {.shard = it.shard(), .node = it.node(), .epoch = it.epoch()}))
            changed.insert(it.shard());
    }
    const auto reply = members_.on_gossip(message.from(), body, now);
    for (const auto& it : body.members())
    {
        const auto* known = members_.find(it.node());
        if (known == nullptr || known->heartbeat_at != now)
            continue;
        update_incarnation(known->node, known->incarnation);
        monitor_.on_node_alive(known->node, known->incarnation);
    }
    // A peer's read of the store proves this node's documents recent only if
    // both hold the same documents.
    if (const auto proven = members_.proven_time(body);
        proven && body.config_digest() == registry_.digest())
        freshness_.note_peer_age(*proven, body.store_read_age_ms());
    for (const auto& it : body.strikes())
        crashes_.add(
            {.fingerprint = it.fingerprint(),
             .crash_id = it.crash_id(),
             .at = now - std::clamp<msec>(it.age_ms(), 0,
                                          crash_registry::quarantine_time)},
            now);
    for (const auto& shard : changed)
        permits_.on_owner_changed(shard);
    config_.on_peer_config(message.from(), body.config_head(),
                           body.config_digest());
    const auto* sender = members_.find(message.from());
    if (sender != nullptr && sender->leaving)
        update_candidates();
    if (reply && sender != nullptr)
    {
        wire::peer_message reply_message;
        *reply_message.mutable_gossip() = *reply;
        peers_.send(sender->peer_address, std::move(reply_message));
    }
}

void node::fill_gossip(wire::gossip& message,
                       std::size_t max_crash_reports) const
{
    const auto now = clock_.now();
    message.set_config_head(sync_.head());
    message.set_config_digest(registry_.digest());
    message.set_store_read_age_ms(freshness_.store_read_age(now));
    message.set_settled(is_settled());
    for (const auto& it : crashes_.recent(max_crash_reports, now))
    {
        auto& entry = *message.add_strikes();
        entry.set_fingerprint(it.fingerprint);
        entry.set_crash_id(it.crash_id);
        entry.set_age_ms(now - it.at);
    }
}

void node::update_incarnation(const std::string& peer, std::int64_t incarnation)
{
    auto& known = incarnations_[peer];
    if (incarnation <= known)
        return;
    if (known != 0)
        permits_.on_node_restarted(peer, incarnation);
    known = incarnation;
}

void node::on_document(const config_document& document)
{
    spdlog::info("{} version {} applied", document.name, document.version);
    counters_.count(state_change::config_applied);
    if (document.name == fleet_row)
    {
        permits_.on_fleet_changed(leaving_machines_);
        return;
    }
    std::vector<std::string> shards;
    for (const auto& it : registry_.services())
        for (auto& shard : it->shards())
            shards.push_back(std::move(shard));
    if (tokens_.is_set())
        update_known_tokens();
    update_candidates();
    claims_.set_shards(shards);
    permits_.on_services_changed();
}

void node::update_known_tokens()
{
    std::set<std::string> tokens;
    for (const auto* list : {&settings_.teams, &settings_.operators})
        for (const auto& it : *list)
            tokens.insert(it.token_sha256);
    for (const auto& service : registry_.services())
        for (const auto& it : service->customers)
            tokens.insert(it.token_sha256);
    tokens_.set(std::move(tokens));
}

void node::on_shard_gained(const owned_shard& shard)
{
    spdlog::info("shard {}: gained, epoch {}", shard.shard, shard.epoch);
    counters_.count(state_change::shard_gained);
    members_.note_shard_owner(
        {.shard = shard.shard, .node = settings_.node, .epoch = shard.epoch});
    permits_.on_shard_gained(shard);
    if (!vm_list_read_)
        read_vm_list();
}

void node::on_shard_lost(const std::string& shard, std::int64_t epoch)
{
    spdlog::info("shard {}: lost, epoch {}", shard, epoch);
    counters_.count(state_change::shard_lost);
    permits_.on_shard_lost(shard);
}

bool node::must_abort_segmented() const
{
    const auto now = clock_.now();
    return now - lease_.held_until() > 2 * settings_.lease_ttl &&
           !freshness_.is_fresh(now);
}

bool node::is_settled() const
{
    return freshness_.fresh_for(settled_after, clock_.now());
}

} // namespace galenapulley
