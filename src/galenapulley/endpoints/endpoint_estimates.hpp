#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// What a node has observed of an endpoint, as it tells its peers.
struct endpoint_estimate
{
    endpoint_key endpoint = 0;
    /// Observed over expected time to first token, relative to the service.
    double slowdown = 1;
    double failure_rate = 0;
    /// Attempts behind the estimate, weighted by their age at `at`.
    double weight = 0;
    msec at = 0;
};

/// How much a failed attempt shows of its endpoint.
enum class failure_evidence
{
    /// The endpoint responded with an error, or not at all.
    failed,
    /// No connection could be made.
    unreachable,
    /// The connection broke, which the request may have caused.
    broken
};

/// An endpoint's state for operators.
struct estimate_view
{
    endpoint_key key = 0;
    double slowdown = 1;
    double failure_rate = 0;
    /// Weights of this node's and of the peers' attempts.
    double attempts = 0;
    double peer_attempts = 0;
    std::optional<msec> ejected_at{};
    msec trials_from = 0;
};

/// An endpoint that was ejected or reinstated.
struct ejection_change
{
    endpoint_key key = 0;
    bool ejected = false;
    double failure_rate = 0;
    double attempts = 0;
    /// Time until trials begin.
    msec time_out = 0;
};

/// Estimates of the endpoints' speed and reliability from the results of
/// attempts at them, weighted by age. Unreliable endpoints are ejected, which
/// leaves them only a few requests as trials, until trials succeed or worse
/// endpoints take up the number that may be ejected.
class endpoint_estimates
{
public:
    struct member
    {
        endpoint_key key = 0;
        std::string service{};
    };

    /// Sets the endpoints that take work. Others are forgotten.
    void set_members(const std::vector<member>& members);

    void on_success(endpoint_key key, msec now);
    void on_failure(endpoint_key key, failure_evidence evidence, msec now);
    /// The first token arrived after `observed_ms`, or was still missing then;
    /// it was expected after `expected_ms`. Only for attempts that other work
    /// delayed little.
    void on_first_token(endpoint_key key, double observed_ms,
                        double expected_ms, msec now);
    /// A peer's estimate. Returns whether it was used: values out of range,
    /// unknown endpoints and estimates older than the known one are ignored.
    bool on_peer_estimate(const std::string& peer,
                          const endpoint_estimate& item, msec now);
    /// Forgets this node's results, which a partition may explain.
    void forget_own_results();

    /// Ejects and reinstates endpoints, at most once in evaluation_period.
    std::vector<ejection_change> evaluate(msec now);

    bool is_ejected(endpoint_key key) const;
    std::size_t ejected() const;
    /// Whether a request with this random number from 0 to 1 should try the
    /// ejected endpoint.
    bool is_trial_due(endpoint_key key, double draw, msec now) const;
    /// Factor for the endpoint's expected times; at least 1.
    double slowdown(endpoint_key key) const;
    /// This node's own results, worst endpoints first.
    std::vector<endpoint_estimate> own(msec now) const;
    std::vector<estimate_view> all(msec now) const;

    /// Time after which a result counts half.
    static constexpr msec aging_period = 10'000;
    static constexpr msec evaluation_period = 100;
    /// Failure rates, above the median of the service, from which an endpoint
    /// is ejected and up to which it may be reinstated.
    static constexpr double eject_rate = 0.25;
    static constexpr double reinstate_rate = 0.1;
    /// Assumed successes, so that one failure ejects no endpoint.
    static constexpr double prior_attempts = 4;
    /// Successful trials before an endpoint is reinstated; peers with a good
    /// estimate made since the trials began count as well.
    static constexpr std::uint32_t min_trials = 3;
    /// Trials of an ejected endpoint, as a share of its usual work, and added
    /// with each successful one.
    static constexpr double trial_share = 0.15;
    /// Time without trials after the first ejection; doubles with each further
    /// one and halves with each recovery_period without one.
    static constexpr msec first_time_out = 5000;
    static constexpr msec max_time_out = 60'000;
    static constexpr msec recovery_period = 30'000;
    /// One endpoint in so many of a service may be ejected.
    static constexpr std::size_t ejected_divisor = 3;
    static constexpr std::size_t min_remaining = 2;
    /// Weight of an attempt that a peer reports.
    static constexpr double peer_share = 0.5;
    /// Attempts of one peer that count: too few to eject an endpoint.
    static constexpr double max_peer_attempts = 2;
    /// All peers together count up to the larger of this weight and that of the
    /// own results.
    static constexpr double max_peer_weight = 12;
    static constexpr msec max_age = 6 * aging_period;
    static constexpr std::size_t max_peers = 64;
    static constexpr std::size_t max_reported = 128;
    static constexpr double max_slowdown = 8;

private:
    /// Results, weighted by age at `at`.
    struct tally
    {
        double attempts = 0;
        double failures = 0;
        /// Times that a serving endpoint became unreachable.
        double flaps = 0;
        /// Sum of the logarithms of observed over expected time.
        double speed = 0;
        double speed_attempts = 0;
        msec at = 0;

        tally aged(msec now) const;
    };
    struct entry
    {
        std::string service{};
        tally own{};
        /// Part of a failure that counts once it is known that the endpoint
        /// has not crashed.
        double withheld = 0;
        bool has_served = false;
        std::optional<msec> broken_at{};
        std::map<std::string, endpoint_estimate> peers{};
        std::optional<msec> ejected_at{};
        msec trials_from = 0;
        std::uint32_t trials = 0;
        /// Failure rate for which it was ejected.
        double ejected_rate = 0;
        /// Earlier ejections that lengthen the next one.
        std::uint32_t ejections = 0;
        msec reinstated_at = 0;
        /// Results of the last evaluation.
        double failure_rate = 0;
        double slowdown = 1;
        /// The same without the peers' estimates.
        double own_slowdown = 1;
    };
    using entry_list = std::vector<std::pair<const endpoint_key, entry>*>;

    /// Weight of a result of this age.
    static double weight_at(msec age);
    /// The endpoint still accepts requests, so it has not crashed.
    static void count_withheld(entry& it);
    entry* find(endpoint_key key);
    const entry* find(endpoint_key key) const;
    /// Adds the peers' results with the weight that they have here.
    static void add_peers(const entry& it, tally& to, msec now);
    /// The share of failed attempts, or what repeated losses amount to.
    static double failure_rate_of(const entry& it, msec now);
    static double slowdown_of(const tally& sum);
    /// NaN if too few endpoints have been observed.
    static double median_speed(const entry_list& members, msec now);
    void evaluate_service(const entry_list& members, msec now,
                          std::vector<ejection_change>& changes);
    static void set_slowdowns(const entry_list& members, msec now);
    static bool may_return(const entry& it, double excess, msec now);
    static ejection_change eject(endpoint_key key, entry& it, msec now);
    static ejection_change reinstate(endpoint_key key, entry& it, msec now);

    std::map<endpoint_key, entry> all_;
    std::map<std::string, std::size_t> service_sizes_;
    std::optional<msec> evaluated_at_;
};

} // namespace galenapulley
