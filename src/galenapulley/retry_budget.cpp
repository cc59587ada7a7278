#include "galenapulley/retry_budget.hpp"

namespace galenapulley
{

namespace
{

constexpr msec bucket_time = 1_sec;

} // namespace

retry_budget::bucket& retry_budget::current(msec now)
{
    const auto second = now / bucket_time;
    auto& it = buckets_[static_cast<std::size_t>(second) % buckets_.size()];
    if (it.second != second)
        it = {.second = second, .requests = 0, .retries = 0};
    return it;
}

void retry_budget::on_request(msec now)
{
    ++current(now).requests;
}

void retry_budget::on_retry(msec now)
{
    ++current(now).retries;
}

bool retry_budget::has_budget(msec now) const
{
    const auto oldest = now / bucket_time - window / bucket_time;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto& it : buckets_)
    {
        if (it.second < 0 || it.second < oldest)
            continue;
        retries += it.retries;
        // Requests of a second partly outside the window earn no retries.
        if (it.second > oldest)
            requests += it.requests;
    }
    const auto earned = allowance_.ratio * static_cast<double>(requests);
    return retries < allowance_.base + static_cast<std::uint64_t>(earned);
}

bool retry_budget::take_retry(std::uint32_t attempts, msec now)
{
    return attempts < max_attempts && take_retry(now);
}

bool retry_budget::take_retry(msec now)
{
    auto& it = current(now);
    if (!has_budget(now))
        return false;
    ++it.retries;
    return true;
}

} // namespace galenapulley
