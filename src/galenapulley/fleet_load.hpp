#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// Names one incarnation of an endpoint within the cluster.
using endpoint_key = std::uint64_t;

/// A request that a node has sent to endpoints.
struct placed_work
{
    /// Unique in the cluster.
    std::uint64_t request = 0;
    std::string node{};
    /// The first one runs the request; the others read parts of its prompt.
    std::vector<endpoint_key> endpoints{};
    double prompt_tokens = 0;
    double output_tokens = 0;
    /// Tokens that each of the endpoints holds in memory; empty if the first
    /// one holds all.
    std::vector<double> held_tokens{};
    /// Time that each of the endpoints needs to read its part.
    double part_ms = 0;
    /// Longest pause between events that its client accepts.
    msec gap_target = 0;
    /// Worth of a timely answer, in the unit of placement_request::value.
    double value = 0;
    /// When its first event is due on this node's clock, and how long after
    /// the request that is.
    msec due_at = 0;
    msec target = 0;
    /// The first event has arrived.
    bool writing = false;

    bool split() const { return endpoints.size() > 1; }
};

/// A request that writes on an endpoint, as far as others can disturb it.
struct writer
{
    msec gap_target = 0;
    double value = 0;
};

/// A read that an endpoint has not finished.
struct pending_read
{
    double value = 0;
    /// Expected time until it is done.
    double finish_ms = 0;
    /// Time left until its first event is due; negative once it is late.
    double due_in_ms = 0;
    double target_ms = 0;
};

/// What one endpoint is known to carry.
struct endpoint_load
{
    std::uint32_t running = 0;
    /// Parts of other endpoints' prompts that it reads.
    std::uint32_t helping = 0;
    /// Expected time until all reads placed so far are done.
    double backlog_ms = 0;
    /// Part of the backlog that belongs to prompts read by several endpoints.
    double split_ms = 0;
    std::vector<pending_read> reads{};
    double memory_tokens = 0;
    double context_tokens = 0;
    /// Requests placed in the last second.
    std::uint32_t recent = 0;
    std::vector<writer> writers{};
};

/// The work of all nodes on all endpoints, from the node's own placements and
/// from its peers' announcements.
class fleet_load
{
public:
    /// Adds a placement; one with a known number replaces it.
    void add(placed_work work, msec now);
    /// Notes that the first event of a request has arrived.
    void on_first_event(std::uint64_t request, msec now);
    void remove(std::uint64_t request, msec now);
    /// Makes the work of a node equal to `work`.
    void replace_node(const std::string& node, std::vector<placed_work> work,
                      msec now);
    void remove_node(const std::string& node, msec now);

    endpoint_load load_of(endpoint_key key, msec now) const;
    const placed_work* find(std::uint64_t request) const;
    std::vector<const placed_work*> work_of(const std::string& node) const;
    std::size_t size() const { return work_.size(); }

private:
    struct read
    {
        std::uint64_t request = 0;
        double left_ms = 0;
        bool split = false;
    };

    /// One endpoint. Engines read the parts of split prompts first, the newest
    /// one ahead of the others, and then whole prompts in order.
    struct lane
    {
        std::vector<std::uint64_t> requests;
        /// In the order in which they are read.
        std::vector<read> reads;
        std::vector<msec> placed;
        /// Until when the work of the first read is accounted for.
        msec advanced_to = 0;
    };

    /// Work done by `now`, over the reads in their order.
    static std::vector<read> reads_at(const lane& value, msec now);
    static void advance(lane& value, msec now);
    static void add_memory(endpoint_load& load, const placed_work& work,
                           endpoint_key key);
    void forget_read(const placed_work& work, msec now);

    std::unordered_map<std::uint64_t, placed_work> work_;
    std::unordered_map<endpoint_key, lane> lanes_;
};

} // namespace galenapulley
