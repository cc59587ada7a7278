#include "galenapulley/fleet_load.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace galenapulley
{

namespace
{

/// Span of endpoint_load::recent_placements.
constexpr msec recent_window = 1_sec;

} // namespace

void fleet_load::add(placed_work work, msec now)
{
    const auto known = work_.find(work.request);
    if (known != work_.end())
    {
        if (known->second.endpoints == work.endpoints)
        {
            if (work.decoding)
                on_first_token(work.request, now);
            return;
        }
        remove(work.request, now);
    }
    placements_.add(work.endpoints.front(), now);
    for (const auto key : work.endpoints)
    {
        auto& it = queues_[key];
        advance(it, now);
        it.requests.push_back(work.request);
        if (work.decoding)
            continue;
        const prefill item{.request = work.request,
                           .left_ms = work.segment_ms,
                           .split = work.split()};
        it.prefills.insert(item.split ? it.prefills.begin() : it.prefills.end(),
                           item);
    }
    work_.emplace(work.request, std::move(work));
}

std::vector<fleet_load::prefill>
fleet_load::prefills_at(const endpoint_queue& queue, msec now)
{
    auto prefills = queue.prefills;
    auto spent = static_cast<double>(std::max(now - queue.advanced_to, 0_ms));
    for (auto& it : prefills)
    {
        const auto done = std::min(spent, it.left_ms);
        it.left_ms -= done;
        spent -= done;
    }
    return prefills;
}

void fleet_load::advance(endpoint_queue& queue, msec now)
{
    queue.prefills = prefills_at(queue, now);
    queue.advanced_to = now;
}

void fleet_load::remove_prefill(const placed_work& work, msec now)
{
    for (const auto key : work.endpoints)
    {
        auto& it = queues_[key];
        advance(it, now);
        std::erase_if(it.prefills, [&work](const prefill& item)
                      { return item.request == work.request; });
    }
}

void fleet_load::on_first_token(std::uint64_t request, msec now)
{
    const auto it = work_.find(request);
    if (it == work_.end() || it->second.decoding)
        return;
    it->second.decoding = true;
    remove_prefill(it->second, now);
}

void fleet_load::remove(std::uint64_t request, msec now)
{
    const auto it = work_.find(request);
    if (it == work_.end())
        return;
    if (!it->second.decoding)
        remove_prefill(it->second, now);
    for (const auto key : it->second.endpoints)
    {
        std::erase(queues_[key].requests, request);
        if (queues_[key].requests.empty())
            queues_.erase(key);
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

void fleet_load::add_memory(endpoint_load& load, const placed_work& work,
                            endpoint_key key)
{
    if (work.reserved_tokens.empty())
    {
        if (work.endpoints.front() != key)
            return;
        load.memory_tokens += work.prompt_tokens + work.output_tokens;
        load.context_tokens += work.prompt_tokens;
        return;
    }
    const auto it =
        std::find(work.endpoints.begin(), work.endpoints.end(), key);
    const auto n = static_cast<std::size_t>(it - work.endpoints.begin());
    if (n >= work.reserved_tokens.size())
        return;
    load.memory_tokens += work.reserved_tokens[n];
    // In each step the primary endpoint waits for the endpoint that holds most.
    load.context_tokens += n == 0
                               ? *std::max_element(work.reserved_tokens.begin(),
                                                   work.reserved_tokens.end())
                               : work.reserved_tokens[n];
}

endpoint_load fleet_load::load_of(endpoint_key key, msec now) const
{
    endpoint_load load;
    load.recent_placements = placements_.count(key, recent_window, now);
    const auto it = queues_.find(key);
    if (it == queues_.end())
        return load;
    for (const auto& item : prefills_at(it->second, now))
    {
        const auto& work = work_.at(item.request);
        load.backlog_ms += item.left_ms;
        load.split_backlog_ms += item.split ? item.left_ms : 0;
        load.pending_prefills.push_back(
            {.value = work.value,
             .finish_ms = load.backlog_ms,
             .due_in_ms = static_cast<double>(work.first_token_due_at - now),
             .first_token_target_ms =
                 static_cast<double>(work.first_token_target)});
    }
    for (const auto request : it->second.requests)
    {
        const auto& work = work_.at(request);
        add_memory(load, work, key);
        if (work.endpoints.front() != key)
        {
            load.helper_prefills += work.decoding ? 0 : 1;
            continue;
        }
        ++load.running;
        load.decoding_requests.push_back(
            {.token_gap_target = work.token_gap_target, .value = work.value});
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
