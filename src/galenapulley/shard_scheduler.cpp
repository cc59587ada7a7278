#include "galenapulley/shard_scheduler.hpp"

#include "galenapulley/load_report.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec default_deadline = 60_sec;
constexpr msec update_interval = 1_sec;
/// Per update interval; prefill work has a half-life of about a minute.
constexpr double work_decay = 0.988;
constexpr double hold_time_weight = 1.0 / 8;

} // namespace

std::size_t shard_scheduler::key_hash::operator()(const permit_key& key) const
{
    return XXH3_64bits_withSeed(
        key.node.data(), key.node.size(),
        key.request ^ static_cast<std::uint64_t>(key.incarnation) << 20);
}

shard_scheduler::shard_scheduler(std::string shard, const clock& time,
                                 generator& random)
    : shard_(std::move(shard)), clock_(time), random_(random)
{
}

void shard_scheduler::set_service(const service& document)
{
    now_ = clock_.now();
    service_ = document;
    if (service_.classes.empty())
        service_.classes.push_back({.name = "all",
                                    .up_to_tokens = document.max_prompt_tokens,
                                    .deadline = default_deadline,
                                    .reserved_percent = 0});
    for (auto& [name, it] : customers_)
        it = {.weight = 1, .max_in_flight = 50, .in_flight = it.in_flight};
    for (const auto& it : service_.customers)
    {
        auto& known = customers_[it.name];
        known.weight = it.weight;
        known.max_in_flight = it.max_in_flight;
    }
    // Only the lists of classes and back ends are used from here on.
    service_.customers = {};
    service_.routes = {};
    auto strategy = make_placement(service_.placement);
    placement_ =
        strategy ? std::move(strategy) : make_placement("size_interval");
    if (!placement_->uses_classes())
    {
        for (auto& it : service_.classes)
            it.reserved_percent = 0;
    }
    rebuild_loads(service_.back_ends);
    rebuild_queues();
    update_availability();
}

void shard_scheduler::rebuild_loads(const std::vector<back_end>& back_ends)
{
    const bool reports = service_.kind == service_kind::model;
    std::vector<back_end_load> loads;
    std::vector<std::size_t> new_index(loads_.size(), placement::none);
    const auto take_over = [&](back_end_load& old)
    {
        new_index[static_cast<std::size_t>(&old - loads_.data())] =
            loads.size();
        loads.push_back(std::move(old));
    };
    for (const auto& it : back_ends)
    {
        if (service_.shard_of(it) != shard_)
            continue;
        const auto old = std::find_if(loads_.begin(), loads_.end(),
                                      [&](const back_end_load& load) {
                                          return load.target().name == it.name;
                                      });
        if (old == loads_.end())
        {
            loads.emplace_back(it, reports, now_);
            continue;
        }
        take_over(*old);
        loads.back().set_target(it, reports, now_);
        loads.back().listed = true;
    }
    for (std::size_t n = 0; n < loads_.size(); ++n)
    {
        // A back end that left the document is kept until its permits end.
        if (new_index[n] != placement::none || loads_[n].permits() == 0)
            continue;
        take_over(loads_[n]);
        loads.back().listed = false;
    }
    loads_ = std::move(loads);
    rebook_permits(new_index);
}

void shard_scheduler::rebook_permits(const std::vector<std::size_t>& new_index)
{
    std::vector<class_load> classes;
    for (const auto& it : service_.classes)
        classes.push_back({.queue = fair_queue(it.up_to_tokens)});
    for (std::size_t n = 0; n < std::min(classes.size(), classes_.size()); ++n)
        classes[n].mean_hold_ms = classes_[n].mean_hold_ms;
    classes_ = std::move(classes);
    for (auto& it : loads_)
        it.clear(classes_.size());
    for (auto& [key, permit] : permits_)
    {
        permit.length_class =
            effective_class(permit.prompt_tokens, permit.shares.size() > 1);
        ++classes_[permit.length_class].running;
        for (auto& share : permit.shares)
        {
            share.index = new_index[share.index];
            loads_[share.index].start(permit.length_class, share.tokens,
                                      permit.granted_at);
        }
    }
}

void shard_scheduler::rebuild_queues()
{
    std::vector<queue_map::iterator> order;
    for (auto it = queued_.begin(); it != queued_.end(); ++it)
        order.push_back(it);
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b)
              { return a->second.id < b->second.id; });
    for (const auto& it : order)
    {
        auto& query = it->second.query;
        query.length_class =
            effective_class(query.prompt_tokens, needs_segments(query));
        classes_[query.length_class].queue.push(
            query.customer, load_of(query.customer).weight,
            {.id = it->second.id, .cost = query.prompt_tokens});
    }
}

void shard_scheduler::set_fleet(const fleet& document,
                                const std::set<std::string>& leaving_machines)
{
    now_ = clock_.now();
    fleet_ = document;
    leaving_ = leaving_machines;
    update_availability();
}

