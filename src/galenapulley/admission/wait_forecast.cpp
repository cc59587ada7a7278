#include "galenapulley/admission/wait_forecast.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace galenapulley
{

namespace
{

/// Weight of the latest result in the averages.
constexpr double latest_weight = 0.1;
/// Largest relative error that is averaged: one stalled endpoint must not spoil
/// the average.
constexpr double max_error = 3;

void average(double& value, double latest)
{
    value += latest_weight * (latest - value);
}

} // namespace

prompt_length length_of(double prefill_ms, double gap_target_ms)
{
    return prefill_ms <= gap_target_ms ? prompt_length::brief
                                       : prompt_length::lengthy;
}

first_token_forecast
wait_forecast::forecast(const forecast_request& item,
                        std::span<const endpoint_room> endpoints) const
{
    service_state state;
    if (const auto it = services_.find(item.service); it != services_.end())
        state = it->second;
    double free = 0;
    double running = 0;
    double backlog = 0;
    double least = std::numeric_limits<double>::infinity();
    for (const auto& it : endpoints)
    {
        free += it.slots > it.running ? it.slots - it.running : 0;
        running += it.running;
        backlog += it.backlog_ms;
        if (it.running < it.slots)
            least = std::min(least, it.backlog_ms);
    }
    const auto count =
        static_cast<double>(std::max<std::size_t>(1, endpoints.size()));
    const auto ahead = static_cast<double>(state.waiting);
    // Behind others the prefills ahead spread over all endpoints.
    const double prefill_wait =
        ahead == 0 && std::isfinite(least)
            ? least
            : (backlog + state.waiting_prefill_ms) / count;
    const double slot_wait = running > 0 ? std::max(0.0, ahead + 1 - free) *
                                               state.occupancy_ms / running
                                         : 0;
    const auto& learned =
        state.classes.at(static_cast<std::size_t>(item.length));
    const double wait = std::max(prefill_wait, slot_wait);
    const auto segments = std::clamp<std::size_t>(
        item.max_segments, 1, std::max<std::size_t>(1, endpoints.size()));
    const double service =
        item.pass_ms + item.prefill_ms / static_cast<double>(segments);
    const double wait_ms = learned.wait.ratio() * wait;
    const double expected_ms = wait_ms + learned.service.ratio() * service;
    return {.expected_ms = expected_ms,
            .error_ms = learned.error * expected_ms,
            .uncorrected_wait_ms = wait,
            .uncorrected_service_ms = service,
            .wait_ms = wait_ms,
            .has_free_slot = free > 0,
            .is_known = state.occupancy_ms > 0 || ahead < free};
}

void wait_forecast::correction::add(double observed, double uncorrected)
{
    observed_ms = (1 - latest_weight) * observed_ms + observed;
    uncorrected_ms = (1 - latest_weight) * uncorrected_ms + uncorrected;
}

wait_forecast::class_state&
wait_forecast::class_of(const forecast_request& item)
{
    return services_[item.service].classes.at(
        static_cast<std::size_t>(item.length));
}

std::size_t wait_forecast::waiting(const std::string& service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second.waiting;
}

void wait_forecast::on_waiting(const forecast_request& item,
                               const first_token_forecast& made, msec now)
{
    remove_waiting(item.id);
    auto& state = services_[item.service];
    ++state.waiting;
    state.waiting_prefill_ms += item.prefill_ms;
    waiting_.emplace(
        item.id, pending_forecast{.item = item, .made = made, .began_at = now});
}

void wait_forecast::remove_waiting(std::uint64_t id)
{
    const auto it = waiting_.find(id);
    if (it == waiting_.end())
        return;
    auto& state = services_.at(it->second.item.service);
    --state.waiting;
    state.waiting_prefill_ms =
        state.waiting == 0
            ? 0
            : state.waiting_prefill_ms - it->second.item.prefill_ms;
    waiting_.erase(it);
}

void wait_forecast::on_dropped(std::uint64_t id)
{
    remove_waiting(id);
}

void wait_forecast::on_placed(std::uint64_t id, const std::string& service,
                              msec now)
{
    if (const auto it = waiting_.find(id);
        it != waiting_.end() && it->second.made.is_known)
    {
        auto made = it->second;
        made.placed_at = now;
        class_of(made.item).wait.add(static_cast<double>(now - made.began_at),
                                     made.made.uncorrected_wait_ms);
        unconfirmed_.insert_or_assign(id, std::move(made));
    }
    remove_waiting(id);
    placed_.insert_or_assign(
        id, placed_request{.service = service, .placed_at = now});
}

void wait_forecast::on_first_token(std::uint64_t id, msec now)
{
    const auto it = unconfirmed_.find(id);
    if (it == unconfirmed_.end())
        return;
    const auto& [item, made, began_at, placed_at] = it->second;
    auto& learned = class_of(item);
    learned.service.add(static_cast<double>(now - placed_at),
                        made.uncorrected_service_ms);
    const auto observed = static_cast<double>(now - began_at);
    average(learned.error,
            std::min(max_error, std::abs(observed - made.expected_ms) /
                                    std::max(1.0, made.expected_ms)));
    unconfirmed_.erase(it);
}

void wait_forecast::on_ended(std::uint64_t id, msec now)
{
    remove_waiting(id);
    unconfirmed_.erase(id);
    const auto it = placed_.find(id);
    if (it == placed_.end())
        return;
    auto& occupancy = services_[it->second.service].occupancy_ms;
    const auto latest = static_cast<double>(now - it->second.placed_at);
    if (occupancy <= 0)
        occupancy = latest;
    else
        average(occupancy, latest);
    placed_.erase(it);
}

} // namespace galenapulley
