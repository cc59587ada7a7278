#include "galenapulley/prompt_placement.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace galenapulley
{

namespace
{

/// Share of a request's value that is lost when it misses its target.
constexpr double late_loss_share = 0.75;
/// Share of a time limit at which the expected loss starts to rise.
constexpr double lateness_onset = 0.6;
/// Share of the time to the deadline within which the first token has to
/// arrive, as decoding the rest of the response takes time as well.
constexpr double first_token_deadline_share = 0.7;
/// A client is expected to disconnect after a delay of this length, or of this
/// multiple of its token gap or of its time to first token, whichever is
/// longest.
constexpr double min_abandon_ms = 2000;
constexpr double abandon_gap_factor = 8;
constexpr double abandon_target_factor = 4;
/// Cost per unit of the expected time to first token over its target. Decides
/// between placements that are all in time.
constexpr double delay_weight = 0.05;
/// Cost per additional segment, for the engine passes that it takes up.
constexpr double segment_weight = 0.02;
/// Gain of placing a short prompt on an engine that already runs requests,
/// scaled by the share of its slots in use.
constexpr double packing_weight = 0.1;
/// Share of an engine's slots up to which packing is preferred.
constexpr double packing_limit = 0.75;
/// Cost of taking an engine's last slot: nodes that place requests at the same
/// time don't see each other's choices, and the later request has to wait.
constexpr double crowding_weight = 0.3;
constexpr double cross_domain_weight = 0.001;
/// Differences of cost within which the random number decides.
constexpr double jitter_weight = 0.03;
/// Share of an engine's memory that reservations leave free, because the output
/// lengths of running requests are often underestimated.
constexpr double spare_memory_share = 0.03;
/// Cost per additional endpoint with a reservation, for the calls it takes.
constexpr double reservation_weight = 0.06;

/// A request never waits to spare others a cost below this share of its value.
constexpr double tolerated_cost_share = 0.05;

/// 0 while `time` is well within `limit`, rising to 1 at the limit.
double lateness(double time, double limit)
{
    if (limit <= 0)
        return 0;
    return std::clamp((time / limit - lateness_onset) / (1 - lateness_onset),
                      0.0, 1.0);
}

struct scored_candidate
{
    std::size_t index = 0;
    /// Value that other requests lose.
    double cost_to_others = 0;
    double cost = 0;
    bool can_run = false;
};

/// Distributes `tokens` as evenly as the limits allow; empty if the limits
/// don't suffice.
std::vector<double> distribute_evenly(double tokens, std::vector<double> limits)
{
    std::vector<std::size_t> order(limits.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&limits](std::size_t a, std::size_t b)
              { return limits[a] < limits[b]; });
    std::vector<double> out(limits.size());
    auto left = static_cast<double>(limits.size());
    for (const auto n : order)
    {
        out[n] = std::min(std::max(limits[n], 0.0), tokens / left);
        tokens -= out[n];
        left -= 1;
    }
    return tokens > 1 ? std::vector<double>() : out;
}

class planner
{
public:
    planner(const engine_profile& engine, const placement_request& request,
            std::span<const placement_candidate> candidates)
        : engine_(engine)
        , request_(request)
        , candidates_(candidates)
        , prefill_tokens_(request.prompt_tokens - request.retained_tokens)
        , prefill_ms_(engine.prefill_ms(request.prompt_tokens) -
                      engine.prefill_ms(request.retained_tokens))
    {
    }

    std::optional<placement_choice> best() const
    {
        std::optional<placement_choice> found;
        const auto most = std::min(request_.max_segments, candidates_.size());
        for (std::size_t segments = 1; segments <= most; ++segments)
        {
            auto it = with_segments(segments);
            if (it && request_.max_segments > 1 && !is_in_time(*it))
                continue;
            if (it && (!found || it->cost < found->cost))
                found = std::move(it);
        }
        if (found && request_.max_segments > 1 && should_wait(*found))
            return std::nullopt;
        return found;
    }

    /// Whether the first token is expected before the client disconnects.
    bool is_in_time(const placement_choice& it) const
    {
        const double abandon_ms = std::max(
            {min_abandon_ms, abandon_gap_factor * request_.token_gap_ms,
             abandon_target_factor * request_.first_token_target_ms});
        return request_.waited_ms + it.first_token_ms <
               std::min(abandon_ms,
                        first_token_deadline_share * request_.deadline_ms);
    }

    /// Whether other requests would lose more than this one gains.
    bool should_wait(const placement_choice& it) const
    {
        const double gain = request_.value - own_cost(it.first_token_ms);
        return it.cost_to_others >
               std::max(gain, tolerated_cost_share * request_.value);
    }

private:
    bool can_run(const placement_candidate& it) const
    {
        return it.may_be_primary && it.load.running < it.slots &&
               it.load.memory_tokens + request_.prompt_tokens +
                       request_.output_tokens <=
                   engine_.memory_tokens;
    }

    /// Longest pass of an engine that prefills `backlog_ms` while it decodes.
    double pass_ms(const placement_candidate& it, double backlog_ms) const
    {
        const double longest =
            engine_.max_prefill_in_pass_ms(prefill_ms_, prefill_tokens_);
        return it.slowdown *
               (engine_.pass_ms(it.load.running + 1, it.load.context_tokens) +
                std::min(backlog_ms, std::max(longest, it.load.backlog_ms)));
    }

    /// Value that a decoding request loses by token gaps of this length.
    static double decoding_cost(const decoding_request& it, double gap)
    {
        const auto gap_target = static_cast<double>(it.token_gap_target);
        const double abandon_ms =
            std::max(min_abandon_ms, abandon_gap_factor * gap_target);
        return it.value * (late_loss_share * lateness(gap, gap_target) +
                           (1 - late_loss_share) * lateness(gap, abandon_ms));
    }

    /// Value that a pending prefill loses if it ends after `finish_ms`.
    static double prefill_cost(const pending_prefill& it, double finish_ms)
    {
        const double time = it.first_token_target_ms - it.due_in_ms + finish_ms;
        return it.value *
               (late_loss_share * lateness(time, it.first_token_target_ms) +
                delay_weight * time / std::max(1.0, it.first_token_target_ms));
    }

    /// Value that the engine's other requests lose if it prefills `segment_ms`
    /// more, as one of `segments`.
    double added_prefill_cost(const placement_candidate& it, double segment_ms,
                              std::size_t segments) const
    {
        const double before = pass_ms(it, it.load.backlog_ms);
        const double after = pass_ms(it, it.load.backlog_ms + segment_ms);
        double cost = 0;
        for (const auto& r : it.load.decoding_requests)
            cost += decoding_cost(r, after) - decoding_cost(r, before);
        // Engines prefill segments of split prompts before anything queued.
        if (segments > 1)
            for (const auto& p : it.load.pending_prefills)
                cost +=
                    prefill_cost(p, it.slowdown * (p.finish_ms + segment_ms)) -
                    prefill_cost(p, it.slowdown * p.finish_ms);
        return cost;
    }

    /// Gain or loss of an engine by the share of its slots in use.
    double packing(const placement_candidate& it) const
    {
        const double slots = std::max(1U, it.slots);
        const double fill = (it.load.running + 1) / slots;
        if (fill > packing_limit)
            return -crowding_weight * (fill - packing_limit) /
                   (1 - packing_limit);
        // Only prompts whose prefill fits into a short pass are packed.
        if (request_.token_gap_ms <= 0 ||
            it.slowdown * prefill_ms_ > request_.token_gap_ms / 2)
            return 0;
        return packing_weight * it.load.running / slots;
    }

    std::vector<scored_candidate> scored_candidates(std::size_t segments) const
    {
        const double segment_ms = prefill_ms_ / static_cast<double>(segments);
        std::vector<scored_candidate> out;
        for (std::size_t n = 0; n < candidates_.size(); ++n)
        {
            const auto& it = candidates_[n];
            const double own =
                own_cost(first_token_ms(it, prefill_end_ms(it, segment_ms)));
            const double cost_to_others =
                added_prefill_cost(it, segment_ms, segments);
            out.push_back({.index = n,
                           .cost_to_others = cost_to_others,
                           .cost = cost_to_others + own - packing(it) +
                                   jitter_weight * it.jitter +
                                   (it.same_domain ? 0 : cross_domain_weight),
                           .can_run = can_run(it)});
        }
        std::sort(out.begin(), out.end(),
                  [](const scored_candidate& a, const scored_candidate& b)
                  { return a.cost < b.cost; });
        return out;
    }

    std::optional<placement_choice> with_segments(std::size_t segments) const
    {
        const auto sorted = scored_candidates(segments);
        const auto primary =
            std::find_if(sorted.begin(), sorted.end(),
                         [](const scored_candidate& it) { return it.can_run; });
        if (primary == sorted.end())
            return with_distributed_kv(sorted, segments);
        placement_choice out{.chosen = {primary->index},
                             .segment_ms =
                                 prefill_ms_ / static_cast<double>(segments)};
        double cost_to_others = primary->cost_to_others;
        for (const auto& it : sorted)
        {
            if (out.chosen.size() == segments)
                break;
            if (it.index == primary->index)
                continue;
            out.chosen.push_back(it.index);
            cost_to_others += it.cost_to_others;
        }
        set_estimates(out, cost_to_others);
        return out;
    }

    /// Distributes the prompt's KV cache over the endpoints of least cost.
    std::optional<placement_choice>
    with_distributed_kv(const std::vector<scored_candidate>& sorted,
                        std::size_t segments) const
    {
        const auto primary =
            std::find_if(sorted.begin(), sorted.end(),
                         [this](const scored_candidate& it)
                         { return can_hold_segment(candidates_[it.index]); });
        if (!request_.may_distribute_kv || segments < 2 ||
            primary == sorted.end())
            return std::nullopt;
        placement_choice out{.chosen = {primary->index},
                             .segment_ms =
                                 prefill_ms_ / static_cast<double>(segments)};
        std::vector<double> limits{free_tokens(candidates_[primary->index]) -
                                   request_.output_tokens};
        double cost_to_others = primary->cost_to_others;
        for (const auto& it : sorted)
        {
            if (out.chosen.size() == segments)
                break;
            if (it.index == primary->index)
                continue;
            out.chosen.push_back(it.index);
            limits.push_back(free_tokens(candidates_[it.index]));
            cost_to_others += it.cost_to_others;
        }
        out.reserved_tokens =
            distribute_evenly(request_.prompt_tokens, std::move(limits));
        if (out.reserved_tokens.empty())
            return std::nullopt;
        out.reserved_tokens.front() += request_.output_tokens;
        set_estimates(out, cost_to_others);
        out.cost += reservation_weight * static_cast<double>(segments - 1);
        return out;
    }

    double free_tokens(const placement_candidate& it) const
    {
        return (1 - spare_memory_share) * engine_.memory_tokens -
               it.load.memory_tokens;
    }

    bool can_hold_segment(const placement_candidate& it) const
    {
        return it.may_be_primary && it.load.running < it.slots &&
               free_tokens(it) > request_.output_tokens;
    }

    /// Fills in the expected time to first token and the costs of a choice.
    void set_estimates(placement_choice& out, double cost_to_others) const
    {
        const auto& first = candidates_[out.chosen.front()];
        double prefills_end_ms = 0;
        for (const auto n : out.chosen)
            prefills_end_ms =
                std::max(prefills_end_ms,
                         prefill_end_ms(candidates_[n], out.segment_ms));
        out.first_token_ms = first_token_ms(first, prefills_end_ms);
        out.cost_to_others = cost_to_others;
        out.delay_cost = cost_to_others + own_cost(out.first_token_ms) +
                         std::max(0.0, -packing(first));
        out.cost = out.cost_to_others - packing(first) +
                   own_cost(out.first_token_ms) +
                   segment_weight * static_cast<double>(out.chosen.size() - 1) +
                   (first.same_domain ? 0 : cross_domain_weight);
    }

    /// Time until an engine has done its backlog and a segment.
    static double prefill_end_ms(const placement_candidate& it,
                                 double segment_ms)
    {
        return it.slowdown * (it.load.backlog_ms + segment_ms);
    }

    /// Time to first token if the prefills end after `prefills_end_ms`. A
    /// prefill starts with the next pass, so on average it waits for half of
    /// the current one.
    double first_token_ms(const placement_candidate& it,
                          double prefills_end_ms) const
    {
        const double pass =
            it.slowdown *
            engine_.pass_ms(it.load.running + 1, it.load.context_tokens);
        const double current_pass_wait = it.load.running > 0 ? pass / 2 : 0;
        return prefills_end_ms + pass + current_pass_wait;
    }

    double own_cost(double first_token_ms) const
    {
        const double time = request_.waited_ms + first_token_ms;
        // A late response keeps part of its value until the deadline.
        return request_.value *
               (late_loss_share *
                    lateness(time, request_.first_token_target_ms) +
                (1 - late_loss_share) *
                    lateness(time, first_token_deadline_share *
                                       request_.deadline_ms) +
                delay_weight * time /
                    std::max(1.0, request_.first_token_target_ms));
    }

    const engine_profile& engine_;
    const placement_request& request_;
    std::span<const placement_candidate> candidates_;
    double prefill_tokens_;
    double prefill_ms_;
};

} // namespace

std::optional<placement_choice>
place_prompt(const engine_profile& engine, const placement_request& request,
             std::span<const placement_candidate> candidates)
{
    return planner(engine, request, candidates).best();
}

double distributed_kv_capacity(const engine_profile& engine,
                               std::size_t endpoints)
{
    return (1 - spare_memory_share) * engine.memory_tokens *
           static_cast<double>(endpoints);
}

std::optional<placement_choice>
place_plain(std::span<const placement_candidate> candidates)
{
    std::optional<placement_choice> found;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const auto& it = candidates[n];
        if (!it.may_be_primary || it.load.running >= it.slots)
            continue;
        const double cost =
            static_cast<double>(it.load.running) / std::max(1U, it.slots) +
            (it.same_domain ? 0 : cross_domain_weight);
        if (!found || cost < found->cost)
            found = placement_choice{.chosen = {n}, .cost = cost};
    }
    return found;
}

} // namespace galenapulley
