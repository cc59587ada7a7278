#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/prefixes/prompt_prefix.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// An endpoint that declares that it retains prompt prefixes.
struct prefix_holder
{
    endpoint_key endpoint = 0;
    prefix_retention retention{};
    std::uint64_t weights = 0;
};

/// A prefix that an endpoint holds in memory.
struct held_prefix
{
    endpoint_key endpoint = 0;
    std::uint64_t prefix = 0;
    /// Tokens that it adds to the next shorter prefix, so that the sum over all
    /// prefixes is the memory in use.
    double added_tokens = 0;
    /// When the endpoint may have evicted it.
    msec until = 0;
    /// Version of the weights that computed it.
    std::uint64_t weights = 0;
};

/// Which prompt prefixes each endpoint holds in memory, as far as this node
/// knows from its own requests and from its peers' reports. It assumes that an
/// endpoint evicts what was not used for the longest time, so it may be wrong
/// about any prefix; a wrong entry costs a longer wait and nothing else.
class prefix_index
{
public:
    /// Sets the endpoints that retain prefixes. What is known of other
    /// incarnations, and of other weights, is forgotten.
    void set_holders(std::span<const prefix_holder> holders);
    /// The endpoint has served a prompt with these prefixes. Returns what is to
    /// be reported to peers; empty if the endpoint retains none.
    std::vector<held_prefix> on_served(endpoint_key key,
                                       std::span<const prompt_prefix> prefixes,
                                       msec now);
    /// A peer reports a prefix. Reports that can't be true, or that were made
    /// before the endpoint lost its memory, are ignored.
    void on_report(const held_prefix& item, msec now);
    /// The endpoint has refused a request, or has failed, so its memory may be
    /// gone.
    void forget(endpoint_key key, msec now);

    /// Tokens at the start of the prompt that the endpoint holds in memory.
    double retained_tokens(endpoint_key key,
                           std::span<const prompt_prefix> prefixes,
                           msec now) const;
    /// Whether any endpoint retains prefixes.
    bool has_holders() const { return !holders_.empty(); }
    /// The prefixes that requests of this node have left in memory, the last
    /// used ones first.
    std::vector<held_prefix> own(std::size_t max, msec now) const;
    /// Number of known prefixes.
    std::size_t size() const;

    static constexpr std::size_t max_prefixes_per_endpoint = 512;
    /// Longest time for which a report is believed to have been under way. It
    /// equals the period in which nodes announce all their work.
    static constexpr msec max_report_delay = 2000;

private:
    struct entry
    {
        double added_tokens = 0;
        msec until = 0;
        /// Whether a request of this node has used it.
        bool own = false;
    };

    struct holder
    {
        prefix_holder declared{};
        std::unordered_map<std::uint64_t, entry> entries{};
        /// Sum of added_tokens.
        double tokens = 0;
        std::optional<msec> lost_at{};
    };

    holder* find(endpoint_key key);
    static bool add(holder& at, std::uint64_t prefix, const entry& item,
                    msec now);
    static void evict(holder& at, msec now);
    static void erase_first_to_end(holder& at);

    std::unordered_map<endpoint_key, holder> holders_;
};

} // namespace galenapulley
