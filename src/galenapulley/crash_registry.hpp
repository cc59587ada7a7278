#pragma once

#include "galenapulley/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// Report that a back end crashed while it ran the request with this
/// fingerprint.
struct crash_report
{
    std::uint64_t fingerprint = 0;
    std::uint64_t crash_id = 0;
    msec at = 0;
};

/// Keeps crash reports and quarantines requests that crash back ends.
class crash_registry
{
public:
    static constexpr msec quarantine_time = 600'000_ms;

    /// Crash reports kept per fingerprint.
    static constexpr std::size_t max_crashes = 3;

    /// `crashes` distinct crashes, 2 or 3, quarantine a fingerprint.
    explicit crash_registry(std::size_t capacity = 4096,
                            std::size_t crashes = 2);

    /// Returns true if the crash was not known. The result does not depend on
    /// the order in which reports arrive.
    bool add(const crash_report& item, msec now);
    /// Whether enough distinct crashes of the fingerprint are recent.
    bool is_quarantined(std::uint64_t fingerprint, msec now) const;
    /// At most `max` reports for gossip, newest first.
    std::vector<crash_report> recent(std::size_t max, msec now) const;
    /// Number of known fingerprints.
    std::size_t size() const { return entries_.size(); }

private:
    /// The newest distinct crashes of a fingerprint, newest first.
    struct entry
    {
        std::array<crash_report, max_crashes> crashes;
        std::size_t count = 0;
    };

    void expire(msec now);
    void evict_oldest();

    std::size_t capacity_;
    std::size_t quarantine_threshold_;
    std::unordered_map<std::uint64_t, entry> entries_;
    msec next_expiry_ = 0;
};

} // namespace galenapulley
