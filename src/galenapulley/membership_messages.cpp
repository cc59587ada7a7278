#include "galenapulley/membership.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <set>

// Content of gossip messages.

namespace galenapulley
{

namespace
{

// One entry in four includes zone and addresses, the others only the heartbeat:
// full entries would use up the bandwidth allowed for control.
constexpr std::uint64_t entries_per_full_entry = 4;
// With a core, a node that has just started asks the core itself, so fewer full
// entries are needed.
constexpr std::uint64_t entries_per_full_entry_with_core = 16;

void write_entry(const member& from, bool full, double rate_unit,
                 wire::member_entry& entry)
{
    entry.set_node(from.node);
    entry.set_incarnation(from.incarnation);
    entry.set_heartbeat(from.heartbeat);
    entry.set_leaving(from.leaving);
    entry.set_request_rate(
        static_cast<std::uint32_t>(from.request_rate / rate_unit));
    if (!full)
        return;
    entry.set_capacity(from.capacity);
    entry.set_zone(from.zone);
    entry.set_peer_address(from.peer_address);
    entry.set_listen_address(from.listen_address);
}

/// Order in which entries are forwarded: changed members first, then the
/// heartbeats that were forwarded least often, the newest of them first.
bool has_priority(const member* a, const member* b)
{
    if (a->announcements_left != b->announcements_left)
        return a->announcements_left > b->announcements_left;
    if (a->times_sent != b->times_sent)
        return a->times_sent < b->times_sent;
    return a->heartbeat_at > b->heartbeat_at;
}

/// Visits the elements in key order from the cursor on, wrapping around at the
/// end, until `visit` returns false. Moves the cursor to the last element for
/// which it returned true.
template <typename Map, typename Visit>
void visit_from(Map& map, std::string& cursor, Visit visit)
{
    auto it = map.upper_bound(cursor);
    for (std::size_t n = 0; n < map.size(); ++n, ++it)
    {
        if (it == map.end())
            it = map.begin();
        if (!visit(it->second))
            return;
        cursor = it->first;
    }
}

} // namespace

std::shared_ptr<wire::gossip>
membership::make_message(const member* to, std::size_t entries, msec now)
{
    auto message = std::make_shared<wire::gossip>();
    message->set_store_read_age_ms(-1);
    add_own_entry(*message, to);
    // Quoting the receiver's heartbeat gives it a lower bound of the time at
    // which the message was created, whatever the network delay.
    if (to != nullptr)
        write_entry(*to, false, request_rate_unit, *message->add_members());
    add_members(*message, to, entries, now);
    add_shard_owners(*message, to);
    if (fill_payload_)
        fill_payload_(*message, options_.max_crash_reports);
    return message;
}

void membership::add_own_entry(wire::gossip& message, const member* to)
{
    write_entry(
        {.node = options_.node,
         .zone = options_.zone,
         .peer_address = options_.peer_address,
         .listen_address = serving_ ? options_.listen_address : std::string(),
         .capacity = options_.capacity,
         .request_rate = request_rate_,
         .incarnation = options_.incarnation,
         .heartbeat = heartbeat_,
         .leaving = leaving_,
         .last_contact = std::nullopt},
        leaving_ ||
            heartbeat_ <= std::max(full_heartbeats, full_until_heartbeat_) ||
            wants_full_entry(to),
        request_rate_unit, *message.add_members());
}

bool membership::wants_full_entry(const member* to)
{
    if (to == nullptr)
        return true;
    if (core_.empty())
        return to->announcements_left > 0 ||
               random() % entries_per_full_entry == 0;
    return to->heartbeat <= full_heartbeats ||
           random() % entries_per_full_entry_with_core == 0;
}

std::vector<member*>
membership::members_to_forward(const member* to, std::size_t entries, msec now)
{
    // Entries of suspected nodes are not forwarded: they would restore the
    // nodes at receivers that have already dropped them.
    std::vector<member*> core;
    std::vector<member*> others;
    for (auto& [node, it] : members_)
        if (&it != to && !is_suspected(it, now))
            (core_.contains(node) ? core : others).push_back(&it);
    const auto space = core_.empty()
                           ? entries
                           : std::min(entries, options_.max_standby_entries);
    // A standby reports itself, and the nodes that have just started, which may
    // have contacted it as a seed.
    if (!is_core(options_.node))
        std::erase_if(others,
                      [](const member* it) {
                          return it->announcements_left == 0 ||
                                 it->heartbeat > full_heartbeats;
                      });
    const auto count = std::min(others.size(), space);
    std::partial_sort(others.begin(),
                      others.begin() + static_cast<std::ptrdiff_t>(count),
                      others.end(), has_priority);
    // A standby knows nothing of the core that the core doesn't know.
    if (!is_core(options_.node))
        core.clear();
    core.insert(core.end(), others.begin(),
                others.begin() + static_cast<std::ptrdiff_t>(count));
    return core;
}

void membership::add_members(wire::gossip& message, const member* to,
                             std::size_t entries, msec now)
{
    const auto present = static_cast<std::size_t>(message.members_size());
    const auto space = entries - std::min(entries, present);
    for (auto* it : members_to_forward(to, space, now))
    {
        write_entry(*it, it->announcements_left > 0 || wants_full_entry(to),
                    request_rate_unit, *message.add_members());
        it->announcements_left -=
            std::min<std::size_t>(it->announcements_left, 1);
        ++it->times_sent;
    }
}

void membership::add_shard_owners(wire::gossip& message, const member* to)
{
    const auto add = [&](const shard_owner& it)
    {
        auto* entry = message.add_shard_owners();
        entry->set_shard(it.shard);
        entry->set_node(it.node);
        entry->set_epoch(it.epoch);
    };
    const auto space = [&]
    {
        return options_.max_shard_owners >
               static_cast<std::size_t>(message.shard_owners_size());
    };
    // Owners are repeated only to make up for lost messages.
    const bool is_new = to == nullptr || to->announcements_left > 0;
    const std::size_t repeated =
        is_new ? options_.max_shard_owners : options_.repeated_shard_owners;
    std::set<const owner_record*> sent;
    for (auto& [shard, it] : owners_)
    {
        if (it.announcements_left == 0 || !space())
            continue;
        --it.announcements_left;
        sent.insert(&it);
        add(it.owner);
    }
    visit_from(owners_, owner_cursor_,
               [&](owner_record& it)
               {
                   if (!space() || static_cast<std::size_t>(
                                       message.shard_owners_size()) >= repeated)
                       return false;
                   if (sent.count(&it) == 0)
                       add(it.owner);
                   return true;
               });
}

} // namespace galenapulley