void shard_scheduler::update_availability()
{
    const auto is_admitted = [&](const back_end& it)
    {
        return fleet_.admits(it) && leaving_.count(it.machine) == 0;
    };
    withdrawn_ = static_cast<std::size_t>(
        std::count_if(service_.back_ends.begin(), service_.back_ends.end(),
                      [&](const back_end& it) { return !is_admitted(it); }));
    std::set<std::string> active;
    for (const auto& it : service_.back_ends)
        if (is_admitted(it))
            active.insert(service_.shard_of(it));
    active_shards_ = std::max(1U, static_cast<std::uint32_t>(active.size()));
    for (auto& it : loads_)
    {
        const bool admitted = is_admitted(it.target());
        if (admitted && !it.admitted)
            it.ramp().on_readmitted(now_);
        it.admitted = admitted;
    }
    recheck_queue_ = true;
    update_yielding();
    choose_long_back_ends();
}

void shard_scheduler::set_allowance(std::uint32_t lapsed_owners,
                                    bool lease_held)
{
    recheck_queue_ = recheck_queue_ || lapsed_owners != lapsed_owners_ ||
                     lease_held != lease_held_;
    lapsed_owners_ = lapsed_owners;
    lease_held_ = lease_held;
}

std::uint32_t shard_scheduler::allowance(std::uint32_t limit) const
{
    // Halving rounds up, so 32 halvings reduce every limit to at most 1.
    for (std::uint32_t n = 0; n < std::min(lapsed_owners_, 32U); ++n)
        limit -= limit / 2;
    return lease_held_ ? limit : limit / 2;
}

void shard_scheduler::start_epoch(std::int64_t epoch)
{
    now_ = clock_.now();
    epoch_ = epoch;
    grants_from_ = now_ + register_time;
    for (auto it = permits_.begin(); it != permits_.end();)
        it = end_permit(it);
    for (auto it = queued_.begin(); it != queued_.end();)
        it = remove_queued(it);
    for (auto& it : loads_)
        it.clear_ended();
}

void shard_scheduler::on_load_report(const std::string& back_end,
                                     const load_report& report)
{
    now_ = clock_.now();
    for (auto& it : loads_)
    {
        if (it.target().name == back_end)
            it.on_report(report, now_);
    }
}

void shard_scheduler::on_back_end_unreachable(const std::string& back_end)
{
    now_ = clock_.now();
    for (auto& it : loads_)
    {
        if (it.target().name != back_end)
            continue;
        it.on_unreachable(now_);
        recheck_queue_ = true;
    }
    update_yielding();
}

void shard_scheduler::cancel(const permit_key& key)
{
    now_ = clock_.now();
    if (const auto it = queued_.find(key); it != queued_.end())
    {
        remove_queued(it);
        clear_reservations();
    }
    permit_result result;
    result.outcome = permit_outcome::unused;
    release(key, result);
}

void shard_scheduler::release(const permit_key& key,
                              const permit_result& result)
{
    now_ = clock_.now();
    const auto it = permits_.find(key);
    if (it == permits_.end())
        return;
    update_estimates(it->second, result);
    end_permit(it);
    if (result.outcome == permit_outcome::crashed)
        on_back_end_unreachable(result.failed_back_end);
}

void shard_scheduler::update_estimates(const running_permit& permit,
                                       const permit_result& result)
{
    if (result.outcome == permit_outcome::unused || permit.registered)
        return;
    auto& held = classes_[permit.length_class].mean_hold_ms;
    const auto time = static_cast<double>(now_ - permit.granted_at);
    held = held == 0 ? time : held + (time - held) * hold_time_weight;
    for (const auto& it : permit.shares)
    {
        if (result.outcome == permit_outcome::failed &&
            result.failed_back_end == loads_[it.index].target().name)
            loads_[it.index].ramp().on_error(now_);
    }
    // The first token of a segmented prompt can't be attributed to a back end.
    if (permit.shares.size() != 1)
        return;
    const auto& share = permit.shares.front();
    // Permits from before the restart of the ramp ran in a state that it
    // already reflects.
    if (permit.granted_at >= loads_[share.index].ramp().since())
        update_first_token_estimate(permit, result.first_token);
}

void shard_scheduler::update_first_token_estimate(const running_permit& permit,
                                                  msec took)
{
    const auto& share = permit.shares.front();
    auto& load = loads_[share.index];
    auto& ramp = load.ramp();
    // Engines reorder prefill by priority, and segmented prompts start late. So
    // only a first token that is too slow for all work that may have preceded
    // it indicates a cold engine.
    const auto most_work = std::max(share.prefill_tokens,
                                    load.granted_tokens() - share.ended_tokens);
    if (!ramp.is_slow(share.prefill_tokens, took))
        ramp.on_first_token(share.prefill_tokens, took, now_);
    // Long prompts yield to all others, so a late one indicates nothing.
    else if (!(placement_->uses_classes() && is_long(permit.length_class)) &&
             ramp.is_slow(most_work, took))
        ramp.on_first_token(most_work, took, now_);
}

