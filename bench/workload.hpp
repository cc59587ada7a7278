#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenapulley::bench
{

/// One length class of a workload; lengths are log-uniform between the bounds.
struct length_band
{
    std::string name;
    std::uint32_t from_tokens = 0;
    std::uint32_t to_tokens = 0;
    /// Share of all requests.
    double share = 0;
    msec deadline = 0;
    std::uint32_t reserved_percent = 0;
};

/// What a workload file describes. Times are model time: wall-clock time
/// multiplied by the time scale.
struct workload
{
    std::string name;
    std::size_t engines = 0;
    std::size_t zones = 0;
    std::size_t nodes_per_zone = 0;
    /// Not simulated: the fleet runs on loopback, which adds no delay.
    double one_way_between_zones_ms = 0;
    double time_scale = 1;
    double prefill_tokens_per_s = 0;
    double decode_tokens_per_s = 0;
    std::uint32_t kv_tokens = 0;
    std::uint32_t slots = 0;
    std::uint32_t cold_slots = 0;
    msec warm_after = 0;
    double requests_per_s = 0;
    /// Time under load before the measurement, in which the nodes learn the
    /// engines' rates.
    msec warm_up = 0;
    msec duration = 0;
    /// Time after the last arrival in which requests may still end.
    msec drain = 0;
    std::vector<length_band> bands;
    std::uint32_t output_from = 0;
    std::uint32_t output_to = 0;
    /// Share of callers that disconnect early, and the mean of the
    /// exponentially distributed time after which they do.
    double abandon_share = 0;
    double abandon_mean_ms = 0;
    std::size_t large_customers = 0;
    std::size_t small_customers = 0;
    /// Share of the requests that the large customers send.
    double large_share = 0;
    std::uint32_t max_in_flight = 0;

    std::size_t customers() const { return large_customers + small_customers; }
};

/// One request of a workload.
struct arrival
{
    /// Since the start of the load, in model time.
    double at_ms = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::size_t band = 0;
    std::size_t customer = 0;
    /// Selects the node.
    std::uint32_t entry = 0;
    std::uint64_t seed = 0;
    /// Time after which the caller disconnects; 0 if it waits for the response.
    double abandon_after_ms = 0;
};

/// Reads a workload file; throws on a malformed one.
workload read_workload(const std::string& path);

/// Open-loop Poisson arrivals; the same seed gives the same list.
std::vector<arrival> make_arrivals(const workload& load, std::uint64_t seed);

/// The arrivals of the first band at unchanged times.
std::vector<arrival> only_first_band(const std::vector<arrival>& all);

} // namespace galenapulley::bench
