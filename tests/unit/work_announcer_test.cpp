#include "gateway/work_announcer.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace galenapulley;

namespace
{

struct sent_message
{
    std::string to;
    wire::work_update update;
};

struct recording_link final : peer_link
{
    std::vector<sent_message> sent;

    void send(const std::string& peer_address,
              wire::peer_message message) override
    {
        sent.push_back({peer_address, message.work_update()});
    }

    std::size_t count(const std::string& to) const
    {
        std::size_t n = 0;
        for (const auto& it : sent)
            n += it.to == to;
        return n;
    }
};

wire::work_update placed(std::uint64_t id)
{
    wire::work_update out;
    out.add_placed()->set_request(id);
    return out;
}

wire::work_update ended(std::uint64_t id)
{
    wire::work_update out;
    out.add_ended(id);
    return out;
}

struct one_node
{
    recording_link link;
    wire::work_update work;
    work_announcer target{link, [this]
                          {
                              return work;
                          }};

    one_node()
    {
        work.set_complete(true);
        target.set_serving({{"n2", "a2"}, {"n3", "a3"}});
    }
};

} // namespace

// Load pattern: many short requests, whose ends would double the messages.
BOOST_FIXTURE_TEST_CASE(ends_are_sent_with_the_next_placement, one_node)
{
    target.announce(ended(1), 0);
    target.announce(ended(2), 5);
    BOOST_TEST(link.sent.empty());
    target.announce(placed(3), 10);
    BOOST_TEST(link.count("a2") == 1U);
    BOOST_TEST(link.sent.front().update.ended_size() == 2);
    BOOST_TEST(link.sent.front().update.placed_size() == 1);
    BOOST_TEST(!target.flush(20));
}

BOOST_FIXTURE_TEST_CASE(ends_alone_are_sent_by_flush, one_node)
{
    target.announce(ended(1), 0);
    BOOST_TEST(target.flush(work_announcer::max_delay));
    BOOST_TEST(link.count("a2") == 1U);
    BOOST_TEST(link.count("a3") == 1U);
}

// Guards against other nodes that keep choosing an endpoint that has failed.
BOOST_FIXTURE_TEST_CASE(a_failure_is_sent_at_once, one_node)
{
    wire::work_update update;
    update.add_failed(7);
    target.announce(update, 0);
    BOOST_TEST(link.count("a2") == 1U);
}

// A standby that a client with an old list uses has to see the load of the
// serving nodes as long as it places requests.
BOOST_FIXTURE_TEST_CASE(an_active_standby_gets_announcements, one_node)
{
    target.announce(placed(1), 0);
    link.sent.clear();
    target.on_update_from("n9", "a9", 100);
    BOOST_TEST_REQUIRE(link.count("a9") == 1U);
    BOOST_TEST(link.sent.front().update.complete());
    target.announce(placed(2), 200);
    BOOST_TEST(link.count("a9") == 2U);
    target.announce(placed(3), 200 + work_announcer::active_time);
    BOOST_TEST(link.count("a9") == 2U);
    BOOST_TEST(link.count("a2") == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_new_serving_node_gets_all_work, one_node)
{
    target.announce(placed(1), 0);
    link.sent.clear();
    target.set_serving({{"n2", "a2"}, {"n4", "a4"}});
    BOOST_TEST(link.count("a4") == 1U);
    BOOST_TEST(link.count("a2") == 0U);
    target.announce(placed(2), 0);
    BOOST_TEST(link.count("a3") == 0U);
}

// A standby without work must cost the serving nodes nothing, but it has to
// say once that its work has ended.
BOOST_FIXTURE_TEST_CASE(an_idle_standby_is_silent, one_node)
{
    target.announce_all(false, 0);
    BOOST_TEST(link.sent.empty());
    target.announce(placed(1), 100);
    target.announce(ended(1), 200);
    link.sent.clear();
    target.announce_all(false, 2000);
    BOOST_TEST(link.count("a2") == 2U);
    link.sent.clear();
    target.announce_all(false, 4000);
    BOOST_TEST(link.sent.empty());
    target.announce_all(true, 6000);
    BOOST_TEST(link.count("a2") == 1U);
}
