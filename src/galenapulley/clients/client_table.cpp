#include "galenapulley/clients/client_table.hpp"

#include <array>

namespace galenapulley
{

namespace
{

constexpr std::array<std::string_view, client_limit_count> limit_names{
    "connections", "address_connections", "idle_replaced", "slow_head_replaced",
    "head_time",   "body_time",           "body_stalled",  "head_size",
    "body_size",   "empty_lines",         "input_bytes",   "body_memory",
    "unread_time", "unread_bytes"};

} // namespace

std::string_view name_of(client_limit limit)
{
    return limit_names.at(static_cast<std::size_t>(limit));
}

client_table::client_table(const client_table_options& options)
    : options_(options)
{
}

std::optional<client_table::closing>
client_table::longest_waiting(const waiting& among, msec now) const
{
    if (!among.idle.empty())
        return closing{.id = among.idle.begin()->second,
                       .cause = client_limit::idle_replaced};
    if (!among.heads.empty() &&
        now - among.heads.begin()->first >= slow_head_after)
        return closing{.id = among.heads.begin()->second,
                       .cause = client_limit::slow_head_replaced};
    return std::nullopt;
}

client_table::admission client_table::open(connection_id id,
                                           const std::string& address, msec now)
{
    admission out;
    const auto known = peers_.find(address);
    const bool address_full =
        known != peers_.end() &&
        known->second.connections >= options_.connections_per_address;
    if (address_full || rows_.size() >= options_.connections)
    {
        out.replaced = longest_waiting(
            address_full ? known->second.replaceable : replaceable_, now);
        if (!out.replaced)
        {
            out.refused = address_full ? client_limit::address_connections
                                       : client_limit::connections;
            return out;
        }
        close(out.replaced->id);
    }
    const auto it =
        rows_.try_emplace(id, row{.address = address, .since = now}).first;
    ++peers_[address].connections;
    link(id, it->second);
    return out;
}

void client_table::link(connection_id id, const row& value)
{
    auto& own = peers_[value.address].replaceable;
    if (value.at == stage::idle)
    {
        own.idle.emplace(value.since, id);
        replaceable_.idle.emplace(value.since, id);
    }
    else if (value.at == stage::head)
    {
        own.heads.emplace(value.since, id);
        replaceable_.heads.emplace(value.since, id);
    }
}

void client_table::unlink(connection_id id, const row& value)
{
    auto& own = peers_[value.address].replaceable;
    for (auto* const it :
         {&own.idle, &own.heads, &replaceable_.idle, &replaceable_.heads})
        it->erase({value.since, id});
}

void client_table::close(connection_id id)
{
    const auto it = rows_.find(id);
    if (it == rows_.end())
        return;
    unlink(id, it->second);
    stuck_.erase({it->second.progress_at, id});
    unread_bytes_ -= it->second.unread;
    const auto from = peers_.find(it->second.address);
    if (--from->second.connections == 0)
        peers_.erase(from);
    rows_.erase(it);
}

void client_table::set_stage(connection_id id, stage value, msec now)
{
    const auto it = rows_.find(id);
    if (it == rows_.end() || it->second.at == value)
        return;
    unlink(id, it->second);
    it->second.at = value;
    it->second.since = now;
    link(id, it->second);
}

void client_table::set_unread(connection_id id, std::size_t bytes,
                              std::uint64_t acknowledged, msec now)
{
    const auto it = rows_.find(id);
    if (it == rows_.end())
        return;
    auto& row = it->second;
    const bool progress = row.unread == 0 || acknowledged > row.acknowledged;
    row.acknowledged = acknowledged;
    unread_bytes_ += bytes - row.unread;
    row.unread = bytes;
    stuck_.erase({row.progress_at, id});
    if (progress)
        row.progress_at = now;
    if (bytes > 0)
        stuck_.emplace(row.progress_at, id);
}

std::vector<client_table::connection_id> client_table::unread() const
{
    std::vector<connection_id> out;
    out.reserve(stuck_.size());
    for (const auto& [since, id] : stuck_)
        out.push_back(id);
    return out;
}

std::vector<client_table::closing> client_table::take_stuck(msec now)
{
    std::vector<closing> out;
    while (!stuck_.empty())
    {
        const auto [since, id] = *stuck_.begin();
        if (now - since >= options_.unread_timeout)
            out.push_back({.id = id, .cause = client_limit::unread_time});
        else if (unread_bytes_ > options_.unread_bytes &&
                 now - since >= reading_after)
            out.push_back({.id = id, .cause = client_limit::unread_bytes});
        else
            break;
        close(id);
    }
    return out;
}

} // namespace galenapulley
