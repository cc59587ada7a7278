// Gossip at several fleet sizes: processor time and bytes per message and per
// tick, memory per member, and rounds until a change has reached every node.
#include "bench_support.hpp"
#include "galenapulley/membership.hpp"
#include "peer.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using nlohmann::json;

namespace
{

constexpr std::size_t zones = 8;
constexpr std::size_t shards = 48;
constexpr std::size_t measured_rounds = 60;
constexpr std::size_t max_spread_rounds = 600;
/// Entries of nodes that just joined are sent in full until every node has
/// forwarded them several times, which takes about 260 s with 350 nodes that
/// start together.
constexpr std::size_t steady_after_rounds = 300;
/// Nodes that receive a document directly, config_manager's max_direct_pushes.
constexpr std::size_t direct_pushes = 32;

struct costs
{
    double tick_us = 0;
    double serialize_us = 0;
    double parse_us = 0;
    double receive_us = 0;
    std::size_t ticks = 0;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    std::size_t suspected = 0;
    std::size_t checks = 0;
};

class gossip_bench
{
public:
    gossip_bench(std::size_t n, std::size_t repeated_owners)
        : repeated_owners_(repeated_owners)
    {
        const auto before = bench::heap_bytes();
        for (std::size_t k = 0; k < n; ++k)
            nodes_.push_back(std::make_unique<membership>(options_of(k)));
        has_document_.assign(n, false);
        for (std::size_t k = 0; k < shards; ++k)
            nodes_[k % n]->note_shard_owner(
                {.shard = shard_name(k), .node = node_name(k % n), .epoch = 1});
        while (!is_converged() && round_ < max_spread_rounds)
            run_round(nullptr);
        heap_ = bench::heap_bytes() - before;
    }

    json run()
    {
        json result{
            {"members", nodes_.size()},
            {"rounds_to_converge", round_},
            {"heap_bytes_per_node", heap_ / nodes_.size()},
            {"heap_bytes_per_member", heap_ / (nodes_.size() * nodes_.size())}};
        result["repeated_shard_owners"] = repeated_owners_;
        costs starting;
        run_round(&starting);
        result["bytes_per_node_s_at_start"] = starting.bytes / starting.ticks;
        for (std::size_t k = 0; k < steady_after_rounds; ++k)
            run_round(nullptr);
        costs sum;
        for (std::size_t k = 0; k < measured_rounds; ++k)
            run_round(&sum);
        const auto messages = static_cast<double>(sum.messages);
        result["tick_us"] = sum.tick_us / static_cast<double>(sum.ticks);
        result["serialize_us"] = sum.serialize_us / messages;
        result["parse_us"] = sum.parse_us / messages;
        result["receive_us"] = sum.receive_us / messages;
        result["bytes_per_message"] = sum.bytes / sum.messages;
        result["messages_per_node_s"] =
            messages / static_cast<double>(sum.ticks);
        result["bytes_per_node_s"] = sum.bytes / sum.ticks;
        result["cpu_us_per_node_s"] =
            (sum.tick_us + sum.serialize_us + sum.parse_us + sum.receive_us) /
            static_cast<double>(sum.ticks);
        result["suspected_share"] = static_cast<double>(sum.suspected) /
                                    static_cast<double>(sum.checks);
        result["owner_spread_rounds"] = spread_owner();
        result["document_rounds_from_1"] = spread_document(1);
        result["document_rounds_from_33"] = spread_document(1 + direct_pushes);
        result["restart_spread_rounds"] = spread_restart();
        return result;
    }

private:
    static std::string node_name(std::size_t n)
    {
        return "node-" + std::to_string(n);
    }
    static std::string address(std::size_t n)
    {
        return "10.11.12.113:" + std::to_string(7000 + n);
    }
    static std::string shard_name(std::size_t n)
    {
        return "service-" + std::to_string(n / zones) + "/zone-" +
               std::to_string(n % zones);
    }

    membership_options options_of(std::size_t n) const
    {
        return {.node = node_name(n),
                .zone = "zone-" + std::to_string(n % zones),
                .peer_address = address(n),
                .listen_address = "10.11.12.113:" + std::to_string(9000 + n),
                .incarnation = 1'780'000'000'000 + static_cast<msec>(round_),
                .seeds = {address(0), address(1), address(2)},
                .repeated_shard_owners = repeated_owners_,
                .seed = n + 1};
    }

