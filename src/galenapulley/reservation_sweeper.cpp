#include "galenapulley/reservation_sweeper.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec deadline_grace = 5000;
// Younger reservations are rarely orphaned; querying them would only cost
// messages.
constexpr msec min_query_age = 2000;
constexpr msec query_interval = 10'000;
constexpr msec silence_ttls = 3;
/// A node's lease row is read once the node has been silent for a quarter of
/// the TTL. The time for which the row is unchanged then counts almost from the
/// node's failure.
constexpr msec lease_read_divisor = 4;
constexpr std::size_t max_ids_per_query = 100;

template <typename Number>
bool parse_number(std::string_view text, Number& out)
{
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, out);
    return !text.empty() && result.ec == std::errc{} && result.ptr == end;
}

} // namespace

std::optional<reservation_holder> holder_of(const std::string& id)
{
    // The node's name may contain dots; the two numbers after it don't.
    const auto request_dot = id.rfind('.');
    if (request_dot == std::string::npos || request_dot == 0)
        return std::nullopt;
    const auto incarnation_dot = id.rfind('.', request_dot - 1);
    if (incarnation_dot == std::string::npos || incarnation_dot == 0)
        return std::nullopt;
    const std::string_view text = id;
    reservation_holder holder{.node = id.substr(0, incarnation_dot),
                              .incarnation = 0};
    std::uint64_t request = 0;
    if (!parse_number(
            text.substr(incarnation_dot + 1, request_dot - incarnation_dot - 1),
            holder.incarnation) ||
        !parse_number(text.substr(request_dot + 1), request))
        return std::nullopt;
    return holder;
}

sweep_actions reservation_sweeper::sweep(const std::string& engine,
                                         const std::vector<reservation>& list,
                                         msec now)
{
    reset_after_pause(now);
    auto& listed = engines_[engine];
    merge(listed, list, now);
    sweep_actions actions;
    for (const auto& [id, it] : listed)
        if (is_orphan(id, it, now))
            actions.releases.push_back({.engine = engine, .id = id});
    collect_queries(listed, actions, now);
    remove_unused_nodes();
    collect_lease_reads(actions, now);
    return actions;
}

// After a pause of this process, missing heartbeats don't prove that a node is
// silent, so the observations start again.
void reservation_sweeper::reset_after_pause(msec now)
{
    if (called_ && now - last_call_ > ttl_)
        for (auto& [node, state] : nodes_)
        {
            state.last_heard = now;
            state.lease_known = false;
        }
    called_ = true;
    last_call_ = now;
}

void reservation_sweeper::merge(listed_reservations& listed,
                                const std::vector<reservation>& list, msec now)
{
    listed_reservations merged;
    for (const auto& it : list)
    {
        listed_reservation fresh{.last_age = it.age,
                                 .deadline = now + it.deadline_left,
                                 .first_query_id = 0,
                                 .last_query_at = 0};
        const auto old = listed.find(it.id);
        // A lower age means that the id was released and then reserved again.
        if (old != listed.end() && old->second.last_age <= it.age)
        {
            fresh.first_query_id = old->second.first_query_id;
            fresh.last_query_at = old->second.last_query_at;
            // An engine may report 0 for every deadline that has passed.
            if (it.deadline_left <= 0)
                fresh.deadline = std::min(fresh.deadline, old->second.deadline);
        }
        merged[it.id] = fresh;
        if (const auto holder = holder_of(it.id))
            nodes_.try_emplace(holder->node, node_state{.newest_incarnation = 0,
                                                        .last_heard = now,
                                                        .lease_known = false,
                                                        .renewal = 0,
                                                        .unchanged_since = 0,
                                                        .last_read = 0});
    }
    listed = std::move(merged);
}

bool reservation_sweeper::is_orphan(const std::string& id,
                                    const listed_reservation& listed,
                                    msec now) const
{
    if (now > listed.deadline + deadline_grace)
        return true;
    const auto holder = holder_of(id);
    if (!holder)
        return false;
    const auto state = nodes_.find(holder->node);
    return state != nodes_.end() &&
           (state->second.newest_incarnation > holder->incarnation ||
            is_silent(state->second, now));
}

