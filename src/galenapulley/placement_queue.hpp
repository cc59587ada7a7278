#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <vector>

namespace galenapulley
{

/// A request that waits for an endpoint.
struct placement_queue_entry
{
    std::uint64_t request = 0;
    int priority = 0;
    /// Its account has used more than its share, see account_shares.
    bool over_share = false;
    msec received_at = 0;
    /// When the first token is due.
    msec first_token_due_at = 0;
    /// The client's deadline or the route's timeout.
    msec deadline = 0;
    /// Least time from placement to the first token.
    msec min_service_time = 0;
};

/// Queue of requests for which no endpoint has a free slot. Under overload,
/// requests that can still be in time go first, and those that can't be served
/// before their deadline are refused at once.
class placement_queue
{
public:
    void add(placement_queue_entry entry);
    void remove(std::uint64_t request);
    /// Sets over_share of these requests and clears that of all others.
    void set_over_share(const std::unordered_set<std::uint64_t>& requests);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    /// Requests in the order in which they should be placed: by priority, those
    /// of accounts over their share last, those that can be in time before
    /// late ones, then earliest due first.
    std::vector<std::uint64_t> ordered(msec now) const;
    /// Requests that should be refused now.
    std::vector<std::uint64_t> unservable(msec now) const;

    /// Largest share of the time to the deadline that a request waits. A
    /// refused client retries within a third of the time it has left.
    static constexpr double max_wait_share = 0.5;

private:
    std::vector<placement_queue_entry> entries_;
};

} // namespace galenapulley
