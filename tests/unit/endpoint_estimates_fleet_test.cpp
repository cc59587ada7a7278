#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace galenapulley;

namespace
{

constexpr int endpoint_count = 12;
constexpr msec target_latency = 250;
constexpr msec run_time = 60'000;
constexpr msec request_interval = 16;
constexpr msec tick_interval = 20;
/// Time until an announcement has been read by the other nodes.
constexpr msec announcement_delay = 40;
constexpr msec announce_all_period = 2000;
constexpr double prompt_tokens = 5000;
constexpr double output_tokens = 400;
/// Share of calls that are not idempotent.
constexpr double call_share = 0.2;
/// Attempts per request that may be executed more than once.
constexpr std::size_t max_attempts = 2;

constexpr double failing_share = 0.45;
/// Time after which a failing endpoint responds with an error.
constexpr msec failure_delay = 200;
constexpr double slow_factor = 5;
constexpr msec flap_interval = 1400;
constexpr msec connect_timeout = 400;

/// Additional requests in time, as a share of all requests, that the estimates
/// have to yield at least.
constexpr double required_gain = 0.06;
/// Largest share of requests that sound endpoints may lose to estimates.
constexpr double tolerated_loss = 0.01;

engine_profile sample_engine()
{
    return {.slots = 12,
            .memory_tokens = 450'000,
            .step_ms = 0.925,
            .prefill_tokens_per_ms = 256,
            .chunk_tokens = 2048,
            .steps_per_pass = 52};
}

std::shared_ptr<const routing_table> sample_table()
{
    const route streams{.name = "s",
                        .host = "h",
                        .prefix = "/s/",
                        .kind = request_kind::streaming,
                        .timeout = 10'000,
                        .target_latency = target_latency,
                        .gap_target = 200,
                        .services = {{.service = "svc"}},
                        .max_attempts = max_attempts,
                        .resumable = true};
    const route calls{.name = "n",
                      .host = "h",
                      .prefix = "/n/",
                      .kind = request_kind::non_idempotent,
                      .timeout = 10'000,
                      .target_latency = target_latency,
                      .services = {{.service = "svc"}}};
    return std::make_shared<routing_table>(
        1, std::vector{streams, calls},
        std::vector<service_profile>{
            {.name = "svc", .engine = sample_engine()}},
        std::vector<client_account>{}, client_limits{});
}

struct simulated_endpoint
{
    double failing = 0;
    double slow = 1;
    bool flaps = false;
    /// End of the prefills that it has accepted.
    double busy_until = 0;

    /// The same phase at each point of time in each run.
    bool is_down(msec now) const
    {
        return flaps && (now / flap_interval) % 2 == 1;
    }
    msec next_change(msec now) const
    {
        return (now / flap_interval + 1) * flap_interval;
    }
};

struct simulated_request
{
    std::string path;
    msec received_at = 0;
    std::vector<endpoint_key> tried;
    bool answered = false;
};

/// Nodes that place requests on simulated endpoints.
class fleet
{
public:
    fleet(bool estimates, int nodes, bool faults, unsigned seed) : random_(seed)
    {
        for (int n = 0; n < endpoint_count; ++n)
            endpoints_.emplace("e" + std::to_string(n + 1),
                               simulated_endpoint{});
        if (faults)
        {
            endpoints_["e2"].failing = failing_share;
            endpoints_["e5"].failing = failing_share;
            endpoints_["e8"].slow = slow_factor;
            endpoints_["e11"].flaps = true;
        }
        for (int n = 0; n < nodes; ++n)
            add_node("n" + std::to_string(n + 1), estimates);
    }

    /// Returns the share of requests whose first token was in time.
    double run()
    {
        for (const auto end = time_.now() + run_time; time_.now() < end;)
        {
            run_events();
            if (time_.now() % request_interval == 0)
                arrive();
            for (auto& it : nodes_)
            {
                if (time_.now() % tick_interval == 0)
                    it->tick();
                if (time_.now() % announce_all_period == 0)
                    send(*it, it->all_work());
                most_ejected_ =
                    std::max(most_ejected_, it->estimates().ejected());
            }
            time_.advance(1);
        }
        return static_cast<double>(in_time_) / static_cast<double>(requests_);
    }

    std::size_t most_ejected() const { return most_ejected_; }

private:
    using request_ref = std::shared_ptr<simulated_request>;

    void add_node(const std::string& name, bool estimates)
    {
        nodes_.push_back(std::make_unique<dispatcher>(
            dispatcher_options{.node = name,
                               .failure_domain = "east",
                               .cluster_retries = {.base = 100, .ratio = 0.2},
                               .endpoint_estimates = estimates},
            time_, log_));
        auto& node = *nodes_.back();
        names_.push_back(name);
        node.set_announce([this, &node](const wire::work_update& it)
                          { send(node, it); });
        node.set_crash_announce([](const crash_report&) {});
        node.set_prompts_announce([](const prompt_reports&) {});
        std::vector<endpoint> entries;
        for (const auto& [id, it] : endpoints_)
            entries.push_back({.id = id,
                               .service = "svc",
                               .address = "10.0.0.1:" + id,
                               .failure_domain = "east",
                               .slots = sample_engine().slots});
        node.set_endpoints(entries, true);
    }

    void at(msec time, std::function<void()> fn)
    {
        events_.emplace(std::max(time, time_.now() + 1), std::move(fn));
    }

    void run_events()
    {
        while (!events_.empty() && events_.begin()->first <= time_.now())
        {
            const auto fn = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            fn();
        }
    }

