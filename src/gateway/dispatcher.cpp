#include "gateway/dispatcher.hpp"

#include "galenapulley/admission/service_time.hpp"
#include "gateway/event_log.hpp"
#include "gateway/work_message.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace galenapulley
{

namespace
{

/// Value of a timely response: a fixed amount per request plus an amount per
/// prompt token.
constexpr double value_per_request = 0.3;
constexpr double value_per_prompt_token = 1.0 / 7500;
/// Most endpoints that prefill segments of one prompt.
constexpr std::size_t max_segments = 16;
/// Prompts with a shorter prefill are not split: each segment costs a message.
constexpr double split_threshold_ms = 120;
/// The end of a prefill longer than this is announced to the other nodes.
constexpr double long_prefill_ms = 100;
/// Share of a cold endpoint's rate that is used, as placements of other nodes
/// become known only after a delay.
constexpr double cold_rate_share = 0.6;
/// Retry-After of requests refused because all slots are taken.
constexpr msec retry_after_full = 400;
constexpr msec retry_after_no_endpoint = 500;
/// Long, as no endpoint will have more memory soon.
constexpr msec retry_after_too_large = 30'000;
constexpr std::size_t max_tracked_fingerprints = 4096;
constexpr std::size_t crashes_to_quarantine = 3;

double value_of(double prompt_tokens)
{
    return value_per_request + value_per_prompt_token * prompt_tokens;
}

const engine_profile* engine_of(const dispatch_request& item)
{
    const auto* const service = item.table->service(item.service);
    if (service == nullptr || !service->engine)
        return nullptr;
    return &*service->engine;
}

/// Ids of the helpers, without the primary endpoint.
template <typename List>
std::string joined_ids(const List& list, const placement_choice& choice)
{
    std::string out;
    for (const auto n : choice.chosen)
        if (n != choice.chosen.front())
            out += (out.empty() ? "" : ",") + list.endpoints[n]->description.id;
    return out;
}

} // namespace

dispatcher::dispatcher(dispatcher_options options, const clock& time,
                       event_log& log)
    : options_(std::move(options))
    , clock_(time)
    , log_(log)
    , rate_share_(options_.node)
    , crashes_(max_tracked_fingerprints, crashes_to_quarantine)
{
    set_nodes(0, 0);
}

retry_budget& dispatcher::budget_of(const std::string& service)
{
    const auto [it, added] = budgets_.try_emplace(service);
    if (added)
        it->second.set_allowance(allowance_);
    return it->second;
}

void dispatcher::request(dispatch_request item, result_callback done)
{
    const auto now = clock_.now();
    if (auto refusal = early_refusal(item))
    {
        refuse(item, *std::move(refusal), done);
        return;
    }
    if (const auto reason = infeasible_reason(item); !reason.empty())
    {
        refuse(item,
               {.kind = error_kind::overloaded,
                .reason = std::string(reason),
                .retry_after = retry_after_too_large},
               done);
        return;
    }
    auto& budget = budget_of(item.service);
    if (!item.is_retry)
    {
        budget.on_request(now);
        rate_.on_request(now);
    }
    else if (!budget.take_retry(now))
    {
        refuse(item,
               {.kind = error_kind::overloaded,
                .reason = "retry budget exhausted",
                .retry_after = retry_after_full},
               done);
        return;
    }
    if (queue_.empty() && try_place(item, done))
        return;
    const auto id = item.id;
    queue_.add({.request = id,
                .priority = item.priority,
                .over_share = begins_over_share(item),
                .received_at = item.received_at,
                .first_token_due_at =
                    item.received_at + item.matched_route->target_latency,
                .deadline = item.deadline,
                .min_service_time = min_service_time(item)});
    waiting_.emplace(id, waiting_request{std::move(item), std::move(done)});
    place_waiting();
    wake_();
    const auto it = waiting_.find(id);
    if (it != waiting_.end())
        log_.write(log_event::queued,
                   {{"request", std::string_view(it->second.item.attempt)},
                    {"service", std::string_view(it->second.item.service)},
                    {"waiting", static_cast<std::int64_t>(queue_.size())}});
}

msec dispatcher::min_service_time(const dispatch_request& item) const
{
    const auto* const engine = engine_of(item);
    if (engine == nullptr)
        return 0;
    const auto segments = is_split(*engine, item) ? max_segments : 1;
    const double ms =
        options_.admission_forecast
            ? busy_first_token_ms(*engine, item.prompt_tokens, segments)
            : engine->prefill_ms(item.prompt_tokens) /
                  static_cast<double>(max_segments);
    return static_cast<msec>(ms);
}

std::size_t
dispatcher::max_prefill_endpoints(const dispatch_request& item) const
{
    return std::min(max_segments,
                    registry_.usable(item.service, clock_.now()).size());
}

std::string_view
dispatcher::infeasible_reason(const dispatch_request& item) const
{
    const auto* const engine = engine_of(item);
    const auto n = max_prefill_endpoints(item);
    if (engine == nullptr || n == 0 ||
        item.prompt_tokens + item.output_tokens <= engine->memory_tokens)
        return {};
    if (item.prompt_tokens + item.output_tokens >
        distributed_kv_capacity(*engine, n))
        return "needs more memory than the engines have together";
    const double shortest =
        engine->prefill_ms(item.prompt_tokens) / static_cast<double>(n);
    if (shortest > static_cast<double>(item.deadline - clock_.now()))
        return "prefill takes longer than the time to the deadline";
    return {};
}

bool dispatcher::may_use(const dispatch_request& item, const known_endpoint& it,
                         const endpoint_load& load) const
{
    if (withdrawn_.contains(it.description.failure_domain) ||
        announcements_.is_paused(it.key, clock_.now()) ||
        announcements_.is_leaving(it.key, clock_.now()))
        return false;
    if (std::find(item.tried.begin(), item.tried.end(), it.key) !=
        item.tried.end())
        return false;
    if (it.cold_until <= clock_.now())
        return true;
    const auto* const service = item.table->service(item.service);
    return service == nullptr || service->cold_rate <= 0 ||
           load.recent_placements < cold_rate_share * service->cold_rate;
}

bool dispatcher::has_room(const known_endpoint& it) const
{
    const auto limit = announcements_.rate_limit(it.key);
    if (!limit)
        return true;
    const auto now = clock_.now();
    const auto room = load_.placements().room(it.key, *limit, now);
    return rate_share_.allows(it.key, room, heard_at_.size() + 1, now);
}

dispatcher::candidate_list
dispatcher::candidates(const dispatch_request& item) const
{
    const auto now = clock_.now();
    candidate_list list;
    for (const auto* const it : selectable(item))
    {
        ++list.known;
        auto load = load_.load_of(it->key, now);
        if (!may_use(item, *it, load))
            continue;
        list.endpoints.push_back(it);
        const std::array<std::uint64_t, 2> pair{item.id, it->key};
        const auto jitter = XXH64(pair.data(), sizeof(pair), 0);
        list.load.push_back(
            {.load = std::move(load),
             .slots = it->description.slots,
             .same_domain =
                 it->description.failure_domain == options_.failure_domain,
             .may_be_primary = has_room(*it),
             .jitter = std::ldexp(static_cast<double>(jitter), -64),
             .slowdown = estimates_.slowdown(it->key)});
    }
    return list;
}

bool dispatcher::is_distributed(const engine_profile& engine,
                                const dispatch_request& item)
{
    return item.prompt_tokens + item.output_tokens > engine.memory_tokens;
}

bool dispatcher::is_split(const engine_profile& engine,
                          const dispatch_request& item)
{
    return is_distributed(engine, item) ||
           engine.prefill_ms(item.prompt_tokens) > split_threshold_ms;
}

std::optional<placement_choice>
dispatcher::choose(const dispatch_request& item,
                   const candidate_list& list) const
{
    const auto* const engine = engine_of(item);
    if (engine == nullptr)
        return place_plain(list.load);
    const auto now = clock_.now();
    const bool above_one_engine = is_distributed(*engine, item);
    const bool split = is_split(*engine, item);
    const placement_request request{
        .prompt_tokens = item.prompt_tokens,
        .output_tokens = item.output_tokens,
        .first_token_target_ms =
            static_cast<double>(item.matched_route->target_latency),
        .token_gap_ms = static_cast<double>(item.matched_route->gap_target),
        .waited_ms = static_cast<double>(now - item.received_at),
        .deadline_ms = static_cast<double>(item.deadline - item.received_at),
        .value = value_of(item.prompt_tokens),
        .max_segments = split ? max_segments : 1,
        .may_distribute_kv = above_one_engine};
    return place_on_engines(item, *engine, request, list);
}

void dispatcher::grant(const dispatch_request& item, const candidate_list& list,
                       const placement_choice& choice,
                       const result_callback& done)
{
    const auto now = clock_.now();
    const auto& primary = *list.endpoints[choice.chosen.front()];
    dispatch_grant out{.primary = primary.description,
                       .key = primary.key,
                       .needs_reservation = !choice.reserved_tokens.empty(),
                       .expected_first_token_ms = choice.first_token_ms};
    placed_work work{.request = item.id,
                     .node = options_.node,
                     .account = account_key_of(item.account),
                     .prompt_tokens = item.prompt_tokens,
                     .output_tokens = item.output_tokens,
                     .reserved_tokens = choice.reserved_tokens,
                     .segment_ms = choice.segment_ms,
                     .token_gap_target = item.matched_route->gap_target,
                     .value = value_of(item.prompt_tokens),
                     .first_token_due_at =
                         item.received_at + item.matched_route->target_latency,
                     .first_token_target = item.matched_route->target_latency};
    for (std::size_t n = 0; n < choice.chosen.size(); ++n)
    {
        const auto& it = *list.endpoints[choice.chosen[n]];
        work.endpoints.push_back(it.key);
        if (n == 0)
            continue;
        helper segment_helper{.id = it.description.id,
                              .address = it.description.address,
                              .key = it.key};
        if (out.needs_reservation)
            segment_helper.reserved_tokens = choice.reserved_tokens[n];
        out.helpers.push_back(std::move(segment_helper));
    }
    running_.emplace(
        item.id,
        running_request{.primary = primary.key,
                        .endpoints = work.endpoints,
                        .fingerprint = item.fingerprint,
                        .shared_parts = item.shared_parts,
                        .attempt = item.attempt,
                        .placed_at = now,
                        .expected_first_token_ms =
                            measured_first_token_ms(item, list, choice),
                        .announce_first_token =
                            choice.segment_ms > long_prefill_ms});
    wire::work_update update;
    write_entry(work, now, *update.add_placed());
    update.mutable_placed(0)->set_repeat(item.is_retry);
    const auto& load = list.load[choice.chosen.front()].load;
    const auto helpers = joined_ids(list, choice);
    log_.write(
        log_event::placed,
        {{"request", std::string_view(item.attempt)},
         {"endpoint", std::string_view(out.primary.id)},
         {"failure_domain", std::string_view(out.primary.failure_domain)},
         {"prompt_tokens", item.prompt_tokens},
         {"helpers", std::string_view(helpers)},
         {"parts", static_cast<std::int64_t>(choice.chosen.size())},
         {"part_ms", choice.segment_ms},
         {"backlog_ms", load.backlog_ms},
         {"running", static_cast<std::int64_t>(load.running)},
         {"expected_ms", choice.first_token_ms},
         {"retained_tokens", choice.retained_tokens},
         {"loss", choice.cost},
         {"waited_ms", now - item.received_at},
         {"configuration", static_cast<std::int64_t>(item.table->version())}});
    count_use(work, false);
    load_.add(std::move(work), now);
    if (choice.retained_tokens > 0)
        on_prefix_use_(choice.retained_tokens);
    if (announcements_.rate_limit(primary.key))
        rate_share_.on_placed(primary.key, now);
    announce(std::move(update));
    done(std::move(out));
}

void dispatcher::refuse(const dispatch_request& item, dispatch_refusal refusal,
                        const result_callback& done)
{
    log_.write(log_event::refused,
               {{"request", std::string_view(item.attempt)},
                {"service", std::string_view(item.service)},
                {"kind", name_of(refusal.kind)},
                {"reason", std::string_view(refusal.reason)},
                {"waited_ms", clock_.now() - item.received_at},
                {"waiting", static_cast<std::int64_t>(queue_.size())},
                {"retry_after_ms", refusal.retry_after}});
    ++account_refusals_[{item.service, account_key_of(item.account)}]
                       [name_of(refusal.kind)];
    done(std::move(refusal));
}

} // namespace galenapulley
