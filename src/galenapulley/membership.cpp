#include "galenapulley/membership.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <bit>

namespace galenapulley
{

namespace
{

// Nodes that are notified directly when this node leaves; the others learn it
// by gossip.
constexpr std::size_t leaving_fanout = 32;
// Interval, in ticks, of messages to a seed or dropped node. They let the
// partitions of a fleet that dropped each other merge again.
constexpr std::size_t non_member_interval_ticks = 3;
// One entry in four includes zone and addresses, the others only the heartbeat.
// With full entries only, each of 18 nodes sent 2,008 bytes per second, which
// is the whole budget for gossip.
constexpr std::uint64_t entries_per_full_entry = 4;
// Number of heartbeats sent with a full own entry after the start of a node.
constexpr std::int64_t full_heartbeats = 10;
// A message with 4 entries propagates the heartbeats of 9 members within the
// configured timeouts. Messages have a bounded number of entries, so heartbeats
// spread more slowly in larger fleets and the timeouts grow with the fleet's
// size. With fixed timeouts, 22% of 100 live nodes were suspected.
constexpr std::size_t members_per_entries = 9;
constexpr std::size_t entries_for_members = 4;
// Has to exceed a partition between regions, which lasts about an hour.
constexpr msec dropped_retention = 21'600_sec;
constexpr std::size_t max_dropped = 1000;

template <typename Entry>
bool is_newer(const wire::member_entry& entry, const Entry& than)
{
    return std::pair(entry.incarnation(), entry.heartbeat()) >
           std::pair(than.incarnation, than.heartbeat);
}

void write_entry(const member& from, bool full, wire::member_entry& entry)
{
    entry.set_node(from.node);
    entry.set_incarnation(from.incarnation);
    entry.set_heartbeat(from.heartbeat);
    entry.set_leaving(from.leaving);
    if (!full)
        return;
    entry.set_zone(from.zone);
    entry.set_peer_address(from.peer_address);
    entry.set_listen_address(from.listen_address);
}

bool is_full(const wire::member_entry& entry)
{
    return !entry.peer_address().empty();
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
    drop_unresponsive(now);
    std::vector<outgoing> messages;
    for (const auto& address : choose_targets(now))
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

std::vector<std::string> membership::choose_targets(msec now)
{
    const bool announces = leaving_ && !leaving_announced_;
    leaving_announced_ = leaving_;
    auto targets =
        next_peers(announces ? leaving_fanout : options_.fanout, now);
    const auto non_members = non_member_addresses();
    if (non_members.empty())
        return targets;
    const std::size_t wanted =
        targets.size() < options_.fanout
            ? options_.fanout - targets.size()
            : (ticks_ % non_member_interval_ticks == 0 ? 1 : 0);
    for (std::size_t n = 0; n < std::min(wanted, non_members.size()); ++n)
        targets.push_back(
            non_members[non_member_cursor_++ % non_members.size()]);
    return targets;
}

std::vector<std::string> membership::next_peers(std::size_t n, msec now)
{
    std::vector<std::string> peers;
    // One message goes to the member that would be suspected next. With random
    // peers only, 4 of 30,600 checks in a fleet of 18 suspected a live node.
    const member* oldest = nullptr;
    for (const auto& [node, it] : members_)
        if (!is_suspected(it, now) &&
            (oldest == nullptr || it.heartbeat_at < oldest->heartbeat_at))
            oldest = &it;
    if (oldest != nullptr)
        peers.push_back(oldest->peer_address);
    // Contacting all members in a shuffled order, rather than random ones each
    // time, bounds the interval between two messages to the same member.
    for (bool refilled = false; peers.size() < n;)
    {
        if (peer_order_.empty())
        {
            if (std::exchange(refilled, true))
                break;
            for (const auto& [node, it] : members_)
                peer_order_.push_back(node);
            for (std::size_t k = peer_order_.size(); k > 1; --k)
                std::swap(peer_order_[k - 1], peer_order_[random() % k]);
            continue;
        }
        const auto* it = find(peer_order_.back());
        peer_order_.pop_back();
        if (it != nullptr && std::find(peers.begin(), peers.end(),
                                       it->peer_address) == peers.end())
            peers.push_back(it->peer_address);
    }
    return peers;
}

std::vector<std::string> membership::non_member_addresses() const
{
    std::set<std::string> addresses(options_.seeds.begin(),
                                    options_.seeds.end());
    for (const auto& [node, it] : dropped_)
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
            refute = check_own_entry(entry) || refute;
        else if (!entry.node().empty())
            merge(entry, now);
    }
    for (const auto& it : message.shard_owners())
        note_shard_owner(
            {.shard = it.shard(), .node = it.node(), .epoch = it.epoch()});
    update_last_contact(from, message);
    if (message.is_reply() && !refute)
        return nullptr;
    auto reply = make_message(find(from), options_.max_reply_entries, now);
    reply->set_is_reply(true);
    return reply;
}

void membership::merge(const wire::member_entry& entry, msec now)
{
    if (!restore_dropped(entry))
        return;
    const auto found = members_.find(entry.node());
    const bool known = found != members_.end();
    if (known && !is_newer(entry, found->second))
        return;
    const bool same_incarnation =
        known && found->second.incarnation == entry.incarnation();
    // A short entry lacks the addresses that a new process is reached at.
    if (!same_incarnation && !is_full(entry))
        return;
    auto& it = members_[entry.node()];
    if (!same_incarnation || it.leaving != entry.leaving())
        it.announcements_left = announcement_budget();
    if (!same_incarnation)
        it.last_contact.reset();
    if (is_full(entry))
    {
        if (it.listen_address != entry.listen_address())
            it.announcements_left = announcement_budget();
        it.zone = entry.zone();
        it.peer_address = entry.peer_address();
        it.listen_address = entry.listen_address();
    }
    it.node = entry.node();
    it.incarnation = entry.incarnation();
    it.heartbeat = entry.heartbeat();
    it.leaving = entry.leaving();
    it.heartbeat_at = now;
    it.times_sent = 0;
}

bool membership::restore_dropped(const wire::member_entry& entry)
{
    const auto dropped = dropped_.find(entry.node());
    if (dropped == dropped_.end())
        return true;
    // Other nodes may still forward entries from before the node failed.
    if (!is_newer(entry, dropped->second.last))
        return false;
    if (entry.incarnation() == dropped->second.last.incarnation)
    {
        members_[entry.node()] = dropped->second.last;
        members_[entry.node()].announcements_left = announcement_budget();
        dropped_.erase(dropped);
    }
    else if (is_full(entry))
        dropped_.erase(dropped);
    return true;
}

bool membership::check_own_entry(const wire::member_entry& entry)
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

void membership::update_last_contact(const std::string& from,
                                     const wire::gossip& message)
{
    const auto it = members_.find(from);
    const auto proven = proven_time(message);
    if (it == members_.end() || !proven)
        return;
    // A message of an earlier incarnation says nothing about the current one.
    for (const auto& entry : message.members())
        if (entry.node() == from &&
            entry.incarnation() == it->second.incarnation)
            it->second.last_contact =
                std::max(it->second.last_contact.value_or(*proven), *proven);
}

void membership::drop_unresponsive(msec now)
{
    for (auto it = members_.begin(); it != members_.end();)
    {
        if (now - it->second.heartbeat_at <= options_.drop_after * time_scale())
        {
            ++it;
            continue;
        }
        dropped_[it->first] = {.last = it->second, .since = now};
        it = members_.erase(it);
    }
    expire_dropped(now);
}

void membership::expire_dropped(msec now)
{
    std::erase_if(dropped_, [&](const auto& it)
                  { return now - it.second.since > dropped_retention; });
    while (dropped_.size() > max_dropped)
        dropped_.erase(
            std::min_element(dropped_.begin(), dropped_.end(),
                             [](const auto& a, const auto& b)
                             { return a.second.since < b.second.since; }));
}

std::shared_ptr<wire::gossip>
membership::make_message(const member* to, std::size_t entries, msec now)
{
    auto message = std::make_shared<wire::gossip>();
    message->set_store_read_age_ms(-1);
    add_own_entry(*message, to);
    // Quoting the receiver's heartbeat gives it a lower bound of the time at
    // which the message was created, whatever the network delay.
    if (to != nullptr)
        write_entry(*to, false, *message->add_members());
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
         .incarnation = options_.incarnation,
         .heartbeat = heartbeat_,
         .leaving = leaving_,
         .last_contact = std::nullopt},
        leaving_ ||
            heartbeat_ <= std::max(full_heartbeats, full_until_heartbeat_) ||
            wants_full_entry(to),
        *message.add_members());
}

