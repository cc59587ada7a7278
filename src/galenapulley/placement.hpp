#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// State of a back end that a placement strategy considers for one request.
struct back_end_candidate
{
    /// Whether the back end's limits allow the request.
    bool eligible = false;
    std::uint32_t running = 0;
    /// Prompt tokens granted and not yet processed.
    std::uint64_t prefill_tokens = 0;
    /// Prompt tokens that are expected to be in its prefix cache.
    std::uint32_t cached_tokens = 0;
    /// Whether long prompts may be placed here.
    bool takes_long = true;
    /// Whether it is prefilling a long prompt.
    bool long_prefill = false;
};

/// Strategy that chooses among the back ends of a shard.
class placement
{
public:
    using generator = std::mt19937_64;

    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    virtual ~placement() = default;

    /// Returns the index of the chosen candidate; `none` if none is suitable.
    virtual std::size_t
    choose(const std::vector<back_end_candidate>& candidates, bool is_long,
           generator& random) = 0;
    /// Whether long prompts are confined to a subset of the back ends.
    virtual bool confines_long() const { return false; }
    /// Whether length classes have limits, queues and priorities of their own.
    /// The baseline strategies treat all requests alike.
    virtual bool uses_classes() const { return false; }
};

/// Creates the strategy with that name; nullptr if there is none.
std::unique_ptr<placement> make_placement(std::string_view name);
/// Whether that strategy distinguishes length classes.
bool placement_uses_classes(std::string_view name);
std::vector<std::string_view> placement_names();

} // namespace galenapulley
