// Admission and queueing of shard_scheduler.
#include "galenapulley/shard_scheduler.hpp"

#include "galenapulley/crash_registry.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

/// Queue length per back end of the shard at which requests are refused as
/// overloaded.
constexpr std::size_t queue_per_back_end = 64;
/// Customers whose oldest request is tried when the one in turn can't be
/// placed, for example because it excludes the free back end.
constexpr std::size_t heads_tried = 4;
/// Shares of unavailable back ends at which the longest class, and then also
/// the second longest one, yields to shorter classes.
constexpr double longest_class_yield_share = 1.0 / 3;
constexpr double second_class_yield_share = 1.0 / 2;

permit_decision queued_decision(const permit_key& key)
{
    permit_decision decision;
    decision.key = key;
    decision.state = permit_state::queued;
    return decision;
}

} // namespace

permit_decision shard_scheduler::refuse(const permit_key& key, error_kind kind,
                                        msec retry_after)
{
    ++refusals_[static_cast<std::size_t>(kind)];
    permit_decision decision;
    decision.key = key;
    decision.refusal = kind;
    decision.retry_after =
        retry_after != 0 ? retry_after : error_response_for(kind).retry_after;
    return decision;
}

permit_decision shard_scheduler::request(const permit_query& query)
{
    now_ = clock_.now();
    if (const auto it = permits_.find(query.key); it != permits_.end())
        return decision_for(it->first, it->second);
    if (queued_.count(query.key) > 0)
        return queued_decision(query.key);
    if (classes_.empty())
        return refuse(query.key, error_kind::no_back_end);
    permit_query item = query;
    item.length_class = std::min(query.length_class, classes_.size() - 1);
    if (!placement_->uses_classes())
        item.length_class =
            effective_class(query.prompt_tokens, needs_segments(query));
    if (const auto kind = find_refusal(item))
        return refuse(item.key, *kind);
    const auto time_left = item.deadline - now_ - expected_start(item);
    if (time_left <= 0)
        return refuse(item.key, error_kind::deadline_unreachable);
    std::vector<booked_share> shares;
    if (classes_[item.length_class].queue.empty() &&
        may_grant(item.length_class) && place(item, shares))
    {
        ++load_of(item.customer).in_flight;
        return grant(item, std::move(shares));
    }
    const auto wait = expected_wait(item);
    if (wait > time_left)
        return refuse(item.key, error_kind::deadline_unreachable, wait);
    if (queued_.size() >= queue_per_back_end * loads_.size())
        return refuse(item.key, error_kind::overloaded, wait);
    return enqueue(std::move(item));
}

std::optional<error_kind>
shard_scheduler::find_refusal(const permit_query& query)
{
    if (crash_registry_ != nullptr && query.fingerprint != 0 &&
        crash_registry_->is_quarantined(query.fingerprint, now_))
        return error_kind::request_quarantined;
    const auto& customer = load_of(query.customer);
    if (customer.in_flight >= share_of_limit(customer.max_in_flight))
        return error_kind::customer_limit;
    if (!is_possible(query))
        return error_kind::no_back_end;
    return std::nullopt;
}

std::uint32_t shard_scheduler::share_of_limit(std::uint32_t limit) const
{
    return (limit + active_shards_ - 1) / active_shards_;
}

shard_scheduler::customer_load&
shard_scheduler::load_of(const std::string& customer)
{
    return customers_[customer];
}

bool shard_scheduler::is_yielding(std::size_t length_class) const
{
    return length_class >= first_yielding_;
}

void shard_scheduler::update_yielding()
{
    const auto unreachable = std::count_if(
        loads_.begin(), loads_.end(),
        [&](const back_end_load& it)
        { return it.listed && it.admitted && it.is_unreachable(now_); });
    const auto missing =
        static_cast<double>(withdrawn_ + static_cast<std::size_t>(unreachable));
    const auto total = static_cast<double>(service_.back_ends.size());
    std::size_t yielding = 0;
    if (placement_ && placement_->uses_classes() &&
        missing >= total * longest_class_yield_share)
        yielding = missing >= total * second_class_yield_share ? 2 : 1;
    // The shortest class never yields.
    const auto n = classes_.size();
    first_yielding_ = n - std::min(yielding, n - std::min<std::size_t>(n, 1));
}

bool shard_scheduler::may_grant(std::size_t length_class) const
{
    if (now_ < grants_from_)
        return false;
    if (!is_yielding(length_class))
        return true;
    return std::all_of(classes_.begin(),
                       classes_.begin() +
                           static_cast<std::ptrdiff_t>(length_class),
                       [](const class_load& it) { return it.queue.empty(); });
}

