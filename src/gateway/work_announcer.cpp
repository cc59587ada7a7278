#include "gateway/work_announcer.hpp"

#include <utility>

namespace galenapulley
{

namespace
{

/// Placements, failures, limits and pauses change the decisions of other nodes
/// at once.
bool is_urgent(const wire::work_update& update)
{
    return update.placed_size() > 0 || update.failed_size() > 0 ||
           update.rate_limits_size() > 0 || update.pauses_size() > 0 ||
           update.leaving_size() > 0;
}

} // namespace

work_announcer::work_announcer(peer_link& link, work_source all_work)
    : link_(link), all_work_(std::move(all_work))
{
}

void work_announcer::set_serving(std::map<std::string, std::string> nodes)
{
    std::map<std::string, std::string> added;
    for (const auto& [node, address] : nodes)
        if (!serving_.contains(node) && !active_.contains(node))
            added.emplace(node, address);
    serving_ = std::move(nodes);
    if (had_work_)
        for (const auto& [node, address] : added)
            send_all_work(address);
}

void work_announcer::on_update_from(const std::string& node,
                                    const std::string& peer_address, msec now)
{
    const auto [it, is_new] = active_.try_emplace(node);
    it->second = {.peer_address = peer_address, .heard_at = now};
    if (is_new && had_work_ && !serving_.contains(node))
        send_all_work(peer_address);
}

void work_announcer::announce(const wire::work_update& update, msec now)
{
    delayed_.MergeFrom(update);
    had_work_ = had_work_ || update.placed_size() > 0;
    if (is_urgent(update))
        flush(now);
}

bool work_announcer::flush(msec now)
{
    const auto update = std::exchange(delayed_, wire::work_update());
    if (update.ByteSizeLong() == 0)
        return false;
    send(update, now);
    return true;
}

void work_announcer::announce_all(bool is_serving, msec now)
{
    auto update = all_work_();
    const bool has_work = update.placed_size() > 0;
    if (!is_serving && !has_work && !had_work_)
        return;
    had_work_ = has_work;
    flush(now);
    send(update, now);
}

void work_announcer::send(const wire::work_update& update, msec now)
{
    std::erase_if(active_, [now](const auto& it)
                  { return now - it.second.heard_at > active_time; });
    auto targets = serving_;
    for (const auto& [node, it] : active_)
        targets.try_emplace(node, it.peer_address);
    for (const auto& [node, address] : targets)
    {
        wire::peer_message message;
        *message.mutable_work_update() = update;
        link_.send(address, std::move(message));
    }
}

void work_announcer::send_all_work(const std::string& peer_address)
{
    wire::peer_message message;
    *message.mutable_work_update() = all_work_();
    link_.send(peer_address, std::move(message));
}

} // namespace galenapulley
