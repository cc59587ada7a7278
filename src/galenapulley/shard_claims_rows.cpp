// Table reads and writes of shard_claims.
#include "galenapulley/shard_claims.hpp"

#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec store_timeout = 1000;
// Delay before the row is read again after a failed or conflicting write.
constexpr msec conflict_delay = 100;

} // namespace

void shard_claims::poll(const state_ptr& state)
{
    // Only a read sent while the lease is held confirms ownership: a claim by
    // another node either precedes the renewal, and the read sees it, or makes
    // the next renewal fail.
    std::optional<std::int64_t> generation;
    if (lease_.held(time_.now()))
        generation = lease_.generation();
    state->store_phase = phase::reading;
    table_.read(shard_key(state->shard), store_timeout,
                [this, state, generation,
                 guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (guard.lock())
                        on_row(state, generation, row);
                });
}

void shard_claims::read_owner_lease(const state_ptr& state)
{
    state->store_phase = phase::reading;
    table_.read(lease_key(state->row.node), store_timeout,
                [this, state, guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (!guard.lock())
                        return;
                    state->store_phase = phase::idle;
                    if (row.ok())
                        on_owner_lease(state, *row);
                    check_released();
                });
}

void shard_claims::claim_from(const state_ptr& state, const table_row& row,
                              lease_record record)
{
    const auto owner = state->row.node;
    if (!claiming_from_.insert(owner).second)
    {
        state->next_poll = time_.now() + conflict_delay;
        return;
    }
    auto claimed = state->row;
    claimed.lapsed = without_self(claimed);
    claimed.lapsed.push_back({.node = owner,
                              .incarnation = state->row.incarnation,
                              .machine = record.machine});
    ++record.claims;
    send_claim(state, std::move(claimed),
               {.conditions = {{row.key, row.version}},
                .writes = {{row.key, format_lease(record)}}});
}

void shard_claims::claim_free(const state_ptr& state,
                              std::vector<row_condition> conditions)
{
    auto claimed = state->row;
    claimed.lapsed = without_self(claimed);
    send_claim(state, std::move(claimed),
               {.conditions = std::move(conditions), .writes = {}});
}

void shard_claims::send_claim(const state_ptr& state, shard_record row,
                              table_transaction transaction)
{
    row.node = lease_.own().node;
    row.incarnation = lease_.own().incarnation;
    ++row.epoch;
    const auto key = shard_key(state->shard);
    transaction.conditions.push_back({key, state->version});
    transaction.writes.push_back({key, format_shard(row)});
    state->store_phase = phase::writing;
    table_.commit(transaction, store_timeout,
                  [this, state, row, generation = lease_.generation(),
                   former = state->row.node,
                   guard = std::weak_ptr(alive_)](const auto& result)
                  {
                      if (!guard.lock())
                          return;
                      claiming_from_.erase(former);
                      on_claimed(state, row, generation, result);
                  });
}

void shard_claims::on_claimed(const state_ptr& state, const shard_record& row,
                              std::int64_t generation,
                              const commit_result& result)
{
    state->store_phase = phase::idle;
    const auto version = result.versions.find(shard_key(state->shard));
    if (result.state == commit_state::committed &&
        version != result.versions.end())
    {
        state->version = version->second;
        state->row = row;
        become_owner(*state, generation);
    }
    else
        state->next_poll = time_.now() + conflict_delay;
    check_released();
}

void shard_claims::check_lapsed(const state_ptr& state, std::size_t index,
                                std::vector<lapsed_owner> remaining)
{
    const auto& lapsed = state->row.lapsed;
    if (index == lapsed.size())
    {
        if (remaining.size() < lapsed.size() && held(*state))
        {
            auto row = state->row;
            row.lapsed = std::move(remaining);
            write_row(state, std::move(row));
        }
        return;
    }
    const auto owner = lapsed[index];
    if (machine_removed_ && machine_removed_(owner.machine))
    {
        check_lapsed(state, index + 1, std::move(remaining));
        return;
    }
    state->store_phase = phase::reading;
    table_.read(lease_key(owner.node), store_timeout,
                [this, state, index, owner, remaining,
                 guard = std::weak_ptr(alive_)](const auto& row) mutable
                {
                    if (!guard.lock())
                        return;
                    state->store_phase = phase::idle;
                    const auto record =
                        row.ok() ? parse_lease(row->value) : std::nullopt;
                    const auto ended =
                        row.ok() &&
                        (row->version == 0 ||
                         (record && record->incarnation > owner.incarnation));
                    if (!ended)
                        remaining.push_back(owner);
                    if (state->role == shard_role::owner)
                        check_lapsed(state, index + 1, std::move(remaining));
                    check_released();
                });
}

void shard_claims::write_row(const state_ptr& state, shard_record row)
{
    const auto key = shard_key(state->shard);
    const table_transaction update{.conditions = {{key, state->version}},
                                   .writes = {{key, format_shard(row)}}};
    state->store_phase = phase::writing;
    table_.commit(update, store_timeout,
                  [this, state, row = std::move(row),
                   guard = std::weak_ptr(alive_)](const auto& result)
                  {
                      if (guard.lock())
                          on_written(state, row, result);
                  });
}

void shard_claims::on_written(const state_ptr& state, const shard_record& row,
                              const commit_result& result)
{
    state->store_phase = phase::idle;
    const auto version = result.versions.find(shard_key(state->shard));
    if (result.state != commit_state::committed ||
        version == result.versions.end())
    {
        state->next_poll = time_.now() + conflict_delay;
        return;
    }
    state->version = version->second;
    state->row = row;
    update_known_owner(*state);
    if (state->role == shard_role::owner)
    {
        state->lapsed_owners = static_cast<std::uint32_t>(row.lapsed.size());
        if (events_.on_restored)
            events_.on_restored(describe(*state));
    }
    else if (!row_names_this_node(*state))
        state->role = shard_role::none;
    check_released();
}

} // namespace galenapulley
