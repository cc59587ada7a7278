// Compares shard_scheduler with a reference model that keeps full lists of
// permits and events and recomputes everything from them.
#include "galenapulley/load_report.hpp"
#include "galenapulley/shard_scheduler.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace galenapulley;

namespace
{

std::uint32_t naive_allowance(std::uint32_t limit, std::uint32_t lapsed,
                              bool lease_held)
{
    for (; lapsed > 0; --lapsed)
        limit = limit / 2 + limit % 2;
    return lease_held ? limit : limit / 2;
}

struct naive_back_end
{
    back_end target;
    msec warm_since = -1;
    msec unreachable_until = 0;

    std::uint32_t limit(msec now) const
    {
        auto limit = target.cold_slots;
        for (msec t = warm_since; warm_since >= 0 && t + 2'000 <= now;
             t += 2'000)
            limit = std::min(2 * limit, target.slots);
        return std::min(limit, target.slots);
    }
};

struct naive_permit
{
    permit_query query;
    std::vector<permit_share> shares;
    msec granted_at = 0;
};

service make_service(std::size_t back_ends, const std::string& placement)
{
    service document;
    document.name = "s";
    document.placement = placement;
    document.customers = {{"a", "", 1, 20}, {"b", "", 3, 40}};
    document.classes = {{"short", 8'000, 10'000, 30},
                        {"medium", 32'000, 20'000, 20},
                        {"long", 100'000, 40'000, 10},
                        {"huge", 1'000'000, 60'000, 0}};
    for (std::size_t n = 0; n < back_ends; ++n)
    {
        back_end it;
        it.name = "e" + std::to_string(n);
        it.zone = "east";
        it.machine = "vm-" + std::to_string(n % 3);
        it.slots = static_cast<std::uint32_t>(3 + n * 2);
        it.cold_slots = 2;
        it.kv_tokens = static_cast<std::uint32_t>(60'000 + n * 40'000);
        document.back_ends.push_back(it);
    }
    return document;
}

class model
{
public:
    model(std::uint64_t seed, std::size_t back_ends,
          const std::string& placement)
        : document_(make_service(back_ends, placement)), random_(seed)
    {
        for (const auto& it : document_.back_ends)
            back_ends_.push_back({.target = it});
        scheduler_.set_service(document_);
    }

    void step()
    {
        time_.advance(static_cast<msec>(pick(pick(10) == 0 ? 3'000 : 200)));
        expire();
        tick();
        using action = void (model::*)();
        constexpr action actions[] = {
            &model::request, &model::request,         &model::request,
            &model::request, &model::request,         &model::release,
            &model::release, &model::release,         &model::cancel,
            &model::report,  &model::report,          &model::withdraw,
            &model::lapse,   &model::lose_connection, &model::replace_document};
        (this->*actions[pick(std::size(actions))])();
        tick();
        check_totals();
    }

    std::size_t grants() const { return grants_; }

private:
    std::size_t pick(std::size_t n) { return random_() % n; }

    void tick()
    {
        for (const auto& it : scheduler_.tick())
            on_decision(it);
    }

    void request()
    {
        constexpr std::uint32_t lengths[] = {500, 7'000, 20'000, 70'000,
                                             150'000};
        permit_query query;
        query.key = {"n", 1, ++last_};
        query.customer = pick(2) == 0 ? "a" : "b";
        query.prompt_tokens = lengths[pick(std::size(lengths))];
        query.output_tokens = 100;
        query.length_class = document_.class_for(query.prompt_tokens);
        query.deadline = time_.now() + 1'000 + static_cast<msec>(pick(20'000));
        if (pick(8) == 0)
            query.excluded = {"e0"};
        const bool room = could_be_placed(query);
        queued_[query.key] = query;
        const auto decision = scheduler_.request(query);
        // A request that fits on a back end must not be queued.
        if (room)
            RC_ASSERT((decision.state == permit_state::granted));
        on_decision(decision);
    }

    /// Whether the request fits on one back end while nothing else affects the
    /// decision: no request is queued and no class yields.
    bool could_be_placed(const permit_query& query) const
    {
        if (document_.placement != "least_outstanding" || !queued_.empty() ||
            !withdrawn_.empty() ||
            in_flight(query.customer) >=
                document_.find_customer(query.customer)->max_in_flight)
            return false;
        const bool reachable =
            std::all_of(back_ends_.begin(), back_ends_.end(),
                        [&](const naive_back_end& it)
                        { return it.unreachable_until <= time_.now(); });
        return reachable &&
               std::any_of(back_ends_.begin(), back_ends_.end(),
                           [&](const naive_back_end& it)
                           {
                               return is_allowed(it, query) &&
                                      has_slot(it, query.length_class) &&
                                      kv_of(it) + query.prompt_tokens +
                                              query.output_tokens <=
                                          allowance(it.target.kv_tokens);
                           });
    }

    bool is_allowed(const naive_back_end& it, const permit_query& query) const
    {
        return withdrawn_.count(it.target.machine) == 0 &&
               it.unreachable_until <= time_.now() &&
               std::count(query.excluded.begin(), query.excluded.end(),
                          it.target.name) == 0;
    }

    std::uint32_t allowance(std::uint32_t limit) const
    {
        return naive_allowance(limit, lapsed_, lease_held_);
    }

    /// Whether one more request of the class is within the limit and leaves the
    /// slots that are reserved for shorter classes. The baseline strategies
    /// reserve no slots, so every request may use the whole limit.
    bool has_slot(const naive_back_end& it, std::size_t length_class) const
    {
        const auto limit = allowance(it.limit(time_.now()));
        if (document_.placement != "size_interval")
            return running_on(it, 0) + 1 <= limit;
        std::uint32_t percent = 0;
        for (std::size_t n = 0; n <= length_class; ++n)
        {
            const auto cap = limit - limit * percent / 100;
            if (running_on(it, n) + 1 > cap)
                return false;
            percent += document_.classes[n].reserved_percent;
        }
        return true;
    }

    template <typename Function>
    void for_each_share(const naive_back_end& it, Function function) const
    {
        for (const auto& [key, permit] : permits_)
        {
            for (const auto& share : permit.shares)
            {
                if (share.back_end == it.target.name)
                    function(permit, share);
            }
        }
    }

    std::uint32_t running_on(const naive_back_end& it,
                             std::size_t from_class) const
    {
        std::uint32_t n = 0;
        for_each_share(it,
                       [&](const auto& permit, const auto&) {
                           n += permit.query.length_class >= from_class ? 1 : 0;
                       });
        return n;
    }

    std::uint32_t kv_of(const naive_back_end& it) const
    {
        std::uint32_t n = 0;
        for_each_share(it, [&](const auto&, const auto& share)
                       { n += share.tokens; });
        return n;
    }

    std::size_t in_flight(const std::string& customer) const
    {
        std::size_t n = 0;
        for (const auto& [key, it] : permits_)
            n += it.query.customer == customer ? 1 : 0;
        for (const auto& [key, it] : queued_)
            n += it.customer == customer ? 1 : 0;
        return n;
    }

    void on_decision(const permit_decision& decision)
    {
        if (decision.state == permit_state::queued)
            return;
        const auto query = queued_.at(decision.key);
        if (decision.state == permit_state::granted)
            on_grant(query, decision);
        queued_.erase(decision.key);
    }

    void on_grant(const permit_query& query, const permit_decision& decision)
    {
        ++grants_;
        std::uint32_t tokens = 0;
        RC_ASSERT(time_.now() < query.deadline);
        for (const auto& share : decision.shares)
        {
            const auto it = std::find_if(
                back_ends_.begin(), back_ends_.end(),
                [&](const auto& b) { return b.target.name == share.back_end; });
            RC_ASSERT(it != back_ends_.end());
            RC_ASSERT(is_allowed(*it, query));
            RC_ASSERT(has_slot(*it, query.length_class));
            tokens += share.tokens;
            RC_ASSERT(kv_of(*it) + share.tokens <=
                      allowance(it->target.kv_tokens));
        }
        RC_ASSERT(tokens == query.prompt_tokens + query.output_tokens);
        RC_ASSERT(in_flight(query.customer) <=
                  document_.find_customer(query.customer)->max_in_flight);
        permits_[decision.key] = {query, decision.shares, time_.now()};
    }

    void release()
    {
        if (permits_.empty())
            return;
        const auto it =
            std::next(permits_.begin(),
                      static_cast<std::ptrdiff_t>(pick(permits_.size())));
        scheduler_.release(it->first, {permit_outcome::completed, 0, 10, {}});
        permits_.erase(it);
    }

    void cancel()
    {
        const permit_key key{"n", 1, 1 + pick(last_ + 1)};
        scheduler_.cancel(key);
        permits_.erase(key);
        queued_.erase(key);
    }

    void report()
    {
        for (auto& it : back_ends_)
        {
            load_report report;
            report.incarnation = 1;
            report.cold = pick(12) == 0;
            // Engines report a request some time after its grant.
            for_each_share(it,
                           [&](const auto& permit, const auto&)
                           {
                               if (permit.granted_at + 50 <= time_.now())
                                   ++report.running;
                           });
            scheduler_.on_load_report(it.target.name, report);
            it.unreachable_until = 0;
            if (report.cold)
                it.warm_since = -1;
            else if (it.warm_since < 0)
                it.warm_since = time_.now();
        }
    }

    void withdraw()
    {
        const auto former = std::exchange(withdrawn_, {});
        if (pick(2) == 0)
            withdrawn_.insert("vm-" + std::to_string(pick(3)));
        if (pick(2) == 0)
            scheduler_.set_fleet({{}, withdrawn_}, {});
        else
            scheduler_.set_fleet({}, withdrawn_);
        // A back end may have become cold while it was withdrawn.
        for (auto& it : back_ends_)
            if (former.count(it.target.machine) > 0 &&
                withdrawn_.count(it.target.machine) == 0)
                it.warm_since = -1;
    }

    void lapse()
    {
        lapsed_ = pick(2) == 0 ? 0 : static_cast<std::uint32_t>(pick(3));
        lease_held_ = pick(3) != 0;
        scheduler_.set_allowance(lapsed_, lease_held_);
    }

    void lose_connection()
    {
        auto& it = back_ends_[pick(back_ends_.size())];
        scheduler_.on_back_end_unreachable(it.target.name);
        it.warm_since = -1;
        it.unreachable_until = time_.now() + 5'000;
    }

    void replace_document() { scheduler_.set_service(document_); }

    void expire()
    {
        std::erase_if(
            permits_, [&](const auto& it)
            { return it.second.query.deadline + 5'000 <= time_.now(); });
    }

    void check_totals() const
    {
        // Every queued request is decided by its deadline.
        for (const auto& [key, it] : queued_)
            RC_ASSERT(it.deadline > time_.now());
        RC_ASSERT(scheduler_.queued() == queued_.size());
        RC_ASSERT(scheduler_.running() == permits_.size());
        for (const auto& it : back_ends_)
        {
            const auto* load = scheduler_.find_load(it.target.name);
            RC_ASSERT(load->permits() == running_on(it, 0));
            RC_ASSERT(load->kv_booked() == kv_of(it));
            RC_ASSERT(load->ramp().limit(time_.now()) == it.limit(time_.now()));
        }
    }

    manual_clock time_{1'000};
    service document_;
    shard_scheduler::generator random_;
    shard_scheduler scheduler_{"s/east/0", time_, random_};
    std::vector<naive_back_end> back_ends_;
    std::map<permit_key, naive_permit> permits_;
    std::map<permit_key, permit_query> queued_;
    std::set<std::string> withdrawn_;
    std::uint32_t lapsed_ = 0;
    bool lease_held_ = true;
    std::uint64_t last_ = 0;
    std::size_t grants_ = 0;
};

void run_model(std::uint64_t seed, const std::string& placement)
{
    model it(seed, 1 + seed % 6, placement);
    for (int n = 0; n < 400; ++n)
        it.step();
    RC_ASSERT(it.grants() > 0U);
}

} // namespace

// Guards against grants above a limit, above engine memory, in reserved slots
// or on withdrawn back ends, and against requests left undecided.
RC_BOOST_PROP(agrees_with_naive_version, (std::uint64_t seed))
{
    run_model(seed, "size_interval");
}

// Guards against the same with a baseline strategy, and against requests that
// are queued although a back end has capacity.
RC_BOOST_PROP(agrees_with_naive_version_without_intervals, (std::uint64_t seed))
{
    run_model(seed, "least_outstanding");
}

// Guards against a former owner, whose lease has lapsed, and its successor that
// together exceed a back end's limit or memory because neither sees the other.
RC_BOOST_PROP(two_owners_never_exceed_the_limits_together, (std::uint64_t seed))
{
    const auto document = make_service(1 + seed % 4, "least_outstanding");
    manual_clock time(1'000);
    shard_scheduler::generator random(seed);
    shard_scheduler former("s/east/0", time, random);
    shard_scheduler successor("s/east/0", time, random);
    former.set_allowance(0, false);
    successor.set_allowance(1, true);
    std::map<std::string, std::uint32_t> slots;
    std::map<std::string, std::uint32_t> memory;
    for (auto* it : {&former, &successor})
    {
        it->set_service(document);
        it->start_epoch(1);
        for (const auto& target : document.back_ends)
            it->on_load_report(target.name, {});
    }
    const bool warm = seed % 2 == 0;
    time.advance(warm ? 60'000 : 1'500);
    for (std::uint64_t n = 1; n <= 60; ++n)
    {
        permit_query query;
        query.key = {"n", 1, n};
        query.customer = "b";
        query.prompt_tokens = random() % 9 == 0 ? 45'000 : 900;
        query.length_class = document.class_for(query.prompt_tokens);
        query.deadline = time.now() + 10'000;
        auto& owner = random() % 2 == 0 ? former : successor;
        for (const auto& share : owner.request(query).shares)
        {
            ++slots[share.back_end];
            memory[share.back_end] += share.tokens;
        }
    }
    for (const auto& it : document.back_ends)
    {
        RC_ASSERT(slots[it.name] <= (warm ? it.slots : it.cold_slots));
        RC_ASSERT(memory[it.name] <= it.kv_tokens);
    }
    RC_ASSERT(former.running() + successor.running() > 0U);
}
