#pragma once

#include "galenapulley/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

namespace galenapulley
{

/// Length of a prompt by what its prefill does to decoding requests.
enum class prompt_length
{
    /// Its prefill fits into the token gap that its client accepts.
    brief,
    lengthy
};

constexpr std::size_t prompt_length_count =
    static_cast<std::size_t>(prompt_length::lengthy) + 1;

prompt_length length_of(double prefill_ms, double gap_target_ms);

/// What the forecast needs to know of an endpoint.
struct endpoint_room
{
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    /// Expected time until all prefills placed so far are done.
    double backlog_ms = 0;
};

/// A request whose time to first token is forecast.
struct forecast_request
{
    std::uint64_t id = 0;
    std::string service{};
    prompt_length length = prompt_length::brief;
    /// Prefill time, and length of the pass that yields the first token.
    double prefill_ms = 0;
    double pass_ms = 0;
    /// Most endpoints that prefill segments of it.
    std::size_t max_segments = 1;
};

struct first_token_forecast
{
    /// Expected time until the first token, and mean error of that.
    double expected_ms = 0;
    double error_ms = 0;
    /// The times until the placement and from there to the first token, without
    /// the correction by earlier results.
    double uncorrected_wait_ms = 0;
    double uncorrected_service_ms = 0;
    /// Expected time until the placement.
    double wait_ms = 0;
    bool has_free_slot = false;
    /// False if the request has to wait for a slot and no request of the
    /// service has ended yet, so that it is unknown how long slots are
    /// occupied.
    bool is_known = true;
};

/// Forecasts the time to first token of requests that wait for an endpoint,
/// from the work at the endpoints, the requests that wait ahead, and the
/// results of earlier forecasts of the service and length.
class wait_forecast
{
public:
    /// The forecast of a request that would begin to wait now.
    first_token_forecast
    forecast(const forecast_request& item,
             std::span<const endpoint_room> endpoints) const;

    /// The request begins to wait.
    void on_waiting(const forecast_request& item,
                    const first_token_forecast& made, msec now);
    /// The request doesn't wait any more and isn't placed.
    void on_dropped(std::uint64_t id);
    /// The request is placed, also if it didn't wait.
    void on_placed(std::uint64_t id, const std::string& service, msec now);
    void on_first_token(std::uint64_t id, msec now);
    void on_ended(std::uint64_t id, msec now);

    /// Requests of the service that wait.
    std::size_t waiting(const std::string& service) const;
    /// Requests of which state is kept.
    std::size_t size() const
    {
        return waiting_.size() + unconfirmed_.size() + placed_.size();
    }

private:
    struct pending_forecast
    {
        forecast_request item{};
        first_token_forecast made{};
        msec began_at = 0;
        msec placed_at = 0;
    };
    struct placed_request
    {
        std::string service;
        msec placed_at = 0;
    };
    /// Sums of observed and expected times that favour recent results. Sums
    /// rather than ratios, as those of short waits vary most. They start with
    /// the weight of one second of results that were as expected.
    struct correction
    {
        double observed_ms = 1000;
        double uncorrected_ms = 1000;

        double ratio() const { return observed_ms / uncorrected_ms; }
        void add(double observed, double uncorrected);
    };
    struct class_state
    {
        correction wait{};
        correction service{};
        /// Mean relative error.
        double error = 0.5;
    };
    struct service_state
    {
        std::size_t waiting = 0;
        double waiting_prefill_ms = 0;
        /// Time from a placement to the end of the response; 0 if unknown.
        double occupancy_ms = 0;
        std::array<class_state, prompt_length_count> classes{};
    };

    class_state& class_of(const forecast_request& item);
    void remove_waiting(std::uint64_t id);

    std::map<std::string, service_state> services_;
    std::unordered_map<std::uint64_t, pending_forecast> waiting_;
    /// Forecasts of placed requests whose first token has not arrived.
    std::unordered_map<std::uint64_t, pending_forecast> unconfirmed_;
    std::unordered_map<std::uint64_t, placed_request> placed_;
};

} // namespace galenapulley
