#pragma once

#include "galenapulley/membership.hpp"
#include "galenapulley/view_freshness.hpp"

#include "peer.pb.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenapulley
{

/// A node of a simulated fleet, with gossip and view freshness.
struct gossip_node
{
    gossip_node(std::size_t n, std::size_t zones, std::int64_t incarnation,
                std::vector<std::string> seeds, std::size_t max_entries,
                msec suspect_after)
        : name("n" + std::to_string(n))
        , zone("zone-" + std::to_string(n % zones))
        , gossip({.node = name,
                  .zone = zone,
                  .peer_address = address(n),
                  .listen_address = address(1000 + n),
                  .incarnation = incarnation,
                  .seeds = std::move(seeds),
                  .max_entries = max_entries,
                  .suspect_after = suspect_after,
                  .seed = n + 1})
    {
    }

    /// As long as a real address; the port is derived from the node's number.
    static std::string address(std::size_t n)
    {
        return "10.11.12.113:" + std::to_string(7000 + n);
    }

    peer_summary summary(msec now) const
    {
        const auto window = view.contact_window(now);
        return {.known_peers = gossip.known_peers(),
                .known_zones = gossip.known_zones().size(),
                .reachable_peers = gossip.reachable_peers(window, now),
                .reachable_zones = gossip.reachable_zones(window, now).size()};
    }

    std::string name;
    std::string zone;
    membership gossip;
    view_freshness view;
    bool reaches_store = false;
    /// Messages to a node that is down are lost; those to a paused node are
    /// delivered later.
    bool down = false;
    bool paused = false;
};

/// Simulated nodes that gossip once a second over links with injected loss and
/// delay.
class gossip_fleet
{
public:
    /// Returns whether a message from the first node to the second one is lost.
    using loss = std::function<bool(const gossip_node&, const gossip_node&)>;

    explicit gossip_fleet(std::size_t n, std::size_t zones = 3,
                          std::size_t seeds = 1, std::size_t max_entries = 8,
                          msec suspect_after = 5000)
        : max_entries_(max_entries), suspect_after_(suspect_after)
    {
        for (std::size_t k = 0; k < seeds; ++k)
            seeds_.push_back(gossip_node::address(k));
        for (std::size_t k = 0; k < n; ++k)
            add(k, zones, 1'780'000'000'000);
    }

    gossip_node& operator[](std::size_t n) { return *nodes_[n]; }
    std::size_t size() const { return nodes_.size(); }
    msec now() const { return now_; }
    void set_loss(loss lost) { lost_ = std::move(lost); }
    /// While set, messages stay in the links.
    void hold_messages(bool held) { held_ = held; }

    void restart(std::size_t n, std::size_t zones, std::int64_t incarnation)
    {
        nodes_[n].reset();
        add(n, zones, incarnation);
    }

    /// Makes the first `n` nodes the core on all nodes.
    void set_core(std::size_t n)
    {
        std::set<std::string> core;
        for (std::size_t k = 0; k < n; ++k)
            core.insert(nodes_[k]->name);
        for (auto& it : nodes_)
            it->gossip.set_core(core, now_);
    }

    /// Simulates one second: every node ticks, then all messages are delivered.
    void round()
    {
        now_ += 1000;
        for (auto& it : nodes_)
            if (!it->down && !it->paused)
                tick(*it);
        if (!held_)
            deliver();
    }

    void rounds(std::size_t n)
    {
        while (n-- > 0)
            round();
    }

    /// Whether every node knows every other one that is not down.
    bool converged()
    {
        for (const auto& a : nodes_)
            for (const auto& b : nodes_)
                if (a != b && !a->down && !b->down &&
                    a->gossip.find(b->name) == nullptr)
                    return false;
        return true;
    }

    std::size_t fresh_nodes()
    {
        std::size_t n = 0;
        for (const auto& it : nodes_)
            n += it->view.is_fresh(now_) ? 1 : 0;
        return n;
    }

    std::size_t max_message_bytes = 0;
    std::size_t max_message_entries = 0;
    std::size_t bytes_sent = 0;

private:
    struct message
    {
        std::string from;
        std::string to;
        std::shared_ptr<wire::gossip> body;
    };

    void add(std::size_t n, std::size_t zones, std::int64_t incarnation)
    {
        auto it = std::make_unique<gossip_node>(n, zones, incarnation, seeds_,
                                                max_entries_, suspect_after_);
        it->gossip.set_payload_callback(
            [this, node = it.get()](wire::gossip& out, std::size_t)
            { out.set_store_read_age_ms(node->view.store_read_age(now_)); });
        if (n < nodes_.size())
            nodes_[n] = std::move(it);
        else
            nodes_.push_back(std::move(it));
    }

    void tick(gossip_node& it)
    {
        it.view.tick(now_, it.summary(now_));
        if (it.reaches_store)
            it.view.note_own_read(now_);
        for (auto& out : it.gossip.tick(now_))
            send({it.name, out.peer_address, out.message});
    }

    void send(message it)
    {
        const auto size = it.body->ByteSizeLong();
        bytes_sent += size;
        max_message_bytes = std::max(max_message_bytes, size);
        max_message_entries =
            std::max(max_message_entries,
                     static_cast<std::size_t>(it.body->members_size()));
        links_.push_back(std::move(it));
    }

    gossip_node& find(const std::string& address)
    {
        const auto port = std::stoul(address.substr(address.find(':') + 1));
        return *nodes_.at(port - 7000);
    }

    gossip_node& sender(const message& it)
    {
        return *nodes_.at(std::stoul(it.from.substr(1)));
    }

    void deliver()
    {
        std::deque<message> waiting;
        while (!links_.empty())
        {
            auto it = std::move(links_.front());
            links_.pop_front();
            auto& to = find(it.to);
            if (to.paused)
                waiting.push_back(std::move(it));
            else if (!to.down && !(lost_ && lost_(sender(it), to)))
                receive(to, it);
        }
        links_ = std::move(waiting);
    }

    void receive(gossip_node& to, const message& it)
    {
        if (const auto proven = to.gossip.proven_time(*it.body))
            to.view.note_peer_age(*proven, it.body->store_read_age_ms());
        if (auto reply = to.gossip.on_gossip(it.from, *it.body, now_))
            send({to.name, gossip_node::address(std::stoul(it.from.substr(1))),
                  std::move(reply)});
    }

    std::size_t max_entries_;
    msec suspect_after_;
    std::vector<std::string> seeds_;
    std::vector<std::unique_ptr<gossip_node>> nodes_;
    std::deque<message> links_;
    loss lost_;
    bool held_ = false;
    msec now_ = 0;
};

} // namespace galenapulley
