#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Refusals by the name of their error kind.
using refusal_counts = std::map<std::string_view, std::uint64_t>;

/// State of a client account at one service, for operators.
struct account_report
{
    std::string service;
    /// Empty for requests without an account; the hash of the name if the
    /// configuration doesn't name the account.
    std::string account;
    /// The account's share of the service, from 0 to 1.
    double share = 0;
    /// Its part of the recent use of all nodes, from 0 to 1, and the use in ms
    /// of endpoint time.
    double use = 0;
    double use_ms = 0;
    /// Requests that wait at this node.
    std::uint32_t waiting = 0;
    bool limited = false;
    /// Refusals of this node's dispatcher since its start.
    refusal_counts refused;
};

} // namespace galenapulley
