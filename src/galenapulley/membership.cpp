#include "galenapulley/membership.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <bit>

namespace galenapulley
{

namespace
{

// Nodes told directly that this node leaves; the rest learn it by gossip.
constexpr std::size_t leaving_fanout = 32;
// Every so many ticks, one message goes to an address outside the members, so
// that parts of the fleet that dropped each other find together again.
constexpr std::size_t outside_period = 3;
// Longer than the loss of contact between regions, about an hour.
constexpr msec keep_lost = 6 * 3600 * 1000;
constexpr std::size_t max_lost = 1000;

template <typename Entry>
bool is_newer(const wire::member_entry& entry, const Entry& than)
{
    return std::pair(entry.incarnation(), entry.heartbeat()) >
           std::pair(than.incarnation, than.heartbeat);
}

void write_entry(const member& from, wire::member_entry& entry)
{
    entry.set_node(from.node);
    entry.set_zone(from.zone);
    entry.set_peer_address(from.peer_address);
    entry.set_listen_address(from.listen_address);
    entry.set_incarnation(from.incarnation);
    entry.set_heartbeat(from.heartbeat);
    entry.set_leaving(from.leaving);
}

/// Calls `visit` with the elements after the cursor in key order and then from
/// the start, until it returns false. The cursor ends at the last one visited.
template <typename Map, typename Visit>
void rotate(Map& map, std::string& cursor, Visit visit)
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

membership::membership(membership_options options)
    : options_(std::move(options)), random_(options_.seed)
{
}

std::vector<membership::outgoing> membership::tick(msec now)
{
    if (next_tick_ && now < *next_tick_)
        return {};
    next_tick_ = now + options_.period;
    ++heartbeat_;
    ++ticks_;
    heartbeats_.at(static_cast<std::size_t>(heartbeat_) %
                   heartbeat_history) = {.heartbeat = heartbeat_, .at = now};
    drop_silent(now);
    std::vector<outgoing> messages;
    for (const auto& address : choose_targets())
    {
        const auto it =
            std::find_if(members_.begin(), members_.end(),
                         [&](const auto& item)
                         { return item.second.peer_address == address; });
        const auto* to = it == members_.end() ? nullptr : &it->second;
        messages.push_back(
            {.peer_address = address,
             .message = make_message(to, options_.max_entries, now)});
    }
    return messages;
}

std::vector<std::string> membership::choose_targets()
{
    std::vector<std::string> targets;
    for (const auto& [node, it] : members_)
        targets.push_back(it.peer_address);
    for (std::size_t n = targets.size(); n > 1; --n)
        std::swap(targets[n - 1], targets[random() % n]);
    const bool announces = leaving_ && !leaving_announced_;
    leaving_announced_ = leaving_;
    targets.resize(
        std::min(targets.size(), announces ? leaving_fanout : options_.fanout));
    const auto outside = outside_addresses();
    if (outside.empty())
        return targets;
    const std::size_t wanted = targets.size() < options_.fanout
                                   ? options_.fanout - targets.size()
                                   : (ticks_ % outside_period == 0 ? 1 : 0);
    for (std::size_t n = 0; n < std::min(wanted, outside.size()); ++n)
        targets.push_back(outside[outside_cursor_++ % outside.size()]);
    return targets;
}

std::vector<std::string> membership::outside_addresses() const
{
    std::set<std::string> addresses(options_.seeds.begin(),
                                    options_.seeds.end());
    for (const auto& [node, it] : lost_)
        if (!it.last.leaving)
            addresses.insert(it.last.peer_address);
    for (const auto& [node, it] : members_)
        addresses.erase(it.peer_address);
    addresses.erase(options_.peer_address);
    return {addresses.begin(), addresses.end()};
}

std::shared_ptr<wire::gossip> membership::on_gossip(const std::string& from,
                                                    const wire::gossip& message,
                                                    msec now)
{
    if (from == options_.node)
        return nullptr;
    bool refute = false;
    for (const auto& entry : message.members())
    {
        if (entry.node() == options_.node)
            refute = check_own(entry) || refute;
        else if (!entry.node().empty())
            merge(entry, now);
    }
    for (const auto& it : message.shard_owners())
        note_shard_owner(
            {.shard = it.shard(), .node = it.node(), .epoch = it.epoch()});
    note_heard(from, message);
    if (message.is_reply() && !refute)
        return nullptr;
    auto reply = make_message(find(from), options_.max_reply_entries, now);
    reply->set_is_reply(true);
    return reply;
}

void membership::merge(const wire::member_entry& entry, msec now)
{
    const auto lost = lost_.find(entry.node());
    if (lost != lost_.end())
    {
        // Others may still pass on what they heard before the node fell silent.
        if (!is_newer(entry, lost->second.last))
            return;
        lost_.erase(lost);
    }
    const auto [it, inserted] = members_.try_emplace(entry.node());
    auto& known = it->second;
    if (!inserted && !is_newer(entry, known))
        return;
    if (inserted || entry.incarnation() != known.incarnation ||
        entry.leaving() != known.leaving)
        known.news_left = news_budget();
    if (entry.incarnation() != known.incarnation)
        known.heard_at.reset();
    known.node = entry.node();
    known.zone = entry.zone();
    known.peer_address = entry.peer_address();
    known.listen_address = entry.listen_address();
    known.incarnation = entry.incarnation();
    known.heartbeat = entry.heartbeat();
    known.leaving = entry.leaving();
    known.newer_at = now;
}

bool membership::check_own(const wire::member_entry& entry)
{
    if (entry.incarnation() > options_.incarnation)
        superseded_by_ = std::max(superseded_by_.value_or(entry.incarnation()),
                                  entry.incarnation());
    return entry.incarnation() < options_.incarnation ||
           (entry.incarnation() == options_.incarnation &&
            entry.leaving() != leaving_);
}

std::optional<msec> membership::proven_time(const wire::gossip& message) const
{
    std::optional<msec> proven;
    for (const auto& entry : message.members())
    {
        if (entry.node() != options_.node || entry.heartbeat() < 1 ||
            entry.incarnation() != options_.incarnation)
            continue;
        const auto& it = heartbeats_.at(
            static_cast<std::size_t>(entry.heartbeat()) % heartbeat_history);
        if (it.heartbeat == entry.heartbeat())
            proven = std::max(proven.value_or(it.at), it.at);
    }
    return proven;
}

void membership::note_heard(const std::string& from,
                            const wire::gossip& message)
{
    const auto it = members_.find(from);
    const auto proven = proven_time(message);
    if (it == members_.end() || !proven)
        return;
    // A message of an earlier process under the same name proves nothing about
    // the present one.
    for (const auto& entry : message.members())
        if (entry.node() == from &&
            entry.incarnation() == it->second.incarnation)
            it->second.heard_at =
                std::max(it->second.heard_at.value_or(*proven), *proven);
}

void membership::drop_silent(msec now)
{
    for (auto it = members_.begin(); it != members_.end();)
    {
        if (now - it->second.newer_at <= options_.drop_after)
        {
            ++it;
            continue;
        }
        lost_[it->first] = {.last = it->second, .since = now};
        it = members_.erase(it);
    }
    forget_lost(now);
}

void membership::forget_lost(msec now)
{
    std::erase_if(lost_, [&](const auto& it)
                  { return now - it.second.since > keep_lost; });
    while (lost_.size() > max_lost)
        lost_.erase(std::min_element(lost_.begin(), lost_.end(),
                                     [](const auto& a, const auto& b) {
                                         return a.second.since < b.second.since;
                                     }));
}

std::shared_ptr<wire::gossip>
membership::make_message(const member* to, std::size_t entries, msec now)
{
    auto message = std::make_shared<wire::gossip>();
    message->set_store_read_age_ms(-1);
    add_own_entry(*message);
    // The receiver's own heartbeat tells it when the message was made at the
    // earliest, however long the message was on its way.
    if (to != nullptr)
        write_entry(*to, *message->add_members());
    add_members(*message, to, entries, now);
    add_shard_owners(*message);
    if (fill_)
        fill_(*message, options_.max_strikes);
    return message;
}

void membership::add_own_entry(wire::gossip& message) const
{
    write_entry({.node = options_.node,
                 .zone = options_.zone,
                 .peer_address = options_.peer_address,
                 .listen_address = options_.listen_address,
                 .incarnation = options_.incarnation,
                 .heartbeat = heartbeat_,
                 .leaving = leaving_,
                 .heard_at = std::nullopt},
                *message.add_members());
}

void membership::add_members(wire::gossip& message, const member* to,
                             std::size_t entries, msec now)
{
    std::vector<member*> chosen;
    const auto space =
        entries - std::min<std::size_t>(entries, static_cast<std::size_t>(
                                                     message.members_size()));
    // Entries of silent nodes are not passed on: they would bring the nodes
    // back where they were dropped already.
    const auto usable = [&](const member& it)
    {
        return &it != to && !is_suspected(it, now);
    };
    for (auto& [node, it] : members_)
        if (it.news_left > 0 && usable(it))
            chosen.push_back(&it);
    std::stable_sort(chosen.begin(), chosen.end(),
                     [](const member* a, const member* b)
                     { return a->news_left > b->news_left; });
    chosen.resize(std::min(chosen.size(), space));
    for (auto* it : chosen)
        --it->news_left;
    rotate(members_, member_cursor_,
           [&](member& it)
           {
               if (chosen.size() >= space)
                   return false;
               if (usable(it) &&
                   std::find(chosen.begin(), chosen.end(), &it) == chosen.end())
                   chosen.push_back(&it);
               return true;
           });
    for (const auto* it : chosen)
        write_entry(*it, *message.add_members());
}

void membership::add_shard_owners(wire::gossip& message)
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
    std::set<const owner_record*> sent;
    for (auto& [shard, it] : owners_)
    {
        if (it.news_left == 0 || !space())
            continue;
        --it.news_left;
        sent.insert(&it);
        add(it.owner);
    }
    rotate(owners_, owner_cursor_,
           [&](owner_record& it)
           {
               if (!space())
                   return false;
               if (sent.count(&it) == 0)
                   add(it.owner);
               return true;
           });
}

std::size_t membership::news_budget() const
{
    // A few times the logarithm of the fleet's size reaches every node with
    // high probability.
    return 3 * std::bit_width(members_.size() + 1);
}

std::uint64_t membership::random()
{
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return random_ >> 33U;
}

void membership::announce_leaving()
{
    leaving_ = true;
    next_tick_.reset();
}

void membership::add_seed(const std::string& peer_address)
{
    auto& seeds = options_.seeds;
    if (std::find(seeds.begin(), seeds.end(), peer_address) == seeds.end())
        seeds.push_back(peer_address);
}

bool membership::note_shard_owner(const shard_owner& owner)
{
    if (owner.shard.empty())
        return false;
    const auto [it, inserted] = owners_.try_emplace(owner.shard);
    if (!inserted && owner.epoch <= it->second.owner.epoch)
        return false;
    it->second = {.owner = owner, .news_left = news_budget()};
    return true;
}

} // namespace galenapulley