bool membership::wants_full_entry(const member* to)
{
    return to == nullptr || to->announcements_left > 0 ||
           random() % entries_per_full_entry == 0;
}

void membership::add_members(wire::gossip& message, const member* to,
                             std::size_t entries, msec now)
{
    std::vector<member*> chosen;
    const auto space =
        entries - std::min<std::size_t>(entries, static_cast<std::size_t>(
                                                     message.members_size()));
    // Entries of suspected nodes are not forwarded: they would restore the
    // nodes at receivers that have already dropped them.
    const auto usable = [&](const member& it)
    {
        return &it != to && !is_suspected(it, now);
    };
    for (auto& [node, it] : members_)
        if (usable(it))
            chosen.push_back(&it);
    const auto count = std::min(chosen.size(), space);
    std::partial_sort(chosen.begin(),
                      chosen.begin() + static_cast<std::ptrdiff_t>(count),
                      chosen.end(), has_priority);
    chosen.resize(count);
    for (auto* it : chosen)
    {
        write_entry(*it, it->announcements_left > 0 || wants_full_entry(to),
                    *message.add_members());
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
    // Owners are repeated only to make up for lost messages. With eight of
    // them in every message, owners were a third of the gossip traffic.
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

msec membership::time_scale() const
{
    const auto unscaled_members =
        options_.max_entries * members_per_entries / entries_for_members;
    return std::max<msec>(
        1, static_cast<msec>(members_.size() / unscaled_members));
}

std::size_t membership::announcement_budget() const
{
    // A message sent a small multiple of log2(fleet size) times reaches every
    // node with high probability.
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

void membership::set_serving(bool serving)
{
    if (serving == serving_)
        return;
    serving_ = serving;
    full_until_heartbeat_ = heartbeat_ + full_heartbeats;
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
    it->second = {.owner = owner, .announcements_left = announcement_budget()};
    return true;
}

} // namespace galenapulley
