#include "galenapulley/shard_claims.hpp"

#include "galenapulley/service.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec poll_interval = 2000;
// Poll interval while the owner is leaving or suspected: the shard may become
// free at any moment and serves nothing until it is claimed.
constexpr msec missing_owner_interval = 300;
// How long a node of the shard's own zone has to be known before it is handed
// the shard. The new owner starts with cold limits, so this must be rare.
constexpr msec hand_over_delay = 20'000;
// An owner limited to half its allowance polls more often than a candidate.
constexpr msec confirm_interval = 500;
constexpr msec rank_delay = 500;
// A candidate that does not hold its lease yet retries before the candidate of
// the next rank may claim.
constexpr msec unheld_lease_delay = 200;
constexpr std::size_t max_polling_candidates = 3;
// Time for which permits granted before the loss or release of a shard stay
// valid.
constexpr msec permit_use_limit = 2000;

} // namespace

shard_claims::shard_claims(const clock& time, table_service& table,
                           const node_lease& lease, observer events,
                           machine_removed removed)
    : time_(time)
    , table_(table)
    , lease_(lease)
    , events_(std::move(events))
    , machine_removed_(std::move(removed))
{
    set_nodes({});
}

void shard_claims::set_shards(const std::vector<std::string>& shards)
{
    for (auto& [shard, state] : shards_)
        state->configured = false;
    for (const auto& it : shards)
    {
        auto& state = shards_[it];
        if (!state)
            state = std::make_shared<shard_state>();
        state->shard = it;
        state->configured = true;
    }
    for (auto& [shard, state] : shards_)
        if (!state->configured && state->role == shard_role::owner)
            start_release(*state);
    std::erase_if(shards_,
                  [](const auto& it)
                  {
                      return !it.second->configured &&
                             it.second->role == shard_role::none &&
                             it.second->store_phase == phase::idle;
                  });
    rank_all();
}

void shard_claims::set_nodes(const std::vector<known_node>& nodes)
{
    nodes_ = nodes;
    const auto& own = lease_.own();
    const auto is_own = [&](const known_node& it)
    {
        return it.node == own.node;
    };
    if (std::none_of(nodes_.begin(), nodes_.end(), is_own))
        nodes_.push_back({.node = own.node, .zone = own.zone});
    rank_all();
}

void shard_claims::rank_all()
{
    for (auto& [shard, state] : shards_)
    {
        rank(*state);
        if (state->role == shard_role::none && owner_is_missing(*state))
            state->next_poll = std::min(state->next_poll,
                                        time_.now() + missing_owner_interval);
    }
}

void shard_claims::rank(shard_state& state)
{
    const auto order = rank_candidates(state.shard, nodes_);
    const auto& own = lease_.own();
    const auto place = std::find(order.begin(), order.end(), own.node);
    state.rank = place == order.end()
                     ? max_polling_candidates
                     : static_cast<std::size_t>(place - order.begin());
    const auto zone = zone_of_shard(state.shard);
    const auto first = std::find_if(nodes_.begin(), nodes_.end(),
                                    [&](const known_node& it) {
                                        return !order.empty() &&
                                               it.node == order.front() &&
                                               it.zone == zone;
                                    });
    if (own.zone == zone || first == nodes_.end())
    {
        state.local_candidate.reset();
        return;
    }
    if (!state.local_candidate)
        state.local_since = time_.now();
    state.local_candidate = *first;
}

bool shard_claims::owner_is_missing(const shard_state& state) const
{
    return !state.known.node.empty() &&
           std::none_of(nodes_.begin(), nodes_.end(),
                        [&](const known_node& it)
                        { return it.node == state.known.node; });
}

bool shard_claims::may_hand_over(const shard_state& state) const
{
    if (state.role != shard_role::owner || state.store_phase != phase::idle ||
        !state.local_candidate || state.local_candidate->incarnation == 0)
        return false;
    const auto now = time_.now();
    return !releasing_ && held(state) && state.lapsed_owners == 0 &&
           now >= next_hand_over_ &&
           now - std::max(state.local_since, state.claimed_at) >=
               hand_over_delay;
}

void shard_claims::hand_over(shard_state& state)
{
    next_hand_over_ = time_.now() + hand_over_delay;
    start_release(state);
    state.successor = state.local_candidate;
}

void shard_claims::learn_owner(const std::string& shard,
                               const known_owner& owner)
{
    const auto it = shards_.find(shard);
    if (it != shards_.end() && owner.epoch > it->second->known.epoch)
        it->second->known = owner;
}

void shard_claims::tick()
{
    const auto now = time_.now();
    std::vector<state_ptr> due;
    for (auto& [shard, state] : shards_)
        due.push_back(state);
    for (auto& state : due)
    {
        report_changes(*state);
        if (may_hand_over(*state))
            hand_over(*state);
        if (state->store_phase == phase::idle && now >= state->next_poll &&
            wants_poll(*state))
            poll(state);
    }
    check_released();
}