msec shard_scheduler::expected_wait(const permit_query& query) const
{
    const auto n = query.length_class;
    const auto& load = classes_[n];
    const auto until_start = std::max<msec>(0, grants_from_ - now_);
    const auto customer = customers_.find(query.customer);
    const auto weight =
        customer == customers_.end() ? 1 : customer->second.weight;
    const auto ahead = load.queue.ahead_of(query.customer, weight);
    // Little's law: each slot of the class serves one request per mean time
    // that a permit is held.
    const auto slots = std::max(1U, load.running + free_slots(n));
    return until_start + static_cast<msec>(static_cast<double>(ahead + 1) *
                                           load.mean_hold_ms / slots);
}

msec shard_scheduler::expected_start(const permit_query& query) const
{
    msec least = 0;
    for (const auto& it : loads_)
    {
        if (!is_usable(it) || !it.ramp().knows_rate())
            continue;
        const auto time = it.ramp().expected_first_token(query.prompt_tokens);
        least = least == 0 ? time : std::min(least, time);
    }
    return least;
}

permit_decision shard_scheduler::enqueue(permit_query&& query)
{
    auto& customer = load_of(query.customer);
    ++customer.in_flight;
    const auto id = next_id_++;
    const auto key = query.key;
    classes_[query.length_class].queue.push(
        query.customer, customer.weight,
        {.id = id, .cost = query.prompt_tokens});
    const auto latest_start = query.deadline - expected_start(query);
    queue_deadlines_.insert({latest_start, key});
    queued_ids_.emplace(id, key);
    queued_.emplace(key, queued_permit{.query = std::move(query),
                                       .id = id,
                                       .latest_start = latest_start});
    return queued_decision(key);
}

std::vector<permit_decision> shard_scheduler::tick()
{
    std::vector<permit_decision> decisions;
    now_ = clock_.now();
    update_periodically();
    update_yielding();
    expire_permits();
    for (auto& it : loads_)
        it.reserved = false;
    if (queued_.empty())
        return decisions;
    refuse_unservable(decisions);
    if (now_ >= grants_from_)
        grant_queued(decisions);
    clear_reservations();
    return decisions;
}

// Back ends are reserved only while requests are queued.
void shard_scheduler::clear_reservations()
{
    if (!queued_.empty())
        return;
    for (auto& it : loads_)
        it.reserved = false;
}

void shard_scheduler::refuse_unservable(std::vector<permit_decision>& decisions)
{
    while (!queue_deadlines_.empty() && queue_deadlines_.begin()->first <= now_)
    {
        const auto it = queued_.find(queue_deadlines_.begin()->second);
        decisions.push_back(
            refuse(it->first, error_kind::deadline_unreachable));
        remove_queued(it);
    }
    if (!std::exchange(recheck_queue_, false))
        return;
    for (auto it = queued_.begin(); it != queued_.end();)
    {
        if (is_possible(it->second.query))
        {
            ++it;
            continue;
        }
        decisions.push_back(refuse(it->first, error_kind::no_back_end));
        it = remove_queued(it);
    }
}

void shard_scheduler::grant_queued(std::vector<permit_decision>& decisions)
{
    reserve_back_ends();
    // The first class rotates, so that every class makes progress.
    ++next_class_;
    for (bool progress = true; progress;)
    {
        progress = false;
        for (std::size_t n = 0; n < classes_.size(); ++n)
        {
            const auto i = (next_class_ + n) % classes_.size();
            // Each class gets twice the grants of the next longer one. Most
            // requests are short, and with one grant per class in turn they
            // would wait behind few long ones.
            auto grants = std::size_t{1}
                          << std::min<std::size_t>(classes_.size() - 1 - i, 8);
            while (grants-- > 0 && grant_from(i, decisions))
                progress = true;
        }
    }
}

bool shard_scheduler::grant_from(std::size_t length_class,
                                 std::vector<permit_decision>& decisions)
{
    auto& queue = classes_[length_class].queue;
    if (queue.empty() || !may_grant(length_class) ||
        free_slots(length_class) == 0)
        return false;
    heads_.clear();
    queue.heads(heads_tried, heads_);
    for (const auto id : heads_)
    {
        const auto it = queued_.find(queued_ids_.at(id));
        auto& query = it->second.query;
        std::vector<booked_share> shares;
        if (place(query, shares))
        {
            queue.pop(query.customer);
            decisions.push_back(grant(query, std::move(shares)));
            queue_deadlines_.erase({it->second.latest_start, it->first});
            queued_ids_.erase(id);
            queued_.erase(it);
            return true;
        }
        // Smaller requests must not overtake one that needs several engines, or
        // they would take the memory that it waits for.
        if (needs_segments(query))
            return false;
    }
    return false;
}

} // namespace galenapulley