    bool is_converged() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [&](const auto& it)
                           { return it->known_peers() + 1 == nodes_.size(); });
    }

    void run_round(costs* sum)
    {
        ++round_;
        now_ += 1000;
        for (std::size_t n = 0; n < nodes_.size(); ++n)
        {
            const auto start = bench::thread_cpu_us();
            const auto messages = nodes_[n]->tick(now_);
            if (sum != nullptr)
            {
                sum->tick_us += bench::thread_cpu_us() - start;
                ++sum->ticks;
                sum->checks += nodes_.size() - 1;
                sum->suspected += nodes_[n]->known_peers() -
                                  nodes_[n]->live_members(now_).size();
            }
            for (const auto& it : messages)
            {
                const auto to = std::stoul(it.peer_address.substr(
                                    it.peer_address.find(':') + 1)) -
                                7000;
                if (auto reply = deliver(n, to, *it.message, sum))
                    deliver(to, n, *reply, sum);
            }
        }
    }

    /// Serializes, parses and delivers a message; returns the reply.
    std::shared_ptr<wire::gossip> deliver(std::size_t from, std::size_t to,
                                          const wire::gossip& body, costs* sum)
    {
        const auto start = bench::thread_cpu_us();
        wire::peer_message out;
        out.set_from(node_name(from));
        out.set_incarnation(1'780'000'000'000);
        *out.mutable_gossip() = body;
        out.mutable_gossip()->set_config_head(123'456);
        out.mutable_gossip()->set_config_digest(~0ULL);
        out.mutable_gossip()->set_store_read_age_ms(1500);
        out.mutable_gossip()->set_settled(true);
        const auto bytes = out.SerializeAsString();
        const auto serialized = bench::thread_cpu_us();
        wire::peer_message in;
        in.ParseFromString(bytes);
        const auto parsed = bench::thread_cpu_us();
        auto reply = nodes_[to]->on_gossip(in.from(), in.gossip(), now_);
        if (has_document_[from])
            has_document_[to] = true;
        if (sum != nullptr)
        {
            sum->serialize_us += serialized - start;
            sum->parse_us += parsed - serialized;
            sum->receive_us += bench::thread_cpu_us() - parsed;
            ++sum->messages;
            sum->bytes += bytes.size();
        }
        return reply;
    }

    template <typename Condition>
    std::size_t rounds_until(Condition reached)
    {
        std::size_t rounds = 0;
        while (!reached() && rounds++ < max_spread_rounds)
            run_round(nullptr);
        return rounds;
    }

    /// Rounds until every node knows a shard's new owner.
    std::size_t spread_owner()
    {
        nodes_[0]->note_shard_owner(
            {.shard = shard_name(1), .node = node_name(0), .epoch = 2});
        return rounds_until(
            [&]
            {
                return std::all_of(
                    nodes_.begin(), nodes_.end(),
                    [&](const auto& it)
                    {
                        const auto* known = it->owner_of(shard_name(1));
                        return known != nullptr && known->epoch == 2;
                    });
            });
    }

    /// Rounds until every node has exchanged gossip with a holder of a document
    /// that `holders` nodes have at first. Pulling it takes each node one more
    /// round trip.
    std::size_t spread_document(std::size_t holders)
    {
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            has_document_[n] = n < holders;
        return rounds_until(
            [&]
            {
                return std::all_of(has_document_.begin(), has_document_.end(),
                                   [](bool it) { return it; });
            });
    }

    /// Rounds until every node knows the new incarnation of the last node.
    std::size_t spread_restart()
    {
        const auto last = nodes_.size() - 1;
        const auto options = options_of(last);
        nodes_[last] = std::make_unique<membership>(options);
        return rounds_until(
            [&]
            {
                return std::all_of(
                    nodes_.begin(), nodes_.end() - 1,
                    [&](const auto& it)
                    {
                        const auto* known = it->find(options.node);
                        return known != nullptr &&
                               known->incarnation == options.incarnation;
                    });
            });
    }

    std::size_t repeated_owners_;
    std::vector<std::unique_ptr<membership>> nodes_;
    std::vector<bool> has_document_;
    std::int64_t heap_ = 0;
    std::size_t round_ = 0;
    msec now_ = 1'000'000;
};

} // namespace

int main()
{
    json list = json::array();
    for (const std::size_t n : {18, 36, 100, 350})
        for (const std::size_t repeated_owners : {8, 2})
            list.push_back(gossip_bench(n, repeated_owners).run());
    std::cout << list.dump(1) << "\n";
    return 0;
}
