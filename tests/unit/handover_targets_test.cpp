#include "galenapulley/handover_targets.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace galenapulley;

namespace
{

constexpr msec start = 100'000;

struct three_peers
{
    handover_targets target;

    three_peers()
    {
        target.set_peers({{"a", {.address = "10.0.0.1:1", .capacity = 100}},
                          {"b", {.address = "10.0.0.2:1", .capacity = 300}},
                          {"c", {.address = "10.0.0.3:1", .capacity = 0}}});
    }

    std::map<std::string, int> choices(msec now)
    {
        std::map<std::string, int> out;
        for (std::uint64_t draw = 0; draw < 401; ++draw)
            if (const auto* const it = target.choose(start, now, draw))
                ++out[it->first];
        return out;
    }
};

} // namespace

// Guards against small nodes that get as many requests as large ones.
BOOST_FIXTURE_TEST_CASE(peers_are_chosen_by_capacity, three_peers)
{
    const auto out = choices(start);
    BOOST_TEST(out.at("a") == 100);
    BOOST_TEST(out.at("b") == 300);
    BOOST_TEST(out.at("c") == 1);
}

// Guards against peers whose last contact was before the partition, so that
// they may be behind it as well.
BOOST_FIXTURE_TEST_CASE(peers_with_a_recent_contact_are_preferred, three_peers)
{
    target.on_report("a", start - 100, false);
    target.on_report("b", start - handover_targets::detection_time - 1, false);
    BOOST_TEST(choices(start).size() == 1U);
    BOOST_TEST(choices(start).contains("a"));
    target.on_refused("a");
    BOOST_TEST(choices(start).size() == 3U);
    const auto later = start + 2 * handover_targets::recent_contact;
    target.on_report("a", start, false);
    target.on_report("c", later - 1, false);
    BOOST_TEST(choices(later).size() == 1U);
    BOOST_TEST(choices(later).contains("c"));
}

BOOST_FIXTURE_TEST_CASE(partitioned_peers_are_never_chosen, three_peers)
{
    for (const auto* const node : {"a", "b", "c"})
        target.on_report(node, start, true);
    BOOST_TEST((target.choose(start, start, 0) == nullptr));
    target.on_report("b", std::nullopt, false);
    BOOST_TEST(choices(start).contains("b"));
}

// Guards against a node that has left and is still chosen.
BOOST_FIXTURE_TEST_CASE(peers_that_left_are_forgotten, three_peers)
{
    target.on_report("a", start, false);
    target.set_peers({{"b", {.address = "10.0.0.2:1"}}});
    BOOST_TEST(choices(start).size() == 1U);
    target.set_peers({});
    BOOST_TEST((target.choose(start, start, 0) == nullptr));
}
