#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// A node that is partitioned from the endpoints hands its requests over to
// nodes that reach them.

namespace galenapulley
{

namespace
{

/// Endpoints that are probed at a time.
constexpr std::size_t probes_at_once = partition_detector::regained_endpoints;
/// Another node may serve the client at once.
constexpr msec retry_after_partition = 100;

} // namespace

void dispatcher::write_contact(wire::work_update& update) const
{
    update.set_partitioned(partition_.is_partitioned());
    if (const auto contact = partition_.last_contact())
        update.set_contact_age_ms(static_cast<std::uint32_t>(
            std::max(clock_.now() - *contact, 0_ms)));
}

void dispatcher::announce(wire::work_update update)
{
    write_contact(update);
    announce_(update);
}

std::optional<dispatch_refusal>
dispatcher::early_refusal(const dispatch_request& item)
{
    if (auto refusal = quarantine_refusal(item))
        return refusal;
    if (auto refusal = partition_refusal(item))
        return refusal;
    return pause_refusal(item);
}

std::optional<dispatch_refusal>
dispatcher::partition_refusal(const dispatch_request& item) const
{
    if (!partition_.is_partitioned() || item.may_hand_over)
        return std::nullopt;
    // Without a node that reaches the endpoints, they are down for all.
    const bool others_reach_them =
        handover_targets_.choose(*partition_.partitioned_at(), clock_.now(),
                                 0) != nullptr;
    if (!item.is_relayed && !others_reach_them)
        return std::nullopt;
    return dispatch_refusal{.kind = error_kind::isolated,
                            .reason = "this node reaches no endpoint",
                            .retry_after = retry_after_partition};
}

void dispatcher::record_peer_contact(const std::string& node,
                                     const wire::work_update& message)
{
    std::optional<msec> contact_at;
    if (message.has_contact_age_ms())
        contact_at = clock_.now() - message.contact_age_ms();
    handover_targets_.on_report(node, contact_at, message.partitioned());
}

std::optional<handover>
dispatcher::choose_peer(const dispatch_request& item) const
{
    if (!partition_.is_partitioned() || !item.may_hand_over)
        return std::nullopt;
    const auto draw = XXH64(&item.id, sizeof(item.id), 0);
    const auto* const chosen = handover_targets_.choose(
        *partition_.partitioned_at(), clock_.now(), draw);
    if (chosen == nullptr)
        return std::nullopt;
    return handover{.node = chosen->first, .address = chosen->second.address};
}

void dispatcher::hand_over(const dispatch_request& item, handover to,
                           const result_callback& done)
{
    log_.write(log_event::handed_over,
               {{"request", std::string_view(item.attempt)},
                {"service", std::string_view(item.service)},
                {"peer", std::string_view(to.node)},
                {"waited_ms", clock_.now() - item.received_at}});
    running_.emplace(item.id, running_request{.attempt = item.attempt,
                                              .placed_at = clock_.now(),
                                              .handed_to = to.node});
    done(std::move(to));
}

void dispatcher::record_handover(const running_request& work,
                                 const attempt_result& result)
{
    if (result.outcome == attempt_outcome::unreachable ||
        result.outcome == attempt_outcome::handover_refused)
        handover_targets_.on_refused(work.handed_to);
}

void dispatcher::record_connection(const running_request& work,
                                   const attempt_result& result)
{
    const auto endpoints = registry_.all().size();
    if (result.connected)
        on_partition_change(
            partition_.on_connected(work.primary, work.placed_at, endpoints));
    else if (result.outcome == attempt_outcome::unreachable)
        on_partition_change(
            partition_.on_unreachable(failed_endpoint(work, result),
                                      work.placed_at, clock_.now(), endpoints));
}

void dispatcher::on_partition_change(partition_detector::change change)
{
    if (change == partition_detector::change::none)
        return;
    const bool began = change == partition_detector::change::began;
    log_.write(
        began ? log_event::partitioned : log_event::partition_ended,
        {{"endpoints", static_cast<std::int64_t>(registry_.all().size())},
         {"peers", static_cast<std::int64_t>(handover_targets_.size())}});
    if (began)
        probe_endpoints();
    else
    {
        registry_.on_partition_end();
        estimates_.forget_own_results();
    }
    announce({});
    place_waiting();
}

void dispatcher::probe_endpoints()
{
    if (!partition_.is_partitioned())
        return;
    std::vector<const known_endpoint*> all;
    for (const auto& [id, it] : registry_.all())
        all.push_back(&it);
    const auto n = std::min(probes_at_once, all.size());
    for (std::size_t k = 0; k < n; ++k)
    {
        ++probes_;
        const auto draw = XXH64(&probes_, sizeof(probes_), 0);
        std::swap(all[k], all[k + draw % (all.size() - k)]);
        probe_(all[k]->key, all[k]->description.address);
    }
}

void dispatcher::on_probe(endpoint_key key, msec began_at, bool connected)
{
    const auto endpoints = registry_.all().size();
    on_partition_change(connected
                            ? partition_.on_connected(key, began_at, endpoints)
                            : partition_.on_unreachable(
                                  key, began_at, clock_.now(), endpoints));
}

} // namespace galenapulley
