// Duration of routing decisions by number of back ends: selector, scheduler
// request and release, and scheduler ticks with queued requests.
#include "galenapulley/load_report.hpp"
#include "galenapulley/shard_scheduler.hpp"
#include "galenapulley/shard_selector.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>

using namespace galenapulley;

namespace
{

constexpr std::size_t back_ends_per_shard = 7;
constexpr std::size_t customer_count = 200;
constexpr std::uint32_t slots = 16;
constexpr int decisions = 100'000;
constexpr int tick_rounds = 200;

struct measured_times
{
    double decision_ns = 0;
    double decision_p99_ns = 0;
    double idle_tick_ns = 0;
    double queued_tick_ns = 0;
    double granting_tick_ns = 0;
};

using bench_clock = std::chrono::steady_clock;

double ns_since(bench_clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(bench_clock::now() - start)
        .count();
}

service make_service(std::size_t back_ends)
{
    service document;
    document.name = "s";
    document.classes = {{"short", 8'000, 30'000, 40},
                        {"medium", 32'000, 60'000, 20},
                        {"long", 100'000, 300'000, 10},
                        {"huge", 1'000'000, 900'000, 0}};
    for (std::size_t n = 0; n < customer_count; ++n)
        document.customers.push_back(
            {"customer" + std::to_string(n), "", 1, 100'000});
    for (std::size_t n = 0; n < back_ends; ++n)
    {
        back_end it;
        it.name = "engine" + std::to_string(n);
        // A zone per shard gives shards of exactly the same size.
        it.zone = "zone" + std::to_string(n / back_ends_per_shard);
        it.machine = "vm" + std::to_string(n);
        it.slots = slots;
        it.cold_slots = 2;
        it.kv_tokens = 400'000;
        document.back_ends.push_back(it);
    }
    return document;
}

class bench
{
public:
    explicit bench(std::size_t back_ends) : document_(make_service(back_ends))
    {
        selector_.set_service(document_);
        for (const auto& id : document_.shards())
        {
            auto& owner =
                owners_.try_emplace(id, id, time_, random_).first->second;
            owner.set_service(document_);
            for (const auto& it : document_.back_ends)
                owner.on_load_report(it.name, {});
        }
        time_.advance(60'000);
        for (auto& [id, owner] : owners_)
        {
            owner.tick();
            publish(owner);
        }
    }

    measured_times run()
    {
        measured_times times;
        measure_decisions(times);
        times.idle_tick_ns = measure_ticks(false);
        fill_queues();
        times.queued_tick_ns = measure_ticks(false);
        times.granting_tick_ns = measure_ticks(true);
        return times;
    }

private:
    struct running
    {
        std::string shard;
        permit_key key;
    };

    permit_query make_query()
    {
        permit_query query;
        query.key = {"node1", 1, ++last_};
        query.customer =
            "customer" + std::to_string(random_() % customer_count);
        // 1 in 50 prompts exceeds 100k tokens.
        query.prompt_tokens = static_cast<std::uint32_t>(
            random_() % 50 == 0 ? 100'001 + random_() % 200'000
                                : 1'000 + random_() % 30'000);
        query.length_class = document_.class_for(query.prompt_tokens);
        query.output_tokens = 500;
        query.deadline = time_.now() + 30'000;
        query.prefix = random_() % 1'000 + 1;
        return query;
    }

    void publish(const shard_scheduler& owner)
    {
        selector_.on_capacity(
            {.shard = owner.shard(),
             .epoch = owner.epoch(),
             .free_slots_by_class = owner.free_slots_by_class(),
             .queued = 0},
            time_.now());
    }

    /// One decision: pick a shard, request a permit from its owner and release
    /// an older permit.
    void measure_decisions(measured_times& times)
    {
        const auto target = document_.back_ends.size() * slots / 2;
        std::vector<double> samples;
        samples.reserve(decisions);
        for (int n = 0; n < decisions; ++n)
        {
            const auto query = make_query();
            if (n % 8 == 0)
                time_.advance(1);
            const auto start = bench_clock::now();
            const auto shard =
                selector_.pick(query.length_class, {}, time_.now(), random_);
            auto& owner = owners_.at(*shard);
            const auto decision = owner.request(query);
            selector_.on_free_slots(*shard, query.length_class,
                                    owner.free_slots(query.length_class),
                                    time_.now());
            if (granted_.size() >= target)
                release_oldest();
            samples.push_back(ns_since(start));
            if (decision.state == permit_state::granted)
                granted_.push_back({*shard, query.key});
            else
                owner.cancel(query.key);
        }
        double sum = 0;
        for (const auto it : samples)
            sum += it;
        times.decision_ns = sum / decisions;
        auto p99 = samples.begin() + decisions * 99L / 100;
        std::nth_element(samples.begin(), p99, samples.end());
        times.decision_p99_ns = *p99;
    }

    void release_oldest()
    {
        const auto& it = granted_.front();
        permit_result result;
        result.first_token = 500;
        owners_.at(it.shard).release(it.key, result);
        granted_.pop_front();
    }

    /// Gives every shard 100 queued requests.
    void fill_queues()
    {
        for (auto& [id, owner] : owners_)
        {
            for (int n = 0; n < 2'000 && owner.queued() < 100; ++n)
            {
                auto query = make_query();
                query.deadline += 3'600'000;
                const auto decision = owner.request(query);
                if (decision.state == permit_state::granted)
                    granted_.push_back({id, query.key});
            }
        }
    }

    /// Mean time of one shard's tick. With `grants`, permits are released
    /// before each round, so that ticks grant queued requests.
    double measure_ticks(bool grants)
    {
        double sum = 0;
        int ticks = 0;
        for (int n = 0; n < tick_rounds; ++n)
        {
            for (std::size_t i = 0; grants && i < owners_.size(); ++i)
                release_oldest();
            if (n % 10 == 0)
                time_.advance(1);
            for (auto& [id, owner] : owners_)
            {
                const auto start = bench_clock::now();
                const auto results = owner.tick();
                sum += ns_since(start);
                ++ticks;
                for (const auto& it : results)
                {
                    if (it.state == permit_state::granted)
                        granted_.push_back({id, it.key});
                }
            }
            if (grants)
                fill_queues();
        }
        return sum / ticks;
    }

    manual_clock time_{1'000'000};
    shard_scheduler::generator random_{42};
    service document_;
    shard_selector selector_{"zone0"};
    std::map<std::string, shard_scheduler> owners_;
    std::deque<running> granted_;
    std::uint64_t last_ = 0;
};

} // namespace

int main()
{
    std::printf("%9s %7s %12s %12s %10s %10s %13s\n", "back ends", "shards",
                "decision ns", "p99 ns", "idle tick", "queued",
                "granting tick");
    for (const std::size_t n : {20, 100, 350, 700})
    {
        const auto shards = (n + back_ends_per_shard - 1) / back_ends_per_shard;
        const auto times = bench(n).run();
        std::printf("%9zu %7zu %12.0f %12.0f %10.0f %10.0f %13.0f\n", n, shards,
                    times.decision_ns, times.decision_p99_ns,
                    times.idle_tick_ns, times.queued_tick_ns,
                    times.granting_tick_ns);
    }
    return 0;
}
