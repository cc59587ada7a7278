#pragma once

#include "galenapulley/back_end.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/warm_up.hpp"

#include <cstdint>
#include <vector>

namespace galenapulley
{

struct load_report;

/// Load of one back end as its shard owner knows it, from its own permits and
/// from load reports.
class back_end_load
{
public:
    back_end_load(const back_end& target, bool reports, msec now);

    const back_end& target() const { return target_; }
    warm_up& ramp() { return ramp_; }
    const warm_up& ramp() const { return ramp_; }
    /// Hash of the name; stable over document changes.
    std::uint64_t id() const { return id_; }

    /// Applies a changed document entry. A new address is treated as a new back
    /// end, which starts cold.
    void set_target(const back_end& target, bool reports, msec now);

    void start(std::size_t length_class, std::uint32_t kv_tokens, msec now);
    void finish(std::size_t length_class, std::uint32_t kv_tokens,
                msec granted_at, msec now);
    /// Adds prefill work and returns the tokens outstanding including it.
    std::uint64_t add_prefill(std::uint32_t tokens, bool is_long, msec now);
    /// Removes all permits; keeps reports and the warm-up state.
    void clear(std::size_t classes);
    /// Removes ended permits, so that requests in later reports are counted as
    /// load without a permit.
    void clear_ended() { ended_.clear(); }

    void on_report(const load_report& report, msec now);
    void on_unreachable(msec now);
    /// Whether a connection failed recently and no report came since.
    bool is_unreachable(msec now) const { return now < unreachable_until_; }

    /// Running permits granted by or registered with this owner.
    std::uint32_t permits() const { return permits_; }
    /// Permits of that length class and longer ones.
    std::uint32_t permits_from(std::size_t length_class) const;
    /// Permits plus reported requests that belong to no known permit.
    std::uint32_t running() const { return permits_ + unattributed_; }
    std::uint32_t kv_booked() const { return kv_booked_ + kv_unattributed_; }
    /// Tokens of all permits ever started, minus those of running permits. The
    /// difference of granted_tokens() to this value at a grant bounds the work
    /// that the engine may have done before the permit's first token.
    std::uint64_t ended_tokens() const { return granted_tokens_ - kv_booked_; }
    std::uint64_t granted_tokens() const { return granted_tokens_; }
    /// KV memory: the smaller of the document's and the reported figure.
    std::uint32_t kv_tokens() const;
    std::uint64_t prefill_tokens(msec now) const;
    bool has_long_prefill(msec now) const { return now < long_until_; }

    /// Whether the service document still lists it in this shard.
    bool listed = true;
    /// Whether the fleet document and the machine list allow new work.
    bool admitted = true;
    /// Whether long prompts may be placed here.
    bool takes_long = true;
    /// Whether memory is kept free for a queued request that needs several
    /// engines.
    bool reserved = false;

private:
    struct ended_permit
    {
        msec granted_at = 0;
        msec ended_at = 0;
    };

    /// Permits granted up to `granted_by` that had not ended at `instant`.
    std::uint32_t permits_known_at(msec granted_by, msec instant) const;

    back_end target_;
    std::uint64_t id_;
    warm_up ramp_;
    std::vector<std::uint32_t> by_class_;
    /// Grant times of running permits.
    std::vector<msec> granted_;
    /// Permits that ended after the instant of the last report.
    std::vector<ended_permit> ended_;
    std::uint32_t permits_ = 0;
    std::uint32_t unattributed_ = 0;
    std::uint32_t kv_booked_ = 0;
    std::uint64_t granted_tokens_ = 0;
    std::uint32_t kv_unattributed_ = 0;
    std::uint32_t kv_capacity_ = 0;
    msec unreachable_until_ = 0;
    /// Expected end of the prefill work granted so far.
    msec prefill_until_ = 0;
    msec long_until_ = 0;
    msec prefill_added_at_ = 0;
};

} // namespace galenapulley