bool shard_claims::held(const shard_state& state) const
{
    return lease_.held(time_.now()) &&
           state.confirmed_generation == lease_.generation();
}

owned_shard shard_claims::describe(const shard_state& state) const
{
    return {.shard = state.shard,
            .epoch = state.epoch,
            .lapsed_owners = state.lapsed_owners,
            .held = held(state),
            .claimed_at = state.claimed_at};
}

std::vector<owned_shard> shard_claims::owned() const
{
    std::vector<owned_shard> list;
    for (const auto& [shard, state] : shards_)
        if (state->role == shard_role::owner)
            list.push_back(describe(*state));
    return list;
}

std::optional<owned_shard>
shard_claims::find_owned(const std::string& shard) const
{
    const auto it = shards_.find(shard);
    if (it == shards_.end() || it->second->role != shard_role::owner)
        return std::nullopt;
    return describe(*it->second);
}

std::optional<known_owner>
shard_claims::owner_of(const std::string& shard) const
{
    const auto it = shards_.find(shard);
    if (it == shards_.end() || it->second->known.node.empty())
        return std::nullopt;
    return it->second->known;
}

bool shard_claims::wants_poll(const shard_state& state) const
{
    switch (state.role)
    {
    case shard_role::owner:
        // A claim by another node makes the lease renewal fail, so a confirmed
        // owner without lapsed predecessors needs no polling.
        return !held(state) || state.lapsed_owners > 0;
    case shard_role::releasing:
    case shard_role::former_owner:
        return true;
    case shard_role::none:
        break;
    }
    return state.configured && !releasing_ &&
           state.rank < max_polling_candidates;
}

void shard_claims::report_changes(shard_state& state)
{
    if (state.role != shard_role::owner)
        return;
    const auto is_held = held(state);
    const auto was_held = std::exchange(state.was_held, is_held);
    if (was_held && !is_held && events_.on_lapsed)
        events_.on_lapsed(state.shard);
    if (!was_held && is_held && events_.on_restored)
        events_.on_restored(describe(state));
}

void shard_claims::on_row(const state_ptr& state,
                          std::optional<std::int64_t> generation,
                          const absl::StatusOr<table_row>& row)
{
    state->store_phase = phase::idle;
    state->next_poll =
        time_.now() +
        (state->role == shard_role::owner ? confirm_interval : poll_interval);
    if (!row.ok())
        return;
    const auto record = row->version == 0 ? std::optional(shard_record{})
                                          : parse_shard(row->value);
    if (!record)
        return;
    state->version = row->version;
    state->row = *record;
    update_known_owner(*state);
    if (state->role == shard_role::none && owner_is_missing(*state))
        state->next_poll = time_.now() + missing_owner_interval;
    if (row_names_this_node(*state))
        act_as_owner(state, generation);
    else if (state->role == shard_role::owner)
        on_ownership_lost(*state);
    else if (state->role != shard_role::none || is_lapsed_owner(*state))
        act_as_former_owner(state);
    else
        act_as_candidate(state);
    check_released();
}

void shard_claims::act_as_owner(const state_ptr& state,
                                std::optional<std::int64_t> generation)
{
    if (state->role == shard_role::releasing)
    {
        auto row = state->row;
        row.node.clear();
        row.incarnation = 0;
        if (state->successor && !releasing_)
        {
            row.node = state->successor->node;
            row.incarnation = state->successor->incarnation;
            ++row.epoch;
        }
        write_row(state, std::move(row));
        return;
    }
    const auto current = generation == lease_.generation();
    if (state->role != shard_role::owner)
    {
        // The claim was committed, but its response was lost.
        become_owner(*state, current ? *generation : -1);
        return;
    }
    if (current)
        state->confirmed_generation = *generation;
    state->lapsed_owners = static_cast<std::uint32_t>(state->row.lapsed.size());
    report_changes(*state);
    if (!state->row.lapsed.empty() && held(*state))
    {
        state->next_poll = time_.now() + poll_interval;
        check_lapsed(state, 0, {});
    }
}

void shard_claims::act_as_former_owner(const state_ptr& state)
{
    if (!is_lapsed_owner(*state))
    {
        state->role = shard_role::none;
        return;
    }
    state->role = shard_role::former_owner;
    if (time_.now() < state->removal_at)
    {
        state->next_poll = state->removal_at;
        return;
    }
    auto row = state->row;
    row.lapsed = without_self(row);
    write_row(state, std::move(row));
}

