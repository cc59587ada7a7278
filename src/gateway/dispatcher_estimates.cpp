#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "gateway/work_message.hpp"
#include "peer.pb.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

// Estimates of the endpoints' speed and reliability: what they are learned
// from, and which endpoints get work.

namespace galenapulley
{

namespace
{

/// The hash of a request and an endpoint decides on trials, with a seed of its
/// own, as the one without a seed chooses among endpoints.
constexpr XXH64_hash_t trial_seed = 1;
/// Longest prefill of a request that may be a trial.
constexpr double max_trial_prefill_ms = 120;
/// A first token that is missing for this time, and for this multiple of the
/// expected time, shows a slow endpoint. Shorter times may be due to the
/// client.
constexpr msec min_silence = 1000;
constexpr double silence_factor = 4;

std::optional<failure_evidence> evidence_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::unreachable:
        return failure_evidence::unreachable;
    case attempt_outcome::broken_before_response:
    case attempt_outcome::broken_response:
        return failure_evidence::broken;
    case attempt_outcome::endpoint_error:
    case attempt_outcome::invalid_response:
    case attempt_outcome::stalled:
        return failure_evidence::failed;
    // Refusals, and ends that the client or the request caused.
    case attempt_outcome::completed:
    case attempt_outcome::unproven_refusal:
    case attempt_outcome::not_run:
    case attempt_outcome::replaced:
    case attempt_outcome::memory_refused:
    case attempt_outcome::paused:
    case attempt_outcome::handover_refused:
    case attempt_outcome::oversized_response:
    case attempt_outcome::timed_out:
    case attempt_outcome::client_gone:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

bool dispatcher::is_trial_of(const dispatch_request& item,
                             const known_endpoint& it) const
{
    const auto now = clock_.now();
    const std::array<std::uint64_t, 2> pair{item.id, it.key};
    const auto hash = XXH64(pair.data(), sizeof(pair), trial_seed);
    const double draw = std::ldexp(static_cast<double>(hash), -64);
    // The failure of a trial must cost the client no more than a retry.
    if (item.is_retry || !item.matched_route->retryable() ||
        item.matched_route->max_attempts < 2 ||
        !estimates_.is_trial_due(it.key, draw, now))
        return false;
    const auto load = load_.load_of(it.key, now);
    if (load.running >= it.description.slots || !has_room(it) ||
        !may_use(item, it, load))
        return false;
    const auto* const service = item.table->service(item.service);
    if (service == nullptr || !service->engine)
        return true;
    const auto& engine = *service->engine;
    return engine.prefill_ms(item.prompt_tokens) <= max_trial_prefill_ms &&
           load.memory_tokens + item.prompt_tokens + item.output_tokens <=
               engine.memory_tokens;
}

std::vector<const known_endpoint*>
dispatcher::selectable(const dispatch_request& item) const
{
    const auto now = clock_.now();
    auto usable = registry_.usable(item.service, now);
    if (estimates_.ejected() == 0)
        return usable;
    std::vector<const known_endpoint*> kept;
    std::size_t takers = 0;
    for (const auto* const it : usable)
    {
        if (!estimates_.is_ejected(it->key))
        {
            kept.push_back(it);
            if (takers < endpoint_estimates::min_remaining &&
                may_use(item, *it, load_.load_of(it->key, now)))
                ++takers;
        }
        else if (is_trial_of(item, *it))
            return {it};
    }
    // With few healthy endpoints, ejected ones take work as well.
    return takers < endpoint_estimates::min_remaining ? usable : kept;
}

double dispatcher::measured_first_token_ms(const dispatch_request& item,
                                           const candidate_list& list,
                                           const placement_choice& choice) const
{
    const auto& it = list.load[choice.chosen.front()];
    // Only streams report their first token. With helpers or a backlog, the
    // time depends on other endpoints or requests.
    if (!options_.endpoint_estimates ||
        item.matched_route->kind != request_kind::streaming ||
        choice.chosen.size() > 1 || it.load.helper_prefills > 0 ||
        it.load.backlog_ms > choice.segment_ms)
        return 0;
    return choice.first_token_ms / it.slowdown;
}

void dispatcher::record_speed(running_request& work)
{
    const double expected_ms = std::exchange(work.expected_first_token_ms, 0);
    if (expected_ms <= 0)
        return;
    const auto now = clock_.now();
    estimates_.on_first_token(work.primary,
                              static_cast<double>(now - work.placed_at),
                              expected_ms, now);
}

void dispatcher::record_reliability(const running_request& work,
                                    const attempt_result& result)
{
    // A partitioned node learns nothing of the endpoints.
    if (!options_.endpoint_estimates || partition_.is_partitioned())
        return;
    const auto now = clock_.now();
    const auto waited = now - work.placed_at;
    if (work.expected_first_token_ms > 0 && result.events == 0 &&
        result.connected && waited >= min_silence &&
        static_cast<double>(waited) >=
            silence_factor * work.expected_first_token_ms &&
        result.outcome != attempt_outcome::completed)
        estimates_.on_first_token(work.primary, static_cast<double>(waited),
                                  work.expected_first_token_ms, now);
    if (result.outcome == attempt_outcome::completed)
        estimates_.on_success(work.primary, now);
    else if (const auto evidence = evidence_of(result.outcome);
             evidence && !crashes_.is_quarantined(work.fingerprint, now))
        estimates_.on_failure(failed_endpoint(work, result), *evidence, now);
    evaluate_estimates();
}

void dispatcher::update_members()
{
    if (!options_.endpoint_estimates)
        return;
    std::vector<endpoint_estimates::member> members;
    for (const auto& [id, it] : registry_.all())
        if (!it.description.draining)
            members.push_back(
                {.key = it.key, .service = it.description.service});
    estimates_.set_members(members);
    evaluate_estimates();
}

void dispatcher::record_peer_estimates(const std::string& node,
                                       const wire::work_update& message)
{
    if (!options_.endpoint_estimates || message.estimates_size() == 0)
        return;
    const auto now = clock_.now();
    for (const auto& it : message.estimates())
        estimates_.on_peer_estimate(node, read_estimate(it, now), now);
    evaluate_estimates();
}

void dispatcher::write_estimates(wire::work_update& update) const
{
    // What a partitioned node fails to reach may be sound.
    if (!options_.endpoint_estimates || partition_.is_partitioned())
        return;
    const auto now = clock_.now();
    for (const auto& it : estimates_.own(now))
        write_estimate(it, now, *update.add_estimates());
}

void dispatcher::evaluate_estimates()
{
    const auto now = clock_.now();
    const auto changes = estimates_.evaluate(now);
    if (changes.empty())
        return;
    for (const auto& it : changes)
    {
        const auto* const known = registry_.find(it.key);
        if (known == nullptr)
            continue;
        const auto& description = known->description;
        log_.write(
            it.ejected ? log_event::endpoint_ejected
                       : log_event::endpoint_reinstated,
            {{"endpoint", std::string_view(description.id)},
             {"failure_domain", std::string_view(description.failure_domain)},
             {"failure_rate", it.failure_rate},
             {"attempts", it.attempts},
             {"trials_in_ms", it.time_out},
             {"ejected", static_cast<std::int64_t>(estimates_.ejected())}});
    }
    wire::work_update update;
    write_estimates(update);
    announce(std::move(update));
}

std::string dispatcher::describe_estimates() const
{
    const auto now = clock_.now();
    auto rows = nlohmann::ordered_json::array();
    for (const auto& it : estimates_.all(now))
    {
        const auto* const known = registry_.find(it.key);
        if (known == nullptr)
            continue;
        nlohmann::ordered_json row{
            {"endpoint", known->description.id},
            {"service", known->description.service},
            {"slowdown", it.slowdown},
            {"failure_rate", it.failure_rate},
            {"attempts", it.attempts},
            {"peer_attempts", it.peer_attempts},
            {"state", it.ejected_at ? "ejected" : "in_use"},
            {"ejected_for_ms", it.ejected_at ? now - *it.ejected_at : 0},
            {"trials_in_ms", std::max(it.trials_from - now, 0_ms)}};
        rows.push_back(std::move(row));
    }
    return nlohmann::ordered_json{{"endpoints", std::move(rows)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace galenapulley
