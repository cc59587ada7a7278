#include "galenapulley/fleet_load.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace galenapulley
{

namespace
{

/// Span of endpoint_load::recent.
constexpr msec recent_window = 1_sec;

} // namespace

void fleet_load::add(placed_work work, msec now)
{
    const auto known = work_.find(work.request);
    if (known != work_.end())
    {
        if (known->second.endpoints == work.endpoints)
        {
            if (work.writing)
                on_first_event(work.request, now);
            return;
        }
        remove(work.request, now);
    }
    for (const auto key : work.endpoints)
    {
        auto& it = lanes_[key];
        it.requests.push_back(work.request);
        std::erase_if(it.placed,
                      [now](msec at) { return at <= now - recent_window; });
        if (key == work.endpoints.front())
            it.placed.push_back(now);
        if (work.writing)
            continue;
        it.reads.push_back({.request = work.request, .part_ms = work.part_ms});
        it.busy_until =
            std::max(it.busy_until, static_cast<double>(now)) + work.part_ms;
    }
    work_.emplace(work.request, std::move(work));
}

void fleet_load::finish_read(lane& value, std::uint64_t request, msec now)
{
    const auto it = std::find_if(value.reads.begin(), value.reads.end(),
                                 [request](const read& item)
                                 { return item.request == request; });
    if (it == value.reads.end())
        return;
    value.reads.erase(it);
    // What is left to read bounds the backlog from above.
    double left = 0;
    for (const auto& item : value.reads)
        left += item.part_ms;
    value.busy_until =
        std::min(value.busy_until, static_cast<double>(now) + left);
}

void fleet_load::forget_read(const placed_work& work, msec now)
{
    for (const auto key : work.endpoints)
        finish_read(lanes_[key], work.request, now);
}

void fleet_load::on_first_event(std::uint64_t request, msec now)
{
    const auto it = work_.find(request);
    if (it == work_.end() || it->second.writing)
        return;
    it->second.writing = true;
    forget_read(it->second, now);
}

void fleet_load::remove(std::uint64_t request, msec now)
{
    const auto it = work_.find(request);
    if (it == work_.end())
        return;
    if (!it->second.writing)
        forget_read(it->second, now);
    for (const auto key : it->second.endpoints)
    {
        std::erase(lanes_[key].requests, request);
        if (lanes_[key].requests.empty())
            lanes_.erase(key);
    }
    work_.erase(it);
}

void fleet_load::replace_node(const std::string& node,
                              std::vector<placed_work> work, msec now)
{
    std::unordered_set<std::uint64_t> kept;
    for (const auto& it : work)
        kept.insert(it.request);
    std::vector<std::uint64_t> gone;
    for (const auto& [request, it] : work_)
        if (it.node == node && !kept.contains(request))
            gone.push_back(request);
    for (const auto request : gone)
        remove(request, now);
    for (auto& it : work)
        add(std::move(it), now);
}

void fleet_load::remove_node(const std::string& node, msec now)
{
    replace_node(node, {}, now);
}

endpoint_load fleet_load::load_of(endpoint_key key, msec now) const
{
    endpoint_load load;
    const auto it = lanes_.find(key);
    if (it == lanes_.end())
        return load;
    load.backlog_ms =
        it->second.reads.empty()
            ? 0
            : std::max(0.0, it->second.busy_until - static_cast<double>(now));
    load.recent = static_cast<std::uint32_t>(
        std::count_if(it->second.placed.begin(), it->second.placed.end(),
                      [now](msec at) { return at > now - recent_window; }));
    for (const auto request : it->second.requests)
    {
        const auto& work = work_.at(request);
        if (work.endpoints.front() != key)
        {
            load.helping += work.writing ? 0 : 1;
            continue;
        }
        ++load.running;
        load.reading += work.writing ? 0 : 1;
        load.memory_tokens += work.prompt_tokens + work.output_tokens;
        load.context_tokens += work.prompt_tokens;
        load.writers.push_back(
            {.gap_target = work.gap_target, .value = work.value});
    }
    return load;
}

const placed_work* fleet_load::find(std::uint64_t request) const
{
    const auto it = work_.find(request);
    return it == work_.end() ? nullptr : &it->second;
}

std::vector<const placed_work*>
fleet_load::work_of(const std::string& node) const
{
    std::vector<const placed_work*> out;
    for (const auto& [request, it] : work_)
        if (it.node == node)
            out.push_back(&it);
    return out;
}

} // namespace galenapulley
