#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenapulley
{

/// A request that waits for an endpoint.
struct waiting_entry
{
    std::uint64_t request = 0;
    int priority = 0;
    msec received_at = 0;
    /// An answer that starts later than this is late for its client.
    msec due_at = 0;
    /// The client's deadline or the route's timeout.
    msec give_up_at = 0;
    /// Least time that the request needs after it was placed.
    msec needs = 0;
};

/// Order and patience of requests for which no endpoint has a free place. It
/// answers a load above the endpoints' capacity: what can still be in time
/// goes first, and what can't be served before its client gives up is refused
/// at once rather than kept.
class waiting_line
{
public:
    void add(waiting_entry entry);
    void remove(std::uint64_t request);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    /// Requests in the order in which they should be tried: by priority, those
    /// that can be in time before the late ones, the most urgent first.
    std::vector<std::uint64_t> order(msec now) const;
    /// Requests that should be refused now.
    std::vector<std::uint64_t> hopeless(msec now) const;

    /// Part of a client's time that a request waits at most. A refused client
    /// comes back within a third of what it has left.
    static constexpr double patience = 0.5;

private:
    std::vector<waiting_entry> entries_;
};

} // namespace galenapulley