    void send(dispatcher& from, const wire::work_update& update)
    {
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            if (nodes_[n].get() == &from)
                for (auto& to : nodes_)
                    if (to.get() != &from)
                        at(time_.now() + announcement_delay,
                           [&to = *to, name = names_[n], update]
                           { to.on_update(name, update); });
    }

    bool draw(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < share;
    }

    void arrive()
    {
        ++requests_;
        auto request = std::make_shared<simulated_request>();
        request->path = draw(call_share) ? "/n/" : "/s/";
        request->received_at = time_.now();
        place(*nodes_[requests_ % nodes_.size()], request);
    }

    void place(dispatcher& node, const request_ref& request)
    {
        const auto id = ++next_;
        node.request({.id = id,
                      .attempt = "t",
                      .table = table_,
                      .matched_route = table_->find("h", request->path),
                      .service = "svc",
                      .prompt_tokens = prompt_tokens,
                      .output_tokens = output_tokens,
                      .received_at = request->received_at,
                      .deadline = request->received_at + 10'000,
                      .fingerprint = id,
                      .tried = request->tried,
                      .is_retry = !request->tried.empty()},
                     [this, &node, request, id](const dispatch_result& it)
                     {
                         if (const auto* const grant =
                                 std::get_if<dispatch_grant>(&it))
                             start(node, request, id, *grant);
                     });
    }

    void start(dispatcher& node, const request_ref& request, std::uint64_t id,
               const dispatch_grant& grant)
    {
        auto& it = endpoints_.at(grant.primary.id);
        const auto now = time_.now();
        request->tried.push_back(grant.key);
        if (it.is_down(now))
        {
            end(node, request, id, now + connect_timeout,
                {.outcome = attempt_outcome::unreachable});
            return;
        }
        if (draw(it.failing))
        {
            end(node, request, id, now + failure_delay,
                {.outcome = attempt_outcome::endpoint_error,
                 .connected = true});
            return;
        }
        const auto engine = sample_engine();
        it.busy_until = std::max(static_cast<double>(now), it.busy_until) +
                        it.slow * engine.prefill_ms(prompt_tokens);
        const double pass = it.slow * engine.pass_ms(1, prompt_tokens);
        const auto first =
            static_cast<msec>(it.busy_until + pass * (1 + draw_share()));
        const auto last =
            first + static_cast<msec>(it.slow * output_tokens * engine.step_ms);
        const auto lost = it.flaps ? it.next_change(now) : last + 1;
        if (first < lost)
            at(first,
               [this, &node, request, id] { answer(node, request, id); });
        if (last < lost)
            end(node, request, id, last, {.events = 8, .connected = true});
        else
            end(node, request, id, lost,
                {.outcome = attempt_outcome::broken_response,
                 .events = first < lost ? 4U : 0U,
                 .connected = true});
    }

    double draw_share()
    {
        return std::uniform_real_distribution<>(0, 1)(random_);
    }

    void answer(dispatcher& node, const request_ref& request, std::uint64_t id)
    {
        if (request->path == "/s/")
            node.on_first_token(id);
        if (!request->answered &&
            time_.now() - request->received_at <= target_latency)
            ++in_time_;
        request->answered = true;
    }

    void end(dispatcher& node, const request_ref& request, std::uint64_t id,
             msec time, const attempt_result& result)
    {
        at(time,
           [this, &node, request, id, result]
           {
               node.on_finished(id, result);
               const bool may_retry =
                   request->path == "/s/" ||
                   result.outcome == attempt_outcome::unreachable;
               if (result.outcome != attempt_outcome::completed && may_retry &&
                   !request->answered && request->tried.size() < max_attempts)
                   place(node, request);
           });
    }

    std::mt19937 random_;
    manual_clock time_{98'000};
    event_log log_{"n", "error"};
    std::shared_ptr<const routing_table> table_ = sample_table();
    std::map<std::string, simulated_endpoint> endpoints_;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<dispatcher>> nodes_;
    std::multimap<msec, std::function<void()>> events_;
    std::size_t requests_ = 0;
    std::size_t in_time_ = 0;
    std::size_t most_ejected_ = 0;
    std::uint64_t next_ = 0;
};

double in_time(bool estimates, int nodes, bool faults, unsigned seed)
{
    fleet it(estimates, nodes, faults, seed);
    const double share = it.run();
    BOOST_TEST(it.most_ejected() <= endpoint_count / 3U);
    BOOST_TEST_MESSAGE((estimates ? "with" : "without")
                       << " estimates, " << nodes << " nodes, faults " << faults
                       << ": " << share << " in time, at most "
                       << it.most_ejected() << " ejected");
    return share;
}

} // namespace

// Guards against endpoints that accept all requests and fail or delay many of
// them. Without the estimates the gain is 0.
BOOST_AUTO_TEST_CASE(estimates_keep_requests_in_time)
{
    for (const unsigned seed : {1U, 2U, 3U})
        for (const int nodes : {1, 6})
            BOOST_TEST(in_time(true, nodes, true, seed) >=
                       in_time(false, nodes, true, seed) + required_gain);
}

// Guards against estimates that take capacity from a sound service.
BOOST_AUTO_TEST_CASE(estimates_of_sound_endpoints_cost_little)
{
    for (const int nodes : {1, 6})
        BOOST_TEST(in_time(true, nodes, false, 1) >=
                   in_time(false, nodes, false, 1) - tolerated_loss);
}
