#include "galenapulley/counters.hpp"

#include <array>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr std::array<std::string_view, 9> retry_names{
    "connect_failed",   "back_end_failed", "stream_resumed",
    "stream_restarted", "owner_silent",    "permit_refused",
    "memory_refused",   "paused",          "handover_refused"};
constexpr std::array<std::string_view, 5> outcome_names{
    "completed", "cancelled", "failed", "crashed", "unused"};
constexpr std::array<std::string_view, 8> change_names{
    "shard_gained", "shard_lost",      "shard_lapsed",    "shard_restored",
    "lease_lost",   "config_accepted", "config_rejected", "config_applied"};

static_assert(retry_names.size() ==
              static_cast<std::size_t>(retry_reason::handover_refused) + 1);
static_assert(outcome_names.size() ==
              static_cast<std::size_t>(permit_outcome::unused) + 1);
static_assert(change_names.size() ==
              static_cast<std::size_t>(state_change::config_applied) + 1);

template <typename Names>
std::vector<std::string> as_strings(const Names& names)
{
    return {names.begin(), names.end()};
}

std::vector<std::string> refusal_names()
{
    std::vector<std::string> names;
    names.reserve(error_kind_count);
    for (int n = 0; n < error_kind_count; ++n)
        names.emplace_back(name_of(static_cast<error_kind>(n)));
    return names;
}

std::string escaped(const std::string& text, bool with_quotes)
{
    std::string out;
    for (const auto c : text)
    {
        if (c == '\\' || (with_quotes && c == '"'))
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

} // namespace

std::string_view name_of(retry_reason reason)
{
    return retry_names.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(permit_outcome outcome)
{
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

std::string_view name_of(state_change change)
{
    return change_names.at(static_cast<std::size_t>(change));
}

counter_family::counter_family(std::string name, std::string help,
                               std::string label,
                               std::vector<std::string> values)
    : name_(std::move(name))
    , help_(std::move(help))
    , label_(std::move(label))
    , values_(std::move(values))
    , counts_(values_.size())
{
}

void counter_family::increment(std::size_t index, std::uint64_t n)
{
    counts_.at(index).fetch_add(n, std::memory_order_relaxed);
}

std::uint64_t counter_family::value(std::size_t index) const
{
    return counts_.at(index).load(std::memory_order_relaxed);
}

void counter_family::expose(std::string& out) const
{
    out += "# HELP " + name_ + " " + escaped(help_, false) + "\n";
    out += "# TYPE " + name_ + " counter\n";
    for (std::size_t n = 0; n < values_.size(); ++n)
        out += name_ + "{" + label_ + "=\"" + escaped(values_[n], true) +
               "\"} " + std::to_string(value(n)) + "\n";
}

counters::counters()
    : refusals_(&add("galenapulley_refusals_total",
                     "Error responses sent to clients.", "kind",
                     refusal_names()))
    , retries_(&add("galenapulley_retries_total",
                    "Attempts after the first one.", "reason",
                    as_strings(retry_names)))
    , releases_(&add("galenapulley_permit_releases_total",
                     "Permits returned to shard owners.", "outcome",
                     as_strings(outcome_names)))
    , changes_(&add("galenapulley_state_changes_total",
                    "Changes of shard ownership and of documents.", "change",
                    as_strings(change_names)))
{
}

std::uint64_t counters::value(error_kind refusal) const
{
    return refusals_->value(static_cast<std::size_t>(refusal));
}

std::uint64_t counters::value(retry_reason reason) const
{
    return retries_->value(static_cast<std::size_t>(reason));
}

std::uint64_t counters::value(permit_outcome outcome) const
{
    return releases_->value(static_cast<std::size_t>(outcome));
}

std::uint64_t counters::value(state_change change) const
{
    return changes_->value(static_cast<std::size_t>(change));
}

counter_family& counters::add(std::string name, std::string help,
                              std::string label,
                              std::vector<std::string> values)
{
    const std::lock_guard lock(mutex_);
    families_.push_back(std::make_unique<counter_family>(
        std::move(name), std::move(help), std::move(label), std::move(values)));
    return *families_.back();
}

std::string counters::expose() const
{
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& it : families_)
        it->expose(out);
    return out;
}

} // namespace galenapulley
