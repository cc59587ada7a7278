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
    /// When the first token is due.
    msec due_at = 0;
    /// The client's deadline or the route's timeout.
    msec give_up_at = 0;
    /// Least time from placement to the first token.
    msec needs = 0;
};

/// Queue of requests for which no endpoint has a free slot. Under overload,
/// requests that can still be in time go first, and those that can't be served
/// before their deadline are refused at once.
class waiting_line
{
public:
    void add(waiting_entry entry);
    void remove(std::uint64_t request);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    /// Requests in the order in which they should be placed: by priority, those
    /// that can be in time before late ones, then earliest due first.
    std::vector<std::uint64_t> order(msec now) const;
    /// Requests that should be refused now.
    std::vector<std::uint64_t> hopeless(msec now) const;

    /// Largest share of the time to the deadline that a request waits. A
    /// refused client retries within a third of the time it has left.
    static constexpr double patience = 0.5;

private:
    std::vector<waiting_entry> entries_;
};

} // namespace galenapulley