void shard_claims::act_as_candidate(const state_ptr& state)
{
    if (!state->row.node.empty())
    {
        read_owner_lease(state);
        return;
    }
    if (!state->free_since)
        state->free_since = time_.now();
    if (may_claim_at(*state, *state->free_since))
        claim_free(state, {});
}

void shard_claims::become_owner(shard_state& state,
                                std::int64_t confirmed_generation)
{
    state.role = shard_role::owner;
    state.epoch = state.row.epoch;
    state.lapsed_owners = static_cast<std::uint32_t>(state.row.lapsed.size());
    state.confirmed_generation = confirmed_generation;
    state.claimed_at = time_.now();
    state.free_since.reset();
    state.next_poll = time_.now() + confirm_interval;
    update_known_owner(state);
    if (releasing_ || !state.configured)
    {
        state.role = shard_role::releasing;
        state.next_poll = time_.now();
        return;
    }
    state.was_held = held(state);
    if (events_.on_gained)
        events_.on_gained(describe(state));
}

void shard_claims::on_ownership_lost(shard_state& state)
{
    state.role = shard_role::former_owner;
    state.removal_at = time_.now() + permit_use_limit;
    state.next_poll = state.removal_at;
    if (events_.on_lost)
        events_.on_lost(state.shard, state.epoch);
}

bool shard_claims::row_names_this_node(const shard_state& state) const
{
    const auto& own = lease_.own();
    const auto same_epoch = state.role == shard_role::none ||
                            state.role == shard_role::former_owner ||
                            state.row.epoch == state.epoch;
    return state.row.node == own.node &&
           state.row.incarnation == own.incarnation && same_epoch;
}

std::vector<lapsed_owner>
shard_claims::without_self(const shard_record& row) const
{
    auto list = row.lapsed;
    const auto& own = lease_.own();
    std::erase_if(list,
                  [&](const lapsed_owner& it) { return it.node == own.node; });
    return list;
}

bool shard_claims::is_lapsed_owner(const shard_state& state) const
{
    return without_self(state.row).size() < state.row.lapsed.size();
}

void shard_claims::update_known_owner(shard_state& state)
{
    if (state.row.epoch >= state.known.epoch)
        state.known = {.node = state.row.node, .epoch = state.row.epoch};
}

void shard_claims::on_owner_lease(const state_ptr& state, const table_row& row)
{
    const auto record =
        row.version == 0 ? std::nullopt : parse_lease(row.value);
    if (row.version != 0 && !record)
        return;
    if (!record || record->incarnation > state->row.incarnation)
    {
        // The owner's process has ended.
        if (!state->free_since)
            state->free_since = time_.now();
        if (may_claim_at(*state, *state->free_since))
            claim_free(state, {{row.key, row.version}});
        return;
    }
    state->free_since.reset();
    auto& watch = state->watch;
    if (watch.node != state->row.node ||
        watch.incarnation != record->incarnation ||
        watch.renewal != record->renewal)
        watch = {.node = state->row.node,
                 .incarnation = record->incarnation,
                 .renewal = record->renewal,
                 .since = time_.now()};
    const auto& terms = lease_.own().terms;
    if (may_claim_at(*state, watch.since + terms.ttl + terms.grace))
        claim_from(state, row, *record);
}

bool shard_claims::may_claim_at(shard_state& state, msec instant)
{
    const auto due = instant + static_cast<msec>(state.rank) * rank_delay;
    if (due > time_.now())
    {
        state.next_poll = std::min(state.next_poll, due);
        return false;
    }
    if (!lease_.held(time_.now()))
    {
        state.next_poll =
            std::min(state.next_poll, time_.now() + unheld_lease_delay);
        return false;
    }
    return !releasing_ && state.configured &&
           state.rank < max_polling_candidates;
}

void shard_claims::start_release(shard_state& state)
{
    state.successor.reset();
    state.role = shard_role::releasing;
    state.removal_at = time_.now() + permit_use_limit;
    state.next_poll = time_.now();
    if (events_.on_lost)
        events_.on_lost(state.shard, state.epoch);
}

void shard_claims::release_all(msec timeout, std::function<void()> done)
{
    releasing_ = true;
    release_deadline_ = time_.now() + timeout;
    on_all_released_ = std::move(done);
    for (auto& [shard, state] : shards_)
        if (state->role == shard_role::owner)
            start_release(*state);
    check_released();
}

void shard_claims::check_released()
{
    if (!releasing_ || !on_all_released_)
        return;
    const auto busy =
        std::any_of(shards_.begin(), shards_.end(),
                    [](const auto& it)
                    {
                        return it.second->role != shard_role::none ||
                               it.second->store_phase == phase::writing;
                    });
    if (!busy || time_.now() >= release_deadline_)
        std::exchange(on_all_released_, {})();
}

} // namespace galenapulley
