#pragma once

#include "galenapulley/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace galenapulley
{

/// Share of the cluster's retries that this node may use.
struct retry_allowance
{
    /// Retries per window, regardless of the number of requests.
    std::uint32_t base = 10;
    /// Additional retries per request in the window.
    double ratio = 0.1;
};

/// Bounds a node's retries: by default to 10% of its requests plus 10 in any
/// 10 s.
class retry_budget
{
public:
    static constexpr msec window = 10'000_ms;
    static constexpr std::uint32_t base_retries = 10;
    static constexpr std::uint32_t requests_per_retry = 10;
    /// Back ends that one request may try.
    static constexpr std::uint32_t max_attempts = 2;

    void set_allowance(retry_allowance value) { allowance_ = value; }

    void on_request(msec now);
    /// Counts a retry that another node has made.
    void on_retry(msec now);
    /// Takes one retry from the budget. `attempts` counts the back ends that
    /// the request has tried. Returns false if no retry is allowed.
    bool take_retry(std::uint32_t attempts, msec now);
    /// Takes one retry for a request whose attempts are bounded elsewhere.
    bool take_retry(msec now);

private:
    struct bucket
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    bucket& current(msec now);
    bool has_budget(msec now) const;

    retry_allowance allowance_;
    /// One more than the seconds of the window, as its oldest second may be
    /// partly inside.
    std::array<bucket, 11> buckets_{};
};

} // namespace galenapulley
