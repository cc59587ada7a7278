#include "galenapulley/accounts/account_limits.hpp"

namespace galenapulley
{

bool account_limits::on_limited(const limited_account& item, msec now)
{
    return limited_at_.insert_or_assign(item, now).second;
}

std::vector<limited_account> account_limits::take_ended(msec now)
{
    std::vector<limited_account> out;
    for (const auto& [item, at] : limited_at_)
        if (now - at >= end_delay)
            out.push_back(item);
    for (const auto& it : out)
        limited_at_.erase(it);
    return out;
}

} // namespace galenapulley
