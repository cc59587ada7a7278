#include "gateway/dispatcher.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

// Refusals while all endpoints of a service want a pause.

namespace galenapulley
{

namespace
{

/// A request waits for the end of a pause if it is this near.
constexpr msec max_pause_wait = 200;
/// Clients return within this time after a pause, or within a share of the
/// pause if that is longer.
constexpr msec min_return_spread = 200;
constexpr double return_spread_share = 0.25;

} // namespace

std::optional<msec>
dispatcher::first_pause_end(const std::string& service,
                            const std::vector<endpoint_key>& excluded) const
{
    const auto now = clock_.now();
    std::optional<msec> first;
    for (const auto& [id, it] : registry_.all())
    {
        if (it.description.service != service || it.description.draining ||
            announcements_.is_leaving(it.key, now) ||
            withdrawn_.contains(it.description.failure_domain) ||
            std::find(excluded.begin(), excluded.end(), it.key) !=
                excluded.end())
            continue;
        const auto until = announcements_.paused_until(it.key);
        first = std::min(first.value_or(until), until);
    }
    return first;
}

msec dispatcher::retry_after_pause(msec left, std::uint64_t id) const
{
    const auto spread =
        std::max(static_cast<double>(min_return_spread),
                 return_spread_share * static_cast<double>(left));
    const auto draw =
        std::ldexp(static_cast<double>(XXH64(&id, sizeof(id), 0)), -64);
    return left + static_cast<msec>(spread * draw);
}

msec dispatcher::pause_of(const std::string& service)
{
    const auto left = first_pause_end(service, {}).value_or(0) - clock_.now();
    return left <= 0 ? 0 : retry_after_pause(left, ++pause_queries_);
}

std::optional<dispatch_refusal>
dispatcher::pause_refusal(const dispatch_request& item) const
{
    const auto now = clock_.now();
    if (!announcements_.any_paused(now))
        return std::nullopt;
    auto until = first_pause_end(item.service, item.tried);
    // With all endpoints tried, the client's next request may use any of them.
    if (!until)
        until = first_pause_end(item.service, {});
    const auto left = until.value_or(0) - now;
    if (left <= max_pause_wait)
        return std::nullopt;
    return dispatch_refusal{.kind = error_kind::no_back_end,
                            .reason = "all endpoints asked for a pause",
                            .retry_after = retry_after_pause(left, item.id)};
}

} // namespace galenapulley
