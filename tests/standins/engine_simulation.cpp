#include "standins/engine_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenapulley::standins
{

namespace
{

/// Share of a step that goes to prefill while streams decode as well.
constexpr double prefill_share = 0.6;
constexpr double collapse_factor = 0.1;
/// Copying KV cache is this many times faster than prefill.
constexpr double import_speed_up = 10;
/// Size of the KV memory divided by that of the prefix cache, which is
/// separate from it.
constexpr std::int64_t cache_divisor = 4;
constexpr msec snapshot_interval_ms = 20;
/// Limits the work that is made up for after the process was suspended.
constexpr msec max_step_ms = 1000;

} // namespace

engine_simulation::engine_simulation(engine_options options, msec now)
    : options_(std::move(options))
    , memory_(options_.kv_tokens)
    , cache_(options_.kv_tokens / cache_divisor)
    , cold_(options_.start_cold)
    , last_step_(now)
{
    snapshots_.push_back(current_load(now));
}

engine_simulation::job_id
engine_simulation::submit(const job_request& request,
                          std::shared_ptr<job_sink> sink, msec now)
{
    job entry;
    entry.request = request;
    entry.sink = std::move(sink);
    entry.import_left = static_cast<double>(request.import_tokens);
    entry.emitted = request.resume_from;
    entry.decoded = static_cast<double>(request.resume_from);
    if (request.reservation.empty())
        entry.booked = request.prompt_tokens + request.max_tokens;
    else if (memory_.find(request.reservation) == nullptr)
        return 0;
    if (entry.booked > memory_.capacity())
        return 0;
    // The prompt of a completion that uses a reservation is already prefilled.
    if (request.reservation.empty() || request.max_tokens == 0)
        entry.prefill_left = static_cast<double>(request.prompt_tokens);

    if (jobs_.empty())
        last_step_ = now;
    const auto id = next_id_++;
    jobs_.emplace(id, std::move(entry));
    ++counts_.started;
    note_arrival();
    admit();
    take_snapshot(now);
    return id;
}

void engine_simulation::note_arrival()
{
    const auto concurrent = static_cast<std::int64_t>(jobs_.size());
    counts_.peak_concurrent = std::max(counts_.peak_concurrent, concurrent);
    if (!cold_)
        return;
    counts_.peak_concurrent_while_cold =
        std::max(counts_.peak_concurrent_while_cold, concurrent);
    if (concurrent > options_.cold_slots && !collapsed_)
    {
        collapsed_ = true;
        warm_progress_ms_ = 0;
        ++counts_.collapses;
    }
}

bool engine_simulation::cancel(job_id id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return false;
    ++counts_.cancelled;
    counts_.wasted_prefill_tokens +=
        static_cast<std::int64_t>(it->second.prefill_done);
    const auto sink = it->second.sink;
    remove(it);
    sink->on_cancelled();
    admit();
    return true;
}

int engine_simulation::cancel_request(const std::string& request_id)
{
    std::vector<job_id> found;
    for (const auto& it : jobs_)
    {
        if (it.second.request.request_id == request_id)
            found.push_back(it.first);
    }
    for (const auto id : found)
        cancel(id);
    return static_cast<int>(found.size());
}

bool engine_simulation::release(const std::string& reservation)
{
    std::vector<job_id> found;
    for (const auto& it : jobs_)
    {
        if (it.second.request.reservation == reservation)
            found.push_back(it.first);
    }
    for (const auto id : found)
        cancel(id);
    const bool released = memory_.release(reservation);
    admit();
    return released;
}

engine_simulation::job_map::iterator
engine_simulation::remove(job_map::iterator it)
{
    if (it->second.running)
        memory_.free(it->second.booked);
    const auto next = jobs_.erase(it);
    if (jobs_.empty())
        collapsed_ = false;
    return next;
}

std::vector<engine_simulation::job*>
engine_simulation::by_priority(bool running)
{
    std::vector<job*> found;
    for (auto& it : jobs_)
    {
        if (it.second.running == running)
            found.push_back(&it.second);
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const job* a, const job* b)
                     { return a->request.priority < b->request.priority; });
    return found;
}

void engine_simulation::admit()
{
    auto running =
        std::count_if(jobs_.begin(), jobs_.end(),
                      [](const auto& it) { return it.second.running; });
    if (running == static_cast<std::ptrdiff_t>(jobs_.size()))
        return;
    for (auto* it : by_priority(false))
    {
        // A job that does not fit blocks the jobs behind it, so that small jobs
        // don't starve a large one.
        if (running >= options_.slots || !memory_.book(it->booked))
            return;
        it->running = true;
        ++running;
    }
}