bool reservation_sweeper::is_silent(const node_state& state, msec now) const
{
    return now - state.last_heard >= silence_ttls * ttl_ && state.lease_known &&
           now - state.last_read <= ttl_ &&
           state.last_read - state.unchanged_since >= silence_ttls * ttl_;
}

void reservation_sweeper::collect_queries(listed_reservations& listed,
                                          sweep_actions& actions, msec now)
{
    std::map<std::string, std::size_t> open_queries;
    for (auto& [id, it] : listed)
    {
        const auto holder = holder_of(id);
        const auto queried_recently =
            it.first_query_id != 0 && now - it.last_query_at < query_interval;
        if (!holder || it.last_age < min_query_age || queried_recently)
            continue;
        const auto [slot, is_new] =
            open_queries.try_emplace(holder->node, actions.queries.size());
        if (is_new || actions.queries[slot->second].reservations.size() >=
                          max_ids_per_query)
        {
            slot->second = actions.queries.size();
            actions.queries.push_back({.id = ++last_query_id_,
                                       .node = holder->node,
                                       .reservations = {}});
        }
        auto& query = actions.queries[slot->second];
        query.reservations.push_back(id);
        it.last_query_at = now;
        if (it.first_query_id == 0)
            it.first_query_id = query.id;
    }
}

void reservation_sweeper::collect_lease_reads(sweep_actions& actions,
                                              msec now) const
{
    for (const auto& [node, state] : nodes_)
        if (now - state.last_heard >= ttl_ / lease_read_divisor)
            actions.lease_reads.push_back(node);
}

sweep_actions reservation_sweeper::on_holder_answer(
    std::int64_t query_id, const reservation_holder& from,
    const std::vector<std::string>& not_held, msec now)
{
    on_node_alive(from, now);
    sweep_actions actions;
    for (const auto& id : not_held)
    {
        if (holder_of(id) != from)
            continue;
        for (auto& [engine, listed] : engines_)
        {
            const auto it = listed.find(id);
            // Answers to queries from before the reservation was first listed
            // are ignored.
            if (it == listed.end() || it->second.first_query_id == 0 ||
                query_id < it->second.first_query_id ||
                query_id > last_query_id_)
                continue;
            actions.releases.push_back({.engine = engine, .id = id});
            listed.erase(it);
        }
    }
    return actions;
}

void reservation_sweeper::on_node_alive(const reservation_holder& from,
                                        msec now)
{
    reset_after_pause(now);
    const auto it = nodes_.find(from.node);
    if (it == nodes_.end())
        return;
    auto& state = it->second;
    state.last_heard = now;
    state.newest_incarnation =
        std::max(state.newest_incarnation, from.incarnation);
}

void reservation_sweeper::on_lease_read(const reservation_holder& from,
                                        std::int64_t renewal, msec now)
{
    reset_after_pause(now);
    const auto it = nodes_.find(from.node);
    if (it == nodes_.end())
        return;
    auto& state = it->second;
    const auto newer = from.incarnation > state.newest_incarnation;
    state.newest_incarnation =
        std::max(state.newest_incarnation, from.incarnation);
    // A long gap between reads means that the store was unreachable.
    if (!state.lease_known || newer || state.renewal != renewal ||
        now - state.last_read > ttl_)
        state.unchanged_since = now;
    state.lease_known = true;
    state.renewal = renewal;
    state.last_read = now;
}

void reservation_sweeper::remove_engine(const std::string& engine)
{
    engines_.erase(engine);
    remove_unused_nodes();
}

void reservation_sweeper::remove_unused_nodes()
{
    std::set<std::string> used;
    for (const auto& [engine, listed] : engines_)
        for (const auto& [id, it] : listed)
            if (const auto holder = holder_of(id))
                used.insert(holder->node);
    std::erase_if(nodes_,
                  [&](const auto& it) { return used.count(it.first) == 0; });
}

} // namespace galenapulley