shard_scheduler::permit_map::iterator
shard_scheduler::end_permit(permit_map::iterator it)
{
    const auto& [key, permit] = *it;
    for (const auto& share : permit.shares)
        loads_[share.index].finish(permit.length_class, share.tokens,
                                   permit.granted_at, now_);
    --classes_[permit.length_class].running;
    --load_of(permit.customer).in_flight;
    expiries_.erase({permit.expires_at, key});
    return permits_.erase(it);
}

shard_scheduler::queue_map::iterator
shard_scheduler::remove_queued(queue_map::iterator it)
{
    const auto& [key, item] = *it;
    classes_[item.query.length_class].queue.remove(item.query.customer,
                                                   item.id);
    --load_of(item.query.customer).in_flight;
    queue_deadlines_.erase({item.latest_start, key});
    queued_ids_.erase(item.id);
    return queued_.erase(it);
}

void shard_scheduler::register_permit(const permit_key& key,
                                      const std::vector<permit_share>& shares,
                                      const std::string& customer,
                                      msec deadline)
{
    if (permits_.count(key) > 0 || classes_.empty())
        return;
    if (const auto it = queued_.find(key); it != queued_.end())
        remove_queued(it);
    now_ = clock_.now();
    running_permit permit;
    permit.customer = customer;
    // Load reports already include it, so an old grant time keeps it from being
    // counted twice.
    permit.granted_at = now_ - default_deadline;
    permit.registered = true;
    for (const auto& share : shares)
    {
        permit.prompt_tokens += share.tokens;
        const auto it =
            std::find_if(loads_.begin(), loads_.end(),
                         [&](const back_end_load& load)
                         { return load.target().name == share.back_end; });
        if (it != loads_.end())
            permit.shares.push_back(
                {.index = static_cast<std::size_t>(it - loads_.begin()),
                 .tokens = share.tokens});
    }
    permit.length_class =
        effective_class(permit.prompt_tokens, permit.shares.size() > 1);
    const auto document_class = service_.class_for(permit.prompt_tokens);
    const auto end = deadline != 0
                         ? deadline
                         : now_ + service_.classes[document_class].deadline;
    permit.expires_at = end + release_grace;
    ++load_of(customer).in_flight;
    book(key, std::move(permit));
}

void shard_scheduler::book(const permit_key& key, running_permit&& permit)
{
    for (const auto& share : permit.shares)
        loads_[share.index].start(permit.length_class, share.tokens,
                                  permit.granted_at);
    ++classes_[permit.length_class].running;
    expiries_.insert({permit.expires_at, key});
    permits_.emplace(key, std::move(permit));
}

void shard_scheduler::drop_node(const std::string& node,
                                std::int64_t incarnation)
{
    now_ = clock_.now();
    const auto is_dropped = [&](const permit_key& key)
    {
        return key.node == node && key.incarnation < incarnation;
    };
    for (auto it = permits_.begin(); it != permits_.end();)
        it = is_dropped(it->first) ? end_permit(it) : std::next(it);
    for (auto it = queued_.begin(); it != queued_.end();)
        it = is_dropped(it->first) ? remove_queued(it) : std::next(it);
}

void shard_scheduler::expire_permits()
{
    while (!expiries_.empty() && expiries_.begin()->first <= now_)
    {
        ++expired_;
        end_permit(permits_.find(expiries_.begin()->second));
    }
}

void shard_scheduler::update_periodically()
{
    if (now_ - updated_at_ < update_interval)
        return;
    updated_at_ = now_;
    long_prefill_tokens_ *= work_decay;
    all_prefill_tokens_ *= work_decay;
    choose_long_back_ends();
}

std::vector<std::uint32_t> shard_scheduler::free_slots_by_class() const
{
    std::vector<std::uint32_t> slots;
    for (std::size_t n = 0; n < classes_.size(); ++n)
        slots.push_back(free_slots(n));
    return slots;
}

std::vector<queued_requests> shard_scheduler::queued_by_node() const
{
    std::map<std::pair<std::string, std::int64_t>, std::size_t> index;
    std::vector<queued_requests> nodes;
    for (const auto& [key, item] : queued_)
    {
        const auto [it, added] =
            index.try_emplace({key.node, key.incarnation}, nodes.size());
        if (added)
            nodes.push_back({key.node, key.incarnation, {}});
        nodes[it->second].requests.push_back(key.request);
    }
    return nodes;
}

const back_end_load*
shard_scheduler::find_load(const std::string& back_end) const
{
    const auto it = std::find_if(loads_.begin(), loads_.end(),
                                 [&](const back_end_load& load)
                                 { return load.target().name == back_end; });
    return it == loads_.end() ? nullptr : &*it;
}

} // namespace galenapulley
