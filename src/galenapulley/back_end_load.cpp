#include "galenapulley/back_end_load.hpp"

#include "galenapulley/load_report.hpp"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace galenapulley
{

namespace
{

/// Time from a request's grant until the engine's reports include it.
constexpr msec report_delay = 50_ms;
/// Time without new work after a connection failure, unless a load report
/// arrives earlier.
constexpr msec unreachable_time = 5_sec;

warm_up::limits limits_of(const back_end& target, bool reports)
{
    return {.slots = target.slots,
            .cold_slots = target.cold_slots,
            .reports = reports};
}

} // namespace

back_end_load::back_end_load(const back_end& target, bool reports, msec now)
    : target_(target)
    , id_(XXH3_64bits(target.name.data(), target.name.size()))
    , ramp_(limits_of(target, reports), now)
{
}

void back_end_load::set_target(const back_end& target, bool reports, msec now)
{
    if (target.address != target_.address)
    {
        ramp_ = warm_up(limits_of(target, reports), now);
        kv_capacity_ = 0;
    }
    ramp_.set_limits(limits_of(target, reports));
    target_ = target;
}

void back_end_load::start(std::size_t length_class, std::uint32_t kv_tokens,
                          msec now)
{
    if (by_class_.size() <= length_class)
        by_class_.resize(length_class + 1);
    ++by_class_[length_class];
    ++permits_;
    kv_booked_ += kv_tokens;
    granted_tokens_ += kv_tokens;
    granted_.push_back(now);
}

void back_end_load::finish(std::size_t length_class, std::uint32_t kv_tokens,
                           msec granted_at, msec now)
{
    --by_class_[length_class];
    --permits_;
    kv_booked_ -= kv_tokens;
    const auto it = std::find(granted_.begin(), granted_.end(), granted_at);
    if (it != granted_.end())
    {
        *it = granted_.back();
        granted_.pop_back();
    }
    ended_.push_back({.granted_at = granted_at, .ended_at = now});
    // A back end without load reports has no other bound on this list.
    if (ended_.size() > 2 * std::size_t{target_.slots} + 64)
        ended_.erase(ended_.begin(),
                     ended_.begin() +
                         static_cast<std::ptrdiff_t>(ended_.size() / 2));
}

std::uint64_t back_end_load::add_prefill(std::uint32_t tokens, bool is_long,
                                         msec now)
{
    const auto work =
        static_cast<msec>(ramp_.ms_per_token() * static_cast<double>(tokens));
    const auto outstanding = prefill_tokens(now) + tokens;
    prefill_until_ = std::max(prefill_until_, now) + work;
    if (is_long)
        long_until_ = prefill_until_;
    prefill_added_at_ = now;
    return outstanding;
}

void back_end_load::clear(std::size_t classes)
{
    by_class_.assign(classes, 0);
    granted_.clear();
    permits_ = 0;
    kv_booked_ = 0;
}

std::uint32_t back_end_load::permits_known_at(msec granted_by,
                                              msec instant) const
{
    const auto running =
        std::count_if(granted_.begin(), granted_.end(),
                      [&](msec at) { return at <= granted_by; });
    const auto ended = std::count_if(ended_.begin(), ended_.end(),
                                     [&](const ended_permit& it) {
                                         return it.granted_at <= granted_by &&
                                                it.ended_at > instant;
                                     });
    return static_cast<std::uint32_t>(running + ended);
}

void back_end_load::on_report(const load_report& report, msec now)
{
    ramp_.on_report(report, now);
    unreachable_until_ = 0;
    const auto instant = now - report.age;
    std::erase_if(ended_, [&](const ended_permit& it)
                  { return it.ended_at <= instant; });
    const auto reported = report.running + report.waiting;
    const auto known = permits_known_at(instant - report_delay, instant);
    unattributed_ = reported > known ? reported - known : 0;
    // Reported memory includes cached prefixes, so the excess counts only if
    // there are requests without a permit.
    kv_unattributed_ = reported > permits_known_at(instant, instant) &&
                               report.kv_used > kv_booked_
                           ? report.kv_used - kv_booked_
                           : 0;
    kv_capacity_ = report.kv_capacity;
    if (prefill_added_at_ > instant - report_delay)
        return;
    const auto backlog = static_cast<msec>(
        ramp_.ms_per_token() * static_cast<double>(report.prefill_backlog));
    prefill_until_ = std::max(now, instant + backlog);
    if (long_until_ > now)
        long_until_ = prefill_until_;
}

void back_end_load::on_unreachable(msec now)
{
    ramp_.on_connection_failure(now);
    unreachable_until_ = now + unreachable_time;
    unattributed_ = 0;
    kv_unattributed_ = 0;
}

std::uint32_t back_end_load::permits_from(std::size_t length_class) const
{
    if (length_class >= by_class_.size())
        return 0;
    return std::accumulate(by_class_.begin() +
                               static_cast<std::ptrdiff_t>(length_class),
                           by_class_.end(), 0U);
}

std::uint32_t back_end_load::kv_tokens() const
{
    if (target_.kv_tokens == 0 || kv_capacity_ == 0)
        return target_.kv_tokens;
    return std::min(target_.kv_tokens, kv_capacity_);
}

std::uint64_t back_end_load::prefill_tokens(msec now) const
{
    if (now >= prefill_until_)
        return 0;
    const auto rate = std::max(ramp_.ms_per_token(), 1e-6);
    return static_cast<std::uint64_t>(
        static_cast<double>(prefill_until_ - now) / rate);
}

} // namespace galenapulley