void engine_simulation::step(msec now)
{
    const auto elapsed = std::min(now - last_step_, max_step_ms);
    last_step_ = now;
    if (elapsed > 0 && !jobs_.empty())
    {
        bool prefills = false;
        bool decodes = false;
        for (const auto& it : jobs_)
        {
            prefills |= it.second.running && it.second.in_prefill();
            decodes |= it.second.running && !it.second.in_prefill();
        }
        const double share = !prefills ? 0 : decodes ? prefill_share : 1;
        const double budget_ms = static_cast<double>(elapsed) *
                                 options_.time_scale *
                                 (collapsed_ ? collapse_factor : 1);
        // Decode runs first, so that a job does not start to decode in the
        // step that ends its prefill.
        decode(budget_ms * (1 - share));
        prefill(budget_ms * share, now);
        progress_warm_up(static_cast<double>(elapsed));
        finish_jobs(now);
        admit();
    }
    take_snapshot(now);
}

void engine_simulation::begin_prefill(job& entry)
{
    entry.prefill_begun = true;
    if (entry.request.crashes && options_.crash)
        options_.crash();
    const auto cached = cache_.cached_tokens(entry.request.block_keys);
    // The last prompt token is computed even if it is cached, as decoding
    // starts from its output.
    entry.prefill_left =
        std::max(1.0, entry.prefill_left - static_cast<double>(cached));
}

void engine_simulation::prefill(double budget_ms, msec now)
{
    double budget = budget_ms * options_.prefill_tokens_per_s / 1000;
    for (auto* it : by_priority(true))
    {
        if (budget <= 0)
            return;
        const auto copied = std::min(it->import_left, budget * import_speed_up);
        it->import_left -= copied;
        budget -= copied / import_speed_up;
        if (it->prefill_left <= 0 || it->import_left > 0)
            continue;
        if (!it->prefill_begun)
            begin_prefill(*it);
        const auto done = std::min(it->prefill_left, budget);
        it->prefill_left -= done;
        it->prefill_done += done;
        budget -= done;
        counts_.prefill_tokens += static_cast<std::int64_t>(done);
        if (it->prefill_left <= 0)
            cache_.insert(it->request.block_keys, now);
    }
}

void engine_simulation::decode(double budget_ms)
{
    const double tokens = budget_ms * options_.decode_tokens_per_s / 1000;
    if (tokens <= 0)
        return;
    std::vector<job_id> ids;
    for (const auto& it : jobs_)
        ids.push_back(it.first);
    for (const auto id : ids)
    {
        const auto it = jobs_.find(id);
        // The sink of an earlier job may have cancelled this one.
        if (it == jobs_.end())
            continue;
        auto& entry = it->second;
        const auto wanted = entry.request.max_tokens;
        if (!entry.running || entry.in_prefill() || entry.emitted >= wanted)
            continue;
        entry.decoded =
            std::min(entry.decoded + tokens, static_cast<double>(wanted));
        const auto begin = entry.emitted;
        entry.emitted = static_cast<std::int64_t>(std::floor(entry.decoded));
        if (entry.emitted > begin)
        {
            const auto sink = entry.sink;
            sink->on_tokens(begin, entry.emitted);
        }
    }
}

void engine_simulation::finish_jobs(msec now)
{
    for (auto it = jobs_.begin(); it != jobs_.end();)
    {
        auto& entry = it->second;
        if (!entry.running || entry.in_prefill() ||
            entry.emitted < entry.request.max_tokens)
        {
            ++it;
            continue;
        }
        const bool segment = entry.request.max_tokens == 0;
        auto* reservation = memory_.find(entry.request.reservation);
        if (segment && reservation != nullptr)
        {
            reservation->prefilled = true;
            reservation->prefilled_tokens = entry.request.prompt_tokens;
        }
        ++counts_.completed;
        const auto sink = entry.sink;
        it = remove(it);
        sink->on_finished();
    }
    take_snapshot(now);
}

void engine_simulation::progress_warm_up(double elapsed_ms)
{
    if (!cold_ || collapsed_)
        return;
    warm_progress_ms_ += elapsed_ms;
    if (warm_progress_ms_ >= static_cast<double>(options_.warm_after_ms))
        cold_ = false;
}

void engine_simulation::turn_cold()
{
    cold_ = true;
    warm_progress_ms_ = 0;
    cache_.clear();
}

engine_load engine_simulation::current_load(msec now) const
{
    engine_load load;
    load.at = now;
    load.cold = cold_;
    load.kv_used = memory_.used();
    for (const auto& it : jobs_)
    {
        ++(it.second.running ? load.running : load.waiting);
        load.prefill_backlog += static_cast<std::int64_t>(
            it.second.prefill_left + it.second.import_left / import_speed_up);
    }
    return load;
}

void engine_simulation::take_snapshot(msec now)
{
    if (now - snapshots_.back().at >= snapshot_interval_ms)
        snapshots_.push_back(current_load(now));
    while (snapshots_.size() > 1 &&
           snapshots_[1].at + options_.report_lag_ms <= now)
        snapshots_.pop_front();
}

engine_load engine_simulation::reported_load(msec now)
{
    take_snapshot(now);
    return snapshots_.front();
}

} // namespace galenapulley::standins
