#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/endpoint_announcement.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// A rate limit that an endpoint named, or that it named none.
struct rate_limit_report
{
    endpoint_key endpoint = 0;
    /// Requests per second; absent if the endpoint named no limit.
    std::optional<double> per_second{};
    /// When its response arrived at the node that received it.
    msec at = 0;
};

/// A pause that an endpoint asked this node for.
struct pause_report
{
    endpoint_key endpoint = 0;
    msec until = 0;
};

/// What a response has changed of an endpoint's announcements.
struct announcement_changes
{
    bool rate_limit = false;
    bool pause = false;
    bool leaving = false;

    bool any() const { return rate_limit || pause || leaving; }
};

/// What each incarnation of an endpoint has announced of itself: its rate
/// limit, the pause that it wants, and that it leaves. Placement asks it, and
/// so does the thread that sends a request, as a pause may begin in between.
/// Thread-safe.
class endpoint_announcements
{
public:
    /// A response of the endpoint has arrived at this node.
    announcement_changes
    record(endpoint_key key, const endpoint_announcement& announced, msec at);
    /// A response that says nothing of the limit asked for a pause. Returns
    /// whether the pause lasts longer than before.
    bool record_pause(endpoint_key key, msec retry_after, msec at);
    /// Returns whether the limit changes. Reports may arrive in any order; the
    /// latest response counts.
    bool record_rate_limit(const rate_limit_report& report);

    std::optional<double> rate_limit(endpoint_key key) const;
    /// Whether the endpoint wants no requests from this node now.
    bool is_paused(endpoint_key key, msec now) const;
    /// Whether the endpoint said that it leaves.
    bool is_leaving(endpoint_key key, msec now) const;
    /// When the pause that the endpoint asked this node for ends; 0 if it asked
    /// for none.
    msec paused_until(endpoint_key key) const;

    /// Whether any endpoint wants no requests from this node now.
    bool any_paused(msec now) const { return last_pause_end_ > now; }
    /// The known limits, and those that ended lately.
    std::vector<rate_limit_report> rate_limits(msec now) const;
    /// The pauses that go on.
    std::vector<pause_report> pauses(msec now) const;
    std::vector<endpoint_key> leaving(msec now) const;

    /// Forgets all other incarnations.
    void retain(const std::set<endpoint_key>& known);

    /// Longest pause that is believed, so that a faulty endpoint isn't lost for
    /// good; far longer than endpoints in need ask for.
    static constexpr msec max_pause = 60'000;
    /// Time for which an endpoint that said that it leaves isn't used, unless
    /// it starts again; far longer than leaving takes.
    static constexpr msec leaving_memory = 600'000;
    /// Time for which the end of a rate limit is remembered, so that peers'
    /// older reports don't restore it.
    static constexpr msec limit_end_memory = 10'000;

private:
    struct known_announcements
    {
        std::optional<double> rate_limit{};
        /// When a response last said something of the limit; absent if none
        /// has named one.
        std::optional<msec> rate_limit_at{};
        msec paused_until = 0;
        /// End of the time for which it counts as leaving; 0 if it doesn't.
        msec leaving_until = 0;
    };

    bool set_rate_limit(const rate_limit_report& report);
    bool extend_pause(endpoint_key key, msec until);
    bool set_leaving(endpoint_key key, msec at);

    known_announcements find(endpoint_key key) const;

    mutable std::mutex mutex_;
    std::unordered_map<endpoint_key, known_announcements> known_;
    /// Saves the lock while no endpoint has announced anything.
    std::atomic<bool> is_empty_{true};
    std::atomic<msec> last_pause_end_{0};
};

} // namespace galenapulley
