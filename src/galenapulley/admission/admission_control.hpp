#pragma once

#include "galenapulley/admission/wait_forecast.hpp"
#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace galenapulley
{

/// A request for which it is decided whether it may wait.
struct admission_question
{
    first_token_forecast forecast{};
    /// Time that has passed since the client sent the request.
    double waited_ms = 0;
    /// Time from the request after which a first token is of no use.
    double useful_ms = 0;
    /// Other requests of the service wait.
    bool others_wait = false;
    /// Random number from 0 to 1 that spreads clients that return.
    double jitter = 0;
};

/// Decides which requests are refused because their first token is expected too
/// late to be of use, and remembers them, so that callers can prefer them when
/// they return.
class admission_control
{
public:
    /// Time after which a client should return; absent if the request may wait.
    static std::optional<msec> retry_after(const admission_question& item);
    /// When capacity for a refused request is expected, spread by the jitter.
    static msec return_time(const first_token_forecast& forecast,
                            double jitter);

    /// The client of a refused request may return until its deadline.
    void on_refused(std::uint64_t fingerprint, msec deadline, msec now);
    /// Whether the request was refused before and its deadline has not passed.
    /// It is forgotten in either case.
    bool take_returning(std::uint64_t fingerprint, msec now);
    std::size_t size() const { return refused_.size(); }

    static constexpr std::size_t max_refused = 4096;

private:
    void forget(std::uint64_t fingerprint);

    /// Deadlines by fingerprint, and in order of time.
    std::unordered_map<std::uint64_t, msec> refused_;
    std::set<std::pair<msec, std::uint64_t>> deadlines_;
};

} // namespace galenapulley
