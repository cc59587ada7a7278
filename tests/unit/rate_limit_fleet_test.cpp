#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace galenapulley;

namespace
{

constexpr int node_count = 18;
constexpr double requests_per_second = 2.8;
constexpr msec step = 10;
/// Time until an announcement has been read by the other nodes.
constexpr msec announcement_delay = 40;
constexpr msec request_interval = 200;
constexpr msec counted_time = 4000;
constexpr auto max_arrivals =
    static_cast<std::ptrdiff_t>(1.5 * requests_per_second * 4 + 5);

std::shared_ptr<const routing_table> sample_table()
{
    const route sample_route{.name = "r",
                             .host = "h",
                             .prefix = "/",
                             .kind = request_kind::idempotent,
                             .timeout = 10'000,
                             .target_latency = 4000,
                             .services = {{.service = "svc"}},
                             .max_attempts = 2};
    return std::make_shared<routing_table>(
        1, std::vector{sample_route},
        std::vector<service_profile>{{.name = "svc"}},
        std::vector<client_account>{}, client_limits{});
}

/// Nodes that place more requests than the one endpoint takes, and hear of each
/// other's placements after a delay.
class fleet
{
public:
    fleet()
    {
        for (int n = 0; n < node_count; ++n)
            add_node("n" + std::to_string(n));
        const auto key = nodes_.front()->endpoints().all().begin()->second.key;
        for (auto& it : nodes_)
            it->on_announcement(key, {.rate_limit = requests_per_second});
    }

    void run(msec duration)
    {
        for (const auto end = time_.now() + duration; time_.now() < end;)
        {
            time_.advance(step);
            deliver();
            for (int n = 0; n < node_count; ++n)
            {
                if ((time_.now() + n * step) % request_interval == 0)
                    request(*nodes_[static_cast<std::size_t>(n)]);
                nodes_[static_cast<std::size_t>(n)]->tick();
            }
        }
    }

    /// The most placements in any span of `counted_time` after `from`.
    std::ptrdiff_t most_placements(msec from) const
    {
        std::ptrdiff_t most = 0;
        for (const auto at : placed_at_)
            if (at >= from)
                most = std::max(
                    most, std::count_if(placed_at_.begin(), placed_at_.end(),
                                        [at](msec other) {
                                            return other >= at &&
                                                   other < at + counted_time;
                                        }));
        return most;
    }
    msec now() const { return time_.now(); }

private:
    struct announcement
    {
        msec due_at = 0;
        std::string from;
        wire::work_update update;
    };

    void add_node(const std::string& name)
    {
        nodes_.push_back(std::make_unique<dispatcher>(
            dispatcher_options{.node = name, .failure_domain = "east"}, time_,
            log_));
        nodes_.back()->set_announce(
            [this, name](const wire::work_update& update)
            {
                announced_.push_back(
                    {.due_at = time_.now() + announcement_delay,
                     .from = name,
                     .update = update});
            });
        nodes_.back()->set_endpoints({{.id = "e1",
                                       .service = "svc",
                                       .address = "10.0.0.1:80",
                                       .failure_domain = "east",
                                       .slots = 1000}},
                                     true);
    }

    void deliver()
    {
        while (!announced_.empty() && announced_.front().due_at <= time_.now())
        {
            const auto item = std::move(announced_.front());
            announced_.pop_front();
            for (int n = 0; n < node_count; ++n)
                if (item.from != "n" + std::to_string(n))
                    nodes_[static_cast<std::size_t>(n)]->on_update(item.from,
                                                                   item.update);
        }
    }

    void request(dispatcher& node)
    {
        node.request({.id = ++next_,
                      .attempt = "t",
                      .table = table_,
                      .matched_route = table_->find("h", "/x"),
                      .service = "svc",
                      .received_at = time_.now(),
                      .deadline = time_.now() + 15'000,
                      .fingerprint = next_},
                     [this](const dispatch_result& it)
                     {
                         if (std::holds_alternative<dispatch_grant>(it))
                             placed_at_.push_back(time_.now());
                     });
    }

    manual_clock time_{100'000};
    event_log log_{"n", "error"};
    std::shared_ptr<const routing_table> table_ = sample_table();
    std::vector<std::unique_ptr<dispatcher>> nodes_;
    std::deque<announcement> announced_;
    std::vector<msec> placed_at_;
    std::uint64_t next_ = 0;
};

} // namespace

// Guards against many nodes that all use the same room below an endpoint's
// limit, each with requests waiting for it.
BOOST_AUTO_TEST_CASE(nodes_that_wait_for_an_endpoint_keep_its_limit_together)
{
    fleet nodes;
    const auto begin = nodes.now();
    nodes.run(30'000);
    BOOST_TEST(nodes.most_placements(begin + counted_time) <= max_arrivals);
    // The limit is used.
    BOOST_TEST(nodes.most_placements(begin + counted_time) >=
               static_cast<std::ptrdiff_t>(requests_per_second * 4 * 0.8));
}
