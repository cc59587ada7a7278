#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace galenapulley
{

/// When requests were lately placed on each endpoint, also those that have
/// ended.
class placement_history
{
public:
    void add(endpoint_key key, msec now);
    /// Number of placements within the time before `now`, at most `memory`.
    std::uint32_t count(endpoint_key key, msec window, msec now) const;

    /// Number of requests that the endpoint still takes under a rate limit.
    std::uint32_t room(endpoint_key key, double per_second, msec now) const;

    static constexpr msec memory = 4_sec;

private:
    void expire(msec now);

    /// In order of time.
    std::unordered_map<endpoint_key, std::deque<msec>> placed_at_;
    msec next_expiry_ = 0;
};

} // namespace galenapulley
