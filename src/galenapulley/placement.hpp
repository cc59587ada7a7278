#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// A back end as a placement strategy sees it for one request.
struct placement_candidate
{
    /// Whether the limits allow the request here.
    bool eligible = false;
    std::uint32_t running = 0;
    /// Prompt tokens granted and not yet processed.
    std::uint64_t prefill_tokens = 0;
    /// Tokens of the request's prompt that its cache is expected to hold.
    std::uint32_t cached_tokens = 0;
    /// Whether long prompts are confined to back ends like this one.
    bool takes_long = true;
    /// Whether a long prompt is in prefill.
    bool long_prefill = false;
};

/// Chooses among the back ends of a shard.
class placement
{
public:
    using generator = std::mt19937_64;

    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    virtual ~placement() = default;

    /// Index of the chosen candidate; `none` if no one is suitable.
    virtual std::size_t
    choose(const std::vector<placement_candidate>& candidates, bool is_long,
           generator& random) = 0;
    /// Whether long prompts are confined to some back ends.
    virtual bool confines_long() const { return false; }
    /// Whether length classes have limits, queues and priorities of their own.
    /// The baseline strategies treat all requests alike.
    virtual bool uses_classes() const { return false; }
};

/// Makes the strategy of that name; nullptr if there is none.
std::unique_ptr<placement> make_placement(std::string_view name);
/// Whether requests are told apart by length class under that strategy.
bool placement_uses_classes(std::string_view name);
/// Names of all strategies.
std::vector<std::string_view> placement_names();

} // namespace galenapulley
