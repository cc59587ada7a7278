#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/engine_profile.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace galenapulley
{

/// Hash of the name of a client account; 0 for none.
using account_key = std::uint64_t;

account_key account_key_of(std::string_view name);

/// Time of one endpoint that a prompt takes: its prefill and its part of the
/// steps of a full batch that decodes it.
double endpoint_time_ms(const engine_profile& engine, double prompt_tokens,
                        double output_tokens);

/// A placement of any node, as far as shares depend on it.
struct account_placement
{
    /// Unique in the cluster, so that repeated announcements count once.
    std::uint64_t request = 0;
    account_key account = 0;
    /// Endpoint time, in ms.
    double cost_ms = 0;
    /// Time since the placement.
    msec age = 0;
};

/// A waiting request, as far as shares depend on it.
struct account_demand
{
    account_key account = 0;
    double cost_ms = 0;
};

/// Recent use of a service by one account.
struct account_use
{
    account_key account = 0;
    double use_ms = 0;
    /// The account's share of the service, from 0 to 1.
    double share = 0;
};

/// Weighted fair shares of endpoint time by client account. Use is counted per
/// service over all nodes and decays, so that no account pays for an earlier
/// burst for long. Accounts that have used or want the service lately divide
/// the use by weight.
class account_shares
{
public:
    /// All weights are 1 unless set; others than positive ones are ignored.
    void set_weight(account_key account, double weight);

    /// Counts a placement. Returns false if it was counted before or is too old
    /// to matter.
    bool on_placed(const std::string& service, const account_placement& item,
                   msec now);

    /// Whether the account's use exceeds its share and the burst credit.
    bool is_over_share(const std::string& service, account_key account,
                       msec now) const;
    /// Whether each of the service's waiting requests is over the share of its
    /// account. The requests are given in the order in which they would be
    /// placed otherwise; those ahead count as use of their accounts. None is
    /// over a share while only one account waits.
    std::vector<bool> over_share(const std::string& service,
                                 std::span<const account_demand> waiting,
                                 msec now) const;
    /// The accounts that have used the service lately.
    std::vector<account_use> uses(const std::string& service, msec now) const;
    std::vector<std::string> services() const;

    /// Time in which use decays to 1/e.
    static constexpr msec decay_time = 10_sec;
    /// Use above its share that an account is granted: a client may send a few
    /// short prompts together without being limited.
    static constexpr double burst_credit_ms = 250;
    /// Limits the effect of one faulty announcement; as much as 16 endpoints
    /// prefill in 15 s.
    static constexpr double max_cost_ms = 240'000;
    static constexpr std::size_t max_accounts = 1024;

private:
    struct decaying_use
    {
        double ms = 0;
        msec at = 0;
    };
    using use_map = std::unordered_map<account_key, decaying_use>;

    /// Uses that still matter, and the sums over their accounts.
    struct current_uses
    {
        std::unordered_map<account_key, double> by_account;
        double use_ms = 0;
        double weight = 0;
    };

    double weight_of(account_key account) const;
    current_uses current(const std::string& service, msec now) const;
    /// Makes the account active; its use is 0 if it had none.
    double& add_active(current_uses& uses, account_key account) const;
    bool exceeds(const current_uses& uses, account_key account,
                 double use_ms) const;
    bool remember(std::uint64_t request, msec now);
    static void make_room(use_map& uses, msec now);

    struct counted_request
    {
        std::uint64_t request = 0;
        msec at = 0;
    };

    std::unordered_map<std::string, use_map> uses_;
    std::unordered_map<account_key, double> weights_;
    /// Requests counted lately, oldest first.
    std::deque<counted_request> counted_;
    std::unordered_set<std::uint64_t> counted_ids_;
};

} // namespace galenapulley
