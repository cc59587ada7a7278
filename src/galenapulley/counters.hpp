#pragma once

#include "galenapulley/error_kind.hpp"
#include "galenapulley/permit.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

enum class retry_reason
{
    connect_failed,
    back_end_failed,
    stream_resumed,
    stream_restarted,
    owner_silent,
    permit_refused,
    memory_refused,
    paused,
    handover_refused
};

enum class state_change
{
    shard_gained,
    shard_lost,
    shard_lapsed,
    shard_restored,
    lease_lost,
    config_accepted,
    config_rejected,
    config_applied
};

std::string_view name_of(retry_reason reason);
std::string_view name_of(permit_outcome outcome);
std::string_view name_of(state_change change);

/// A counter metric with a fixed set of label values. Increments are
/// thread-safe.
class counter_family
{
public:
    counter_family(std::string name, std::string help, std::string label,
                   std::vector<std::string> values);

    void increment(std::size_t index, std::uint64_t n = 1);
    std::uint64_t value(std::size_t index) const;
    const std::string& name() const { return name_; }
    void expose(std::string& out) const;

private:
    std::string name_;
    std::string help_;
    std::string label_;
    std::vector<std::string> values_;
    std::vector<std::atomic<std::uint64_t>> counts_;
};

/// Registry of the counters of a node.
class counters
{
public:
    counters();

    void count(error_kind refusal) { increment(*refusals_, refusal); }
    void count(retry_reason reason) { increment(*retries_, reason); }
    void count(permit_outcome outcome) { increment(*releases_, outcome); }
    void count(state_change change) { increment(*changes_, change); }

    std::uint64_t value(error_kind refusal) const;
    std::uint64_t value(retry_reason reason) const;
    std::uint64_t value(permit_outcome outcome) const;
    std::uint64_t value(state_change change) const;

    /// Adds a counter. The reference is valid for the lifetime of the registry.
    counter_family& add(std::string name, std::string help, std::string label,
                        std::vector<std::string> values);

    /// Formats all counters in the Prometheus text format.
    std::string expose() const;

private:
    template <typename Label>
    static void increment(counter_family& family, Label label)
    {
        family.increment(static_cast<std::size_t>(label));
    }

    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<counter_family>> families_;
    counter_family* refusals_;
    counter_family* retries_;
    counter_family* releases_;
    counter_family* changes_;
};

} // namespace galenapulley
