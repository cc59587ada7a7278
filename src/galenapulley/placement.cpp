#include "galenapulley/placement.hpp"

#include <tuple>

namespace galenapulley
{

namespace
{

using candidate_list = std::vector<back_end_candidate>;

/// Index of the eligible candidate with the least key.
template <typename Key>
std::size_t least(const candidate_list& candidates, Key key)
{
    auto best = placement::none;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        if (candidates[n].eligible &&
            (best == placement::none ||
             key(candidates[n]) < key(candidates[best])))
            best = n;
    }
    return best;
}

class random_placement final : public placement
{
public:
    std::size_t choose(const candidate_list& candidates, bool /*is_long*/,
                       generator& random) override
    {
        // Reservoir sampling: the n-th eligible one replaces the choice with
        // probability 1/n.
        auto chosen = none;
        std::uint64_t seen = 0;
        for (std::size_t n = 0; n < candidates.size(); ++n)
        {
            if (candidates[n].eligible && random() % ++seen == 0)
                chosen = n;
        }
        return chosen;
    }
};

class round_robin final : public placement
{
public:
    std::size_t choose(const candidate_list& candidates, bool /*is_long*/,
                       generator& /*random*/) override
    {
        for (std::size_t n = 0; n < candidates.size(); ++n)
        {
            const auto i = (next_ + n) % candidates.size();
            if (!candidates[i].eligible)
                continue;
            next_ = i + 1;
            return i;
        }
        return none;
    }

private:
    std::size_t next_ = 0;
};

class least_outstanding final : public placement
{
public:
    std::size_t choose(const candidate_list& candidates, bool /*is_long*/,
                       generator& /*random*/) override
    {
        return least(candidates,
                     [](const back_end_candidate& it) { return it.running; });
    }
};

/// Confines long prompts to a subset of the back ends, one prefill at a time on
/// each, and keeps short prompts away from long prefills.
class size_interval final : public placement
{
public:
    std::size_t choose(const candidate_list& candidates, bool is_long,
                       generator& /*random*/) override
    {
        const auto n = least(
            candidates,
            [&](const back_end_candidate& it)
            {
                const auto work = static_cast<std::int64_t>(it.prefill_tokens) -
                                  static_cast<std::int64_t>(it.cached_tokens);
                const bool unsuitable = is_long
                                            ? !it.takes_long || it.long_prefill
                                            : it.long_prefill;
                return std::tuple(unsuitable, work, it.running);
            });
        if (n == none || !is_long)
            return n;
        const auto& it = candidates[n];
        return it.takes_long && !it.long_prefill ? n : none;
    }

    bool confines_long() const override { return true; }
    bool uses_classes() const override { return true; }
};

template <typename Strategy>
std::unique_ptr<placement> make()
{
    return std::make_unique<Strategy>();
}

struct strategy
{
    std::string_view name;
    std::unique_ptr<placement> (*make)();
};

constexpr strategy strategies[] = {
    {"random", make<random_placement>},
    {"round_robin", make<round_robin>},
    {"least_outstanding", make<least_outstanding>},
    {"size_interval", make<size_interval>},
};

} // namespace

std::unique_ptr<placement> make_placement(std::string_view name)
{
    for (const auto& it : strategies)
    {
        if (it.name == name)
            return it.make();
    }
    return nullptr;
}

bool placement_uses_classes(std::string_view name)
{
    const auto strategy = make_placement(name);
    return strategy == nullptr || strategy->uses_classes();
}

std::vector<std::string_view> placement_names()
{
    std::vector<std::string_view> names;
    for (const auto& it : strategies)
        names.push_back(it.name);
    return names;
}

} // namespace galenapulley
