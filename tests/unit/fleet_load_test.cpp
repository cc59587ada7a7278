#include "galenapulley/fleet_load.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>

using namespace galenapulley;

namespace
{

placed_work work(std::uint64_t request, std::string node,
                 std::vector<endpoint_key> endpoints, double segment_ms)
{
    return {.request = request,
            .node = std::move(node),
            .endpoints = std::move(endpoints),
            .prompt_tokens = 1000,
            .output_tokens = 100,
            .segment_ms = segment_ms,
            .token_gap_target = 250,
            .value = 1};
}

} // namespace

BOOST_AUTO_TEST_CASE(prefills_are_queued)
{
    fleet_load load;
    load.add(work(1, "n1", {7, 8}, 400), 1000);
    load.add(work(2, "n2", {7}, 30), 1000);
    BOOST_TEST(load.load_of(7, 1000).backlog_ms == 430);
    BOOST_TEST(load.load_of(8, 1100).backlog_ms == 300);
    BOOST_TEST(load.load_of(7, 1000).running == 2U);
    BOOST_TEST(load.load_of(8, 1000).running == 0U);
    BOOST_TEST(load.load_of(8, 1000).helper_prefills == 1U);
}

// Guards against using reserved memory twice: a reservation lasts until the
// request ends, not only during the prefill.
BOOST_AUTO_TEST_CASE(reserved_memory_counts_at_each_endpoint)
{
    fleet_load load;
    auto item = work(1, "n1", {7, 8, 9}, 400);
    item.reserved_tokens = {300, 500, 300};
    load.add(item, 1000);
    BOOST_TEST(load.load_of(7, 1000).memory_tokens == 300);
    BOOST_TEST(load.load_of(8, 1000).memory_tokens == 500);
    load.on_first_token(1, 1200);
    BOOST_TEST(load.load_of(8, 1200).memory_tokens == 500);
    BOOST_TEST(load.load_of(7, 1200).context_tokens == 500);
    load.remove(1, 1300);
    BOOST_TEST(load.load_of(8, 1300).memory_tokens == 0);
}

// Guards against a backlog that remains after its prefill has ended: endpoints
// would appear busy and requests would wait needlessly.
BOOST_AUTO_TEST_CASE(a_first_token_ends_the_prefill)
{
    fleet_load load;
    load.add(work(1, "n1", {7, 8}, 400), 1000);
    load.add(work(2, "n2", {7}, 30), 1000);
    load.on_first_token(1, 1200);
    BOOST_TEST(load.load_of(7, 1200).backlog_ms == 30);
    BOOST_TEST(load.load_of(8, 1200).backlog_ms == 0);
    BOOST_TEST(load.load_of(7, 1200).pending_prefills.size() == 1U);
    BOOST_TEST(load.load_of(8, 1200).helper_prefills == 0U);
}

// Guards against assuming first-in, first-out order: engines prefill the newest
// segment of a split prompt first and whole prompts last.
BOOST_AUTO_TEST_CASE(the_newest_segment_is_prefilled_first)
{
    fleet_load load;
    load.add(work(1, "n1", {7}, 30), 1000);
    load.add(work(2, "n1", {7, 8}, 400), 1000);
    load.add(work(3, "n1", {7, 8}, 100), 1100);
    const auto prefills = load.load_of(7, 1150).pending_prefills;
    BOOST_TEST_REQUIRE(prefills.size() == 3U);
    BOOST_TEST(prefills[0].finish_ms == 50);
    BOOST_TEST(prefills[1].finish_ms == 50 + 300);
    BOOST_TEST(prefills[2].finish_ms == 50 + 300 + 30);
    BOOST_TEST(load.load_of(7, 1150).split_backlog_ms == 350);
}

// Guards against slots that stay occupied by requests of a failed node.
BOOST_AUTO_TEST_CASE(a_lost_nodes_work_is_removed)
{
    fleet_load load;
    load.add(work(1, "n1", {7}, 400), 1000);
    load.add(work(2, "n2", {7}, 30), 1000);
    load.remove_node("n1", 1000);
    BOOST_TEST(load.load_of(7, 1000).running == 1U);
    BOOST_TEST(load.size() == 1U);
}

// Guards against lost announcements: a complete list corrects the load.
BOOST_AUTO_TEST_CASE(a_complete_list_replaces_a_nodes_work)
{
    fleet_load load;
    load.add(work(1, "n1", {7}, 10), 1000);
    load.add(work(2, "n1", {7}, 10), 1000);
    load.replace_node("n1", {work(2, "n1", {7}, 10), work(3, "n1", {8}, 10)},
                      1000);
    BOOST_TEST(load.load_of(7, 1000).running == 1U);
    BOOST_TEST(load.load_of(8, 1000).running == 1U);
    BOOST_TEST(load.find(1) == nullptr);
}

BOOST_AUTO_TEST_CASE(placements_of_the_last_second_are_counted)
{
    fleet_load load;
    load.add(work(1, "n1", {7, 8}, 10), 1000);
    load.add(work(2, "n1", {7}, 10), 1600);
    BOOST_TEST(load.load_of(7, 1700).recent_placements == 2U);
    BOOST_TEST(load.load_of(8, 1700).recent_placements == 0U);
    BOOST_TEST(load.load_of(7, 2100).recent_placements == 1U);
}

// Compares the running requests with a full recount.
RC_BOOST_PROP(running_equals_a_naive_count,
              (const std::vector<std::uint16_t>& ops))
{
    fleet_load load;
    std::map<std::uint64_t, endpoint_key> naive;
    for (const auto op : ops)
    {
        const std::uint64_t request = op % 13;
        const endpoint_key key = 1 + op % 3;
        if (op % 2 == 0)
        {
            load.add(work(request, "n1", {key}, 5), 0);
            naive[request] = key;
        }
        else
        {
            load.remove(request, 0);
            naive.erase(request);
        }
        for (endpoint_key it = 1; it <= 3; ++it)
        {
            const auto count = std::count_if(naive.begin(), naive.end(),
                                             [it](const auto& entry)
                                             { return entry.second == it; });
            RC_ASSERT(load.load_of(it, 0).running ==
                      static_cast<std::uint32_t>(count));
        }
    }
}

// Guards against a cold endpoint that gets more than its rate: requests that
// have ended were placed on it as well.
BOOST_AUTO_TEST_CASE(ended_requests_count_as_recent_placements)
{
    fleet_load load;
    for (std::uint64_t n = 1; n <= 5; ++n)
    {
        load.add(work(n, "n1", {7}, 10), 1000);
        load.remove(n, 1100);
    }
    BOOST_TEST(load.load_of(7, 1900).recent_placements == 5U);
    BOOST_TEST(load.load_of(7, 2000).recent_placements == 0U);
}
