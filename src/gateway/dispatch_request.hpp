#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet_load.hpp"
#include "galenapulley/prompt_part.hpp"
#include "galenapulley/routing_table.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenapulley
{

/// A request, or a retry of one, that needs an endpoint.
struct dispatch_request
{
    /// Unique in the cluster; each attempt has an id of its own.
    std::uint64_t id = 0;
    /// The client's attempt id, for logs.
    std::string attempt{};
    /// Owns the route.
    std::shared_ptr<const routing_table> table{};
    const route* matched_route = nullptr;
    std::string service{};
    std::string account{};
    int priority = 0;
    double prompt_tokens = 0;
    double output_tokens = 0;
    msec received_at = 0;
    /// The client's deadline or the route's timeout, whichever is first.
    msec deadline = 0;
    /// Hash of what stays the same when a client retries: target, account and
    /// body.
    std::uint64_t fingerprint = 0;
    /// The parts of the prompt that other requests may share.
    std::vector<prompt_part> shared_parts{};
    /// Endpoints that earlier attempts used or that caused their failure.
    std::vector<endpoint_key> tried{};
    /// Whether this attempt counts against the retry budget.
    bool is_retry = false;
    /// Another node has handed the request over to this one.
    bool is_relayed = false;
    /// Whether the request may be handed over to another node if this one is
    /// partitioned from the endpoints.
    bool may_hand_over = false;
};

/// An endpoint that prefills a segment of the prompt for the primary endpoint.
struct helper
{
    std::string id;
    std::string address;
    endpoint_key key = 0;
    /// Tokens of memory to reserve there; 0 for none.
    double reserved_tokens = 0;
    std::string reservation{};
};

struct dispatch_grant
{
    endpoint primary{};
    endpoint_key key = 0;
    std::vector<helper> helpers{};
    /// Memory must be reserved at the helpers before the request is sent.
    bool needs_reservation = false;
    double expected_first_token_ms = 0;
};

struct dispatch_refusal
{
    error_kind kind = error_kind::no_back_end;
    std::string reason{};
    msec retry_after = 0;
};

/// Another node that reaches the endpoints and takes the request.
struct handover
{
    std::string node{};
    /// Where it serves clients.
    std::string address{};
};

using dispatch_result =
    std::variant<dispatch_grant, dispatch_refusal, handover>;

/// How an attempt at an endpoint ended.
enum class attempt_outcome
{
    completed,
    /// The endpoint responded with an error of its own.
    endpoint_error,
    /// The endpoint responded with a refusal, but doesn't state that it has not
    /// run the request.
    unproven_refusal,
    /// The endpoint refused and states that it has not run the request.
    not_run,
    /// Another endpoint now has the address.
    replaced,
    /// No connection could be made; nothing was sent.
    unreachable,
    /// A helper refused the memory reservation; nothing was sent.
    memory_refused,
    /// An endpoint asked for a pause after the request was placed; nothing was
    /// sent.
    paused,
    /// Another node refused the request that was handed over to it; no endpoint
    /// has received it.
    handover_refused,
    /// The connection ended without a response after the request was sent.
    broken_before_response,
    /// The response ended early.
    broken_response,
    /// What the endpoint sent is no response to the request.
    invalid_response,
    /// The response is larger than what may be kept of it.
    oversized_response,
    /// The client's deadline or the route's timeout has passed, or the process
    /// ends.
    timed_out,
    /// The endpoint sent nothing for too long; another one may continue.
    stalled,
    client_gone
};

constexpr std::size_t attempt_outcome_count =
    static_cast<std::size_t>(attempt_outcome::client_gone) + 1;

std::string_view name_of(attempt_outcome outcome);

/// Events after which a request has not crashed its endpoint. The first may be
/// sent just before the crash.
constexpr std::uint64_t events_of_sound_request = 2;

/// The end of an attempt at an endpoint.
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::completed;
    /// The helper that caused the outcome; 0 if none did.
    endpoint_key at_fault = 0;
    /// Events of the stream that the endpoint sent.
    std::uint64_t events = 0;
    /// Whether a connection to the endpoint was made.
    bool connected = false;

    /// Whether the endpoint had begun the response when the attempt ended.
    bool began() const { return events >= events_of_sound_request; }
};

} // namespace galenapulley
