#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/placement_history.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// A request that a node has sent to endpoints.
struct placed_work
{
    /// Unique in the cluster.
    std::uint64_t request = 0;
    std::string node{};
    /// Hash of the name of the client account; 0 for none.
    std::uint64_t account = 0;
    /// The primary endpoint and then the helpers, which prefill segments.
    std::vector<endpoint_key> endpoints{};
    double prompt_tokens = 0;
    double output_tokens = 0;
    /// KV cache tokens reserved at each endpoint; empty if the primary endpoint
    /// holds all.
    std::vector<double> reserved_tokens{};
    /// Prefill time of each endpoint's segment.
    double segment_ms = 0;
    /// Longest token gap that its client accepts.
    msec token_gap_target = 0;
    /// Value of a timely response, in the unit of placement_request::value.
    double value = 0;
    /// When its first token is due on this node's clock, and how long after the
    /// request that is.
    msec first_token_due_at = 0;
    msec first_token_target = 0;
    /// Whether the first token has arrived.
    bool decoding = false;

    bool split() const { return endpoints.size() > 1; }
};

/// A request that an endpoint decodes, as far as other work can delay it.
struct decoding_request
{
    msec token_gap_target = 0;
    double value = 0;
};

/// A prefill that an endpoint has not finished.
struct pending_prefill
{
    double value = 0;
    /// Expected time until it ends.
    double finish_ms = 0;
    /// Time left until its first token is due; negative once it is late.
    double due_in_ms = 0;
    double first_token_target_ms = 0;
};

/// Load of one endpoint as far as this node knows it.
struct endpoint_load
{
    std::uint32_t running = 0;
    /// Segments that it prefills for other endpoints.
    std::uint32_t helper_prefills = 0;
    /// Expected time until all prefills placed so far are done.
    double backlog_ms = 0;
    /// Part of the backlog that belongs to prompts split over endpoints.
    double split_backlog_ms = 0;
    std::vector<pending_prefill> pending_prefills{};
    double memory_tokens = 0;
    double context_tokens = 0;
    /// Requests placed in the last second.
    std::uint32_t recent_placements = 0;
    std::vector<decoding_request> decoding_requests{};
};

/// Work of all nodes on all endpoints, known from this node's placements and
/// from its peers' announcements.
class fleet_load
{
public:
    /// Adds a placement or replaces the known one of the same request.
    void add(placed_work work, msec now);
    /// Ends the prefill of a request.
    void on_first_token(std::uint64_t request, msec now);
    void remove(std::uint64_t request, msec now);
    /// Replaces all work of a node by `work`.
    void replace_node(const std::string& node, std::vector<placed_work> work,
                      msec now);
    void remove_node(const std::string& node, msec now);

    endpoint_load load_of(endpoint_key key, msec now) const;
    const placement_history& placements() const { return placements_; }
    const placed_work* find(std::uint64_t request) const;
    std::vector<const placed_work*> work_of(const std::string& node) const;
    std::size_t size() const { return work_.size(); }

private:
    struct prefill
    {
        std::uint64_t request = 0;
        double left_ms = 0;
        bool split = false;
    };

    /// Requests of one endpoint. Engines prefill segments of split prompts
    /// first, the newest one ahead of the others, and then whole prompts in
    /// order.
    struct endpoint_queue
    {
        std::vector<std::uint64_t> requests;
        /// In the order in which the engine prefills them.
        std::vector<prefill> prefills;
        /// Time up to which the progress of `prefills` is accounted for.
        msec advanced_to = 0;
    };

    /// Remaining prefills at `now`, processed one after the other.
    static std::vector<prefill> prefills_at(const endpoint_queue& queue,
                                            msec now);
    static void advance(endpoint_queue& queue, msec now);
    static void add_memory(endpoint_load& load, const placed_work& work,
                           endpoint_key key);
    void remove_prefill(const placed_work& work, msec now);

    std::unordered_map<std::uint64_t, placed_work> work_;
    std::unordered_map<endpoint_key, endpoint_queue> queues_;
    placement_history placements_;
};

} // namespace galenapulley
