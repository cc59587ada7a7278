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
// A message with 4 entries propagates the heartbeats of 9 members within the
// configured timeouts. Messages have a bounded number of entries, so heartbeats
// spread more slowly in larger fleets and the timeouts grow with the fleet's
// size.
constexpr std::size_t members_per_entries = 9;
constexpr std::size_t entries_for_members = 4;
// Has to exceed a partition between regions, which lasts about an hour.
constexpr msec dropped_retention = 21'600_sec;
constexpr std::size_t max_dropped = 1000;
// Messages per period among core nodes. Their heartbeats have to be known all
// over the core before the standbys ask for them.
constexpr std::size_t core_fanout = 5;
// Core nodes to which a standby reports, every second period.
constexpr std::size_t standby_fanout = 2;
constexpr msec standby_period_factor = 2;

template <typename Entry>
bool is_newer(const wire::member_entry& entry, const Entry& than)
{
    return std::pair(entry.incarnation(), entry.heartbeat()) >
           std::pair(than.incarnation, than.heartbeat);
}

bool is_full(const wire::member_entry& entry)
{
    return !entry.peer_address().empty();
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
    next_tick_ = now + tick_period();
    ++heartbeat_;
    ++ticks_;
    heartbeats_.at(static_cast<std::size_t>(heartbeat_) %
                   heartbeat_history) = {.heartbeat = heartbeat_, .at = now};
    note_silent_core(now);
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
    auto targets = next_peers(announces ? leaving_fanout : fanout(), now);
    const auto non_members = non_member_addresses();
    if (non_members.empty())
        return targets;
    // Only contacts between core nodes merge the cores of two partitions, so a
    // standby that knows core nodes leaves the others to them.
    const bool contacts_one = core_.empty()
                                  ? ticks_ % non_member_interval_ticks == 0
                                  : core_.contains(options_.node);
    const std::size_t wanted = targets.size() < fanout()
                                   ? fanout() - targets.size()
                                   : (contacts_one ? 1 : 0);
    // Nodes that start together must not all contact the same addresses.
    if (!core_.empty())
        non_member_cursor_ = random();
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
        if (is_core(node) && !is_suspected(it, now) &&
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
                if (is_core(node))
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
    const auto* const to = find(from);
    const bool is_new = to != nullptr && to->heartbeat <= full_heartbeats;
    auto reply =
        make_message(to,
                     is_new && !core_.empty() ? options_.max_entries
                                              : options_.max_reply_entries,
                     now);
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
        it.capacity = entry.capacity();
    }
    it.node = entry.node();
    it.incarnation = entry.incarnation();
    it.heartbeat = entry.heartbeat();
    it.leaving = entry.leaving();
    it.request_rate = entry.request_rate() * request_rate_unit;
    it.heartbeat_at = now;
    it.times_sent = 0;
    it.silent_in_core = false;
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

void membership::set_core(std::set<std::string> nodes, msec now)
{
    if (nodes == core_)
        return;
    for (auto& [node, it] : members_)
        if (nodes.contains(node) && !core_.contains(node))
            it.core_since = now;
    core_ = std::move(nodes);
    peer_order_.clear();
    for (auto& [node, it] : members_)
        it.announcements_left =
            std::min(it.announcements_left, announcement_budget());
}

msec membership::tick_period() const
{
    return is_core(options_.node) ? options_.period
                                  : standby_period_factor * options_.period;
}

std::size_t membership::fanout() const
{
    if (core_.empty())
        return options_.fanout;
    return is_core(options_.node) ? core_fanout : standby_fanout;
}

void membership::note_silent_core(msec now)
{
    for (auto& [node, it] : members_)
        if (core_.contains(node) && is_suspected(it, now))
            it.silent_in_core = true;
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
    // With a core, only the core has to be reached.
    const auto receivers = core_.empty() ? members_.size() : core_.size();
    return 3 * std::bit_width(receivers + 1);
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
