#include "galenapulley/serving_set.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace galenapulley;

namespace
{

constexpr std::uint32_t strong = 500;
constexpr std::uint32_t weak = 120;

serving_candidate node(std::size_t n, std::size_t domains,
                       std::uint32_t capacity, double rate = 0)
{
    return {.rank = {.node = "n" + std::to_string(n), .capacity = capacity},
            .failure_domain = "d" + std::to_string(n % domains),
            .request_rate = rate};
}

/// The first `strong_nodes` nodes are strong.
std::vector<serving_candidate> fleet(std::size_t n, std::size_t strong_nodes,
                                     std::size_t domains = 5)
{
    std::vector<serving_candidate> out;
    for (std::size_t k = 0; k < n; ++k)
        out.push_back(node(k, domains, k < strong_nodes ? strong : weak));
    return out;
}

double cores_of(const serving_set& set,
                const std::vector<serving_candidate>& live)
{
    double cores = 0;
    for (const auto& it : live)
        if (set.contains(it.rank.node))
            cores += it.rank.capacity / 1000.0;
    return cores;
}

} // namespace

BOOST_AUTO_TEST_CASE(all_nodes_of_a_small_fleet_serve)
{
    serving_set set;
    BOOST_TEST(set.update(fleet(18, 0, 3)));
    BOOST_TEST(set.members().size() == 18U);
    BOOST_TEST(!set.has_standbys());
    BOOST_TEST(!set.update(fleet(18, 0, 3)));
}

// Guards against clients that are sent to slow nodes, and against the cost of
// coordination among hundreds of nodes.
BOOST_AUTO_TEST_CASE(the_strongest_nodes_of_a_large_fleet_serve)
{
    serving_set set;
    set.update(fleet(195, 15));
    BOOST_TEST(set.has_standbys());
    BOOST_TEST(set.members().size() == 10U);
    for (const auto& [name, reason] : set.members())
        BOOST_TEST(std::stoul(name.substr(1)) < 15U);
}

// Load pattern: a burst far above what the strongest nodes can serve.
BOOST_AUTO_TEST_CASE(the_set_grows_with_the_request_rate)
{
    serving_set set;
    auto live = fleet(350, 15);
    set.update(live);
    const auto before = set.members().size();
    live.front().request_rate = 7500;
    BOOST_TEST(set.update(live));
    BOOST_TEST(set.members().size() > before);
    // 7,500 requests of 6 ms use 45 cores; the whole fleet has 47.7.
    BOOST_TEST(set.members().size() == live.size());
    live.front().request_rate = 1000;
    set.update(live);
    BOOST_TEST(cores_of(set, live) >= 12.0);
    BOOST_TEST(set.members().size() < live.size() / 2);
}

// Load pattern: bursts that alternate with pauses. Each change of the set makes
// clients connect elsewhere.
BOOST_AUTO_TEST_CASE(a_small_change_of_the_rate_keeps_the_set)
{
    serving_set set;
    auto live = fleet(195, 15);
    live.front().request_rate = 600;
    set.update(live);
    const auto grown = set.members();
    live.front().request_rate = 500;
    set.update(live);
    BOOST_TEST(set.members().size() == grown.size());
    for (const auto& [name, reason] : grown)
        BOOST_TEST(set.contains(name));
}

// Guards against a failure domain whose clients find no node near them, after
// the loss of all strong nodes there.
BOOST_AUTO_TEST_CASE(every_failure_domain_has_serving_nodes)
{
    serving_set set;
    auto live = fleet(195, 15);
    std::erase_if(
        live, [](const serving_candidate& it)
        { return it.failure_domain == "d2" && it.rank.capacity == strong; });
    set.update(live);
    const auto serving = std::count_if(live.begin(), live.end(),
                                       [&set](const serving_candidate& it) {
                                           return it.failure_domain == "d2" &&
                                                  set.contains(it.rank.node);
                                       });
    BOOST_TEST(serving == 2);
}

// All nodes that see the same members choose the same set, in whatever order
// they list them.
RC_BOOST_PROP(the_set_depends_on_the_members_only,
              (std::vector<std::uint16_t> capacities))
{
    std::vector<serving_candidate> live;
    for (std::size_t n = 0; n < capacities.size(); ++n)
        live.push_back(node(n, 4, capacities[n], 3));
    serving_set a;
    a.update(live);
    std::reverse(live.begin(), live.end());
    serving_set b;
    b.update(live);
    RC_ASSERT(a.members() == b.members());
    RC_ASSERT(a.members().empty() == live.empty());
}
