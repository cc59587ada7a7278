#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet_load.hpp"
#include "galenapulley/routing_table.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenapulley
{

/// A request, or a further attempt of it, that needs an endpoint.
struct dispatch_request
{
    /// Unique in the cluster; a further attempt has an id of its own.
    std::uint64_t id = 0;
    /// The client's id, for logs.
    std::string attempt{};
    /// Keeps the route alive.
    std::shared_ptr<const routing_table> table{};
    const route* way = nullptr;
    std::string service{};
    std::string account{};
    int priority = 0;
    double prompt_tokens = 0;
    double output_tokens = 0;
    msec received_at = 0;
    /// The client's deadline or the route's timeout, whichever is first.
    msec give_up_at = 0;
    /// Hash of what a client would repeat: path, account and body.
    std::uint64_t fingerprint = 0;
    /// Endpoints that this request has tried.
    std::vector<endpoint_key> tried{};
    /// Counts against the retry budget.
    bool repeat = false;
};

/// An endpoint that takes part in a request which another one runs.
struct helper
{
    std::string id;
    std::string address;
    endpoint_key key = 0;
    /// Memory to set aside there under this name; 0 for none.
    double held_tokens = 0;
    std::string reservation{};
};

struct dispatch_grant
{
    endpoint runner{};
    endpoint_key key = 0;
    std::vector<helper> helpers{};
    /// Memory has to be set aside at helpers before the request is sent.
    bool shares_memory = false;
    double expected_first_event_ms = 0;
};

struct dispatch_refusal
{
    error_kind kind = error_kind::no_back_end;
    std::string reason{};
    msec retry_after = 0;
};

using dispatch_answer = std::variant<dispatch_grant, dispatch_refusal>;

/// How a granted request ended at its endpoint.
enum class call_outcome
{
    completed,
    /// The endpoint answered with an error of its own.
    endpoint_error,
    /// The endpoint refused and states that it has not run the request.
    not_run,
    /// Another endpoint has the address.
    replaced,
    /// No connection could be made; nothing was sent.
    unreachable,
    /// A helper has not set its memory aside; nothing was sent.
    memory_refused,
    /// The connection ended without an answer after the request was sent.
    broken_before_answer,
    /// The answer broke off.
    broken_answer,
    /// The client's time, or the route's, has run out.
    timed_out,
    /// The endpoint was silent for too long; another one may go on.
    stalled,
    client_gone
};

constexpr std::size_t call_outcome_count =
    static_cast<std::size_t>(call_outcome::client_gone) + 1;

std::string_view name_of(call_outcome outcome);

} // namespace galenapulley
