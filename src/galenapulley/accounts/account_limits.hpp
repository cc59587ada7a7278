#pragma once

#include "galenapulley/accounts/account_shares.hpp"
#include "galenapulley/clock.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace galenapulley
{

struct limited_account
{
    std::string service;
    account_key account = 0;

    bool operator<(const limited_account& other) const
    {
        return std::tie(service, account) <
               std::tie(other.service, other.account);
    }
};

/// Accounts whose waiting requests are ordered after those of others. A limit
/// ends only some time after the last such request, so that the log names each
/// period once.
class account_limits
{
public:
    /// A request of the account was ordered after those of others. Returns
    /// whether a limit begins.
    bool on_limited(const limited_account& item, msec now);
    bool is_limited(const limited_account& item) const
    {
        return limited_at_.contains(item);
    }
    /// Removes and returns the limits that have ended.
    std::vector<limited_account> take_ended(msec now);
    std::size_t size() const { return limited_at_.size(); }

    static constexpr msec end_delay = 2_sec;

private:
    std::map<limited_account, msec> limited_at_;
};

} // namespace galenapulley
