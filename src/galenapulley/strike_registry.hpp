#pragma once

#include "galenapulley/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// A back end died while it ran the request with this fingerprint.
struct strike
{
    std::uint64_t fingerprint = 0;
    std::uint64_t crash_id = 0;
    msec at = 0;
};

/// Quarantine of requests that crash back ends.
class strike_registry
{
public:
    static constexpr msec quarantine_time = 600'000_ms;

    /// Most crashes kept of one fingerprint.
    static constexpr std::size_t max_crashes = 3;

    /// `crashes` distinct crashes put a fingerprint in quarantine: 2 or 3.
    explicit strike_registry(std::size_t capacity = 4096,
                             std::size_t crashes = 2);

    /// Returns true if the crash was not known. The order in which strikes
    /// arrive does not matter.
    bool add(const strike& item, msec now);
    /// Whether enough distinct crashes of the fingerprint are known.
    bool is_quarantined(std::uint64_t fingerprint, msec now) const;
    /// Newest strikes first, at most `max`, for gossip.
    std::vector<strike> recent(std::size_t max, msec now) const;
    /// Fingerprints known.
    std::size_t size() const { return entries_.size(); }

private:
    /// The newest distinct crashes of a fingerprint, newest first.
    struct entry
    {
        std::array<strike, max_crashes> crashes;
        std::size_t count = 0;
    };

    void expire(msec now);
    void evict_oldest();

    std::size_t capacity_;
    std::size_t needed_;
    std::unordered_map<std::uint64_t, entry> entries_;
    msec next_expiry_ = 0;
};

} // namespace galenapulley
