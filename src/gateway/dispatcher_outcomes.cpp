#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "gateway/work_message.hpp"

#include <utility>

// Progress and ends of attempts, and what they say of the endpoints.

namespace galenapulley
{

namespace
{

/// Outcomes that are reported to the other nodes as a failure of the endpoint.
bool is_failure(attempt_outcome outcome)
{
    return outcome == attempt_outcome::unreachable ||
           outcome == attempt_outcome::broken_before_response ||
           outcome == attempt_outcome::broken_response ||
           outcome == attempt_outcome::invalid_response ||
           outcome == attempt_outcome::oversized_response;
}

} // namespace

void dispatcher::on_first_token(std::uint64_t id)
{
    load_.on_first_token(id, clock_.now());
    const auto it = running_.find(id);
    if (it == running_.end())
        return;
    const bool announces = it->second.announce_first_token;
    record_speed(it->second);
    // May place waiting requests, which invalidates the iterator.
    record_connection(it->second, {.connected = true});
    if (!announces)
        return;
    wire::work_update update;
    update.add_first_event(id);
    announce(std::move(update));
}

void dispatcher::on_finished(std::uint64_t id, const attempt_result& result)
{
    const auto it = running_.find(id);
    if (it == running_.end())
        return;
    const auto work = std::move(it->second);
    running_.erase(it);
    if (!work.handed_to.empty())
    {
        record_handover(work, result);
        return;
    }
    record_prefixes(id, work, result);
    load_.remove(id, clock_.now());
    record_connection(work, result);
    if (result.outcome == attempt_outcome::completed && !result.began())
        quarantine_.on_sound(work.shared_parts, clock_.now());
    record_failure(work, result);
    record_reliability(work, result);
    wire::work_update update;
    update.add_ended(id);
    // What a partitioned node fails to reach may be sound.
    if (is_failure(result.outcome) && !partition_.is_partitioned())
        update.add_failed(failed_endpoint(work, result));
    announce(std::move(update));
    place_waiting();
}

endpoint_key dispatcher::failed_endpoint(const running_request& work,
                                         const attempt_result& result)
{
    return result.at_fault == 0 ? work.primary : result.at_fault;
}

void dispatcher::record_failure(const running_request& work,
                                const attempt_result& result)
{
    const auto now = clock_.now();
    const auto failed = failed_endpoint(work, result);
    switch (result.outcome)
    {
    case attempt_outcome::completed:
        registry_.on_success(work.primary);
        return;
    case attempt_outcome::replaced:
        registry_.on_replaced(failed, now);
        break;
    case attempt_outcome::unreachable:
    case attempt_outcome::stalled:
    // An endpoint that still sends hasn't crashed on the request.
    case attempt_outcome::invalid_response:
    case attempt_outcome::oversized_response:
        registry_.on_failure(failed, now);
        break;
    case attempt_outcome::not_run:
        if (result.at_fault == 0)
        {
            registry_.on_capacity_refusal(work.primary, now);
            return;
        }
        registry_.on_failure(result.at_fault, now);
        break;
    case attempt_outcome::memory_refused:
        registry_.on_capacity_refusal(failed, now);
        return;
    case attempt_outcome::paused:
    case attempt_outcome::handover_refused:
        return;
    case attempt_outcome::broken_before_response:
    case attempt_outcome::broken_response:
        registry_.on_failure(work.primary, now);
        record_crash(work, result);
        break;
    case attempt_outcome::endpoint_error:
    case attempt_outcome::unproven_refusal:
    case attempt_outcome::timed_out:
    case attempt_outcome::client_gone:
        return;
    }
    if (const auto* known = registry_.find(failed))
        log_.write(log_event::endpoint_avoided,
                   {{"endpoint", std::string_view(known->description.id)},
                    {"outcome", name_of(result.outcome)},
                    {"failure_domain",
                     std::string_view(known->description.failure_domain)},
                    {"reported_by", std::string_view()},
                    {"failures", static_cast<std::int64_t>(known->failures)},
                    {"until_ms", known->avoid_until - now}});
}

} // namespace galenapulley
