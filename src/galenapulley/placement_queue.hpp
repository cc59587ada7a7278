#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
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
    /// Time from placement to the first token that is reckoned with. A request
    /// with less time left until it is due is late; one with less until its
    /// deadline is refused.
    msec min_service_time = 0;
};

/// Position of a request in the queue; a lower one is placed earlier.
struct placement_rank
{
    int priority = 0;
    bool over_share = false;
    /// The first token can't be in time any more.
    bool late = false;
    msec first_token_due_at = 0;
    std::uint64_t request = 0;

    bool operator<(const placement_rank& other) const
    {
        const auto key = [](const placement_rank& it)
        {
            return std::tuple(it.priority, it.over_share, it.late,
                              it.first_token_due_at, it.request);
        };
        return key(*this) < key(other);
    }
};

/// Queue of requests for which no endpoint has a free slot. Under overload,
/// requests that can still be in time go first, and those that can't be served
/// before their deadline are refused at once. Times that are passed in must not
/// decrease.
class placement_queue
{
public:
    void add(const placement_queue_entry& entry);
    void remove(std::uint64_t request);
    /// Sets over_share of these requests and clears that of all others.
    void set_over_share(const std::unordered_set<std::uint64_t>& requests);
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

    /// Moves the requests that have become late behind those that can be in
    /// time.
    void advance(msec now);
    /// The first request at or after this position, and the first one after it.
    std::optional<placement_rank> at_or_after(const placement_rank& it) const;
    std::optional<placement_rank> after(const placement_rank& it) const;
    std::optional<placement_rank> first() const;

    /// Requests in the order in which they should be placed: by priority, those
    /// of accounts over their share last, those that can be in time before late
    /// ones, then earliest due first.
    std::vector<std::uint64_t> ordered(msec now);
    /// Requests that should be refused now, at most `most`.
    std::vector<std::uint64_t> unservable(msec now,
                                          std::size_t most = SIZE_MAX) const;

    /// Largest share of the time to the deadline that a request waits. A
    /// refused client retries within a third of the time it has left.
    static constexpr double max_wait_share = 0.5;

private:
    struct waiting_entry
    {
        placement_rank rank{};
        msec late_at = 0;
        msec unservable_at = 0;
    };

    /// Times at which something happens to requests.
    using schedule = std::set<std::pair<msec, std::uint64_t>>;

    std::unordered_map<std::uint64_t, waiting_entry> entries_;
    std::set<placement_rank> order_;
    /// Only the requests that aren't late yet.
    schedule late_at_;
    schedule unservable_at_;
};

} // namespace galenapulley
