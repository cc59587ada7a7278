#include "gateway/dispatcher.hpp"

#include <algorithm>
#include <utility>

// Placement of waiting requests. An event, such as the end of a request, does a
// bounded amount of work however many requests wait.

namespace galenapulley
{

namespace
{

/// While endpoints ask for pauses, each visit looks at all endpoints.
constexpr std::size_t visits_in_pauses = 32;
/// Requests that a tick refuses because they waited too long.
constexpr std::size_t max_refusals = 256;
/// Retry-After of requests for which no endpoint became free.
constexpr msec retry_after_wait = 400;
/// Room of a service without a free slot.
constexpr double no_slot = -1;

} // namespace

void dispatcher::cancel(std::uint64_t id)
{
    if (waiting_.erase(id) > 0)
        queue_.remove(id);
}

void dispatcher::refuse_waiting(std::uint64_t id, dispatch_refusal refusal)
{
    const auto it = waiting_.find(id);
    const auto entry = std::move(it->second);
    waiting_.erase(it);
    queue_.remove(id);
    refuse(entry.item, std::move(refusal), entry.done);
}

bool dispatcher::try_place(const dispatch_request& item,
                           const result_callback& done)
{
    placement_turn turn({});
    return try_place(item, done, {}, turn);
}

bool dispatcher::try_place(const dispatch_request& item,
                           const result_callback& done,
                           const placement_need& need, placement_turn& turn)
{
    if (auto to = choose_peer(item))
    {
        hand_over(item, *std::move(to), done);
        return true;
    }
    const auto list = candidates(item);
    const auto choice = choose(item, list);
    if (!choice)
    {
        // A partitioned node may hand others over that need as much room.
        const auto room =
            partition_.is_partitioned() ? std::nullopt : room_for(item, list);
        if (room)
            turn.on_room(need, *room);
        return false;
    }
    grant(item, list, *choice, done);
    return true;
}

std::optional<double> dispatcher::room_for(const dispatch_request& item,
                                           const candidate_list& list)
{
    // Other requests may use the endpoints that this one has tried.
    if (!item.tried.empty())
        return std::nullopt;
    const auto* const service = item.table->service(item.service);
    const bool has_engine = service != nullptr && service->engine;
    double room = no_slot;
    for (const auto& it : list.load)
    {
        if (!it.may_be_primary || it.load.running >= it.slots)
            continue;
        // Without an engine the request had found this slot.
        if (!has_engine)
            return std::nullopt;
        room =
            std::max({room, 0.0,
                      service->engine->memory_tokens - it.load.memory_tokens});
    }
    return room;
}

bool dispatcher::place(std::uint64_t id, const placement_need& need,
                       placement_turn& turn)
{
    const auto& it = waiting_.at(id);
    if (!try_place(it.item, it.done, need, turn))
        return false;
    queue_.remove(id);
    waiting_.erase(id);
    return true;
}

placement_need dispatcher::need_of(const dispatch_request& item)
{
    placement_need out{.table = item.table.get(),
                       .service = item.service,
                       .tokens = item.prompt_tokens + item.output_tokens};
    const auto* const service = item.table->service(item.service);
    if (service == nullptr || !service->engine)
        return out;
    const auto& engine = *service->engine;
    out.is_distributed = is_distributed(engine, item);
    out.is_split = is_split(engine, item);
    return out;
}

dispatcher::turn_result dispatcher::run_turn(std::optional<placement_rank> from)
{
    const auto began_at = clock_.now();
    placement_turn_limits limits;
    if (announcements_.any_paused(began_at))
        limits.visits = visits_in_pauses;
    placement_turn turn(limits);
    turn_result out;
    const auto postpone = [&out](const placement_rank& at)
    {
        if (!out.left)
            out.left = at;
    };
    for (auto at = from; at; at = queue_.after(*at))
    {
        if (!turn.visit())
        {
            postpone(*at);
            break;
        }
        const auto& item = waiting_.at(at->request).item;
        if (auto refusal = early_refusal(item))
        {
            refuse_waiting(at->request, *std::move(refusal));
            continue;
        }
        if (is_deferred(item))
            continue;
        const auto need = need_of(item);
        const auto decision = turn.decide(need);
        if (decision == placement_turn::decision::postpone)
            postpone(*at);
        else if (decision == placement_turn::decision::attempt)
            out.placed |= place(at->request, need, turn);
    }
    count_turn(turn, clock_.now() - began_at, out.left.has_value());
    return out;
}

void dispatcher::count_turn(const placement_turn& turn, msec elapsed,
                            bool is_unfinished)
{
    placing_.longest_ms = std::max(placing_.longest_ms, elapsed);
    placing_.most_attempts = std::max(placing_.most_attempts, turn.attempts());
    placing_.attempts += turn.attempts();
    placing_.unfinished_turns += is_unfinished ? 1 : 0;
}

void dispatcher::place_waiting()
{
    refresh_shares();
    queue_.advance(clock_.now());
    const auto turn = run_turn(queue_.first());
    if (!turn.left)
        sweep_at_ = std::nullopt;
    else if (!sweep_at_)
        sweep_at_ = turn.left;
    continue_after(turn);
}

void dispatcher::continue_after(const turn_result& turn)
{
    // If nothing was placed, the rest waits for the next tick.
    if (!turn.left || !turn.placed)
        return;
    if (!std::exchange(continue_at_, turn.left))
        continue_();
}

void dispatcher::continue_placing()
{
    const auto from = std::exchange(continue_at_, std::nullopt);
    if (!from)
        return;
    queue_.advance(clock_.now());
    continue_after(run_turn(queue_.at_or_after(*from)));
}

void dispatcher::tick()
{
    if (queue_.empty())
        return;
    place_waiting();
    if (sweep_at_)
    {
        const auto turn = run_turn(queue_.at_or_after(*sweep_at_));
        sweep_at_ = turn.left;
        continue_after(turn);
    }
    for (const auto id : queue_.unservable(clock_.now(), max_refusals))
        refuse_waiting(id, {.kind = error_kind::overloaded,
                            .reason = "no endpoint became free in time",
                            .retry_after = retry_after_wait});
}

} // namespace galenapulley
