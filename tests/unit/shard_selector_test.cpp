#include "galenapulley/fleet.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/shard_selector.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace galenapulley;

namespace
{

service service_in(const std::vector<std::string>& zones)
{
    service document;
    document.name = "s";
    document.shards_per_zone = 2;
    for (const auto& zone : zones)
    {
        for (int n = 0; n < 8; ++n)
        {
            back_end it;
            it.name = zone + std::to_string(n);
            it.zone = zone;
            document.back_ends.push_back(it);
        }
    }
    return document;
}

struct selector_fixture
{
    selector_fixture() { selector.set_service(document); }

    std::string pick(const std::vector<std::string>& tried = {}, msec now = 0)
    {
        return selector.pick(0, tried, now, random).value_or("");
    }

    void set_free(const std::string& shard, std::uint32_t n, msec now = 0)
    {
        selector.on_capacity({.shard = shard,
                              .epoch = 1,
                              .free_slots_by_class = {n},
                              .queued = 0},
                             now);
    }

    service document = service_in({"east", "west"});
    shard_selector selector{"east"};
    shard_selector::generator random{5};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shard_selector_suite, selector_fixture)

// Guards against unnecessary traffic between zones, and against requests that
// wait in the own zone while another one has free slots.
BOOST_AUTO_TEST_CASE(own_zone_first_then_free_zones)
{
    for (int n = 0; n < 50; ++n)
        BOOST_TEST(zone_of_shard(pick()) == "east");
    set_free("s/east/0", 0);
    set_free("s/east/1", 0);
    for (int n = 0; n < 50; ++n)
        BOOST_TEST(zone_of_shard(pick()) == "west");
    set_free("s/west/0", 0);
    set_free("s/west/1", 0);
    BOOST_TEST(!pick().empty());
}

// Guards against new work in a withdrawn zone (P4), also for a service that is
// added after the withdrawal.
BOOST_AUTO_TEST_CASE(withdrawn_zone_is_never_chosen)
{
    selector.set_fleet({.withdrawn_zones = {"east"}, .withdrawn_machines = {}});
    shard_selector later("east");
    later.set_fleet({.withdrawn_zones = {"east"}, .withdrawn_machines = {}});
    later.set_service(document);
    for (int n = 0; n < 50; ++n)
    {
        BOOST_TEST(zone_of_shard(pick()) == "west");
        BOOST_TEST(zone_of_shard(*later.pick(0, {}, 0, random)) == "west");
    }
    selector.set_fleet({});
    BOOST_TEST(zone_of_shard(pick()) == "east");
}

// Guards against choosing a shard twice for one request, or one without a known
// owner.
BOOST_AUTO_TEST_CASE(tried_and_ownerless_shards_are_left_out)
{
    selector.set_owner_known("s/east/1", false);
    BOOST_TEST(pick() == "s/east/0");
    BOOST_TEST(zone_of_shard(pick({"s/east/0"})) == "west");
    BOOST_TEST(pick({"s/east/0", "s/west/0", "s/west/1"}).empty());
}

// Guards against a delay of 300 ms per request by an owner that has failed.
BOOST_AUTO_TEST_CASE(unresponsive_owner_is_chosen_last_until_its_next_digest)
{
    selector.on_owner_timeout("s/east/0", 0);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(pick() == "s/east/1");
    BOOST_TEST(!pick({"s/east/1", "s/west/0", "s/west/1"}).empty());
    set_free("s/east/0", 100, 10);
    set_free("s/east/1", 1, 10);
    BOOST_TEST(pick({}, 10) == "s/east/0");
}

// Guards against a digest of a former owner that replaces its successor's.
BOOST_AUTO_TEST_CASE(older_epoch_is_ignored)
{
    selector.on_capacity({"s/east/0", 5, {0}, 0}, 0);
    selector.on_capacity({"s/east/0", 4, {100}, 0}, 1);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(pick() == "s/east/1");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a burst of requests of one node that overloads a shard:
// between digests, picks never exceed the reported free slots of a shard while
// another shard of the zone has some.
RC_BOOST_PROP(picks_do_not_exceed_reported_slots,
              (std::uint8_t a, std::uint8_t b, std::uint32_t seed))
{
    shard_selector selector("east");
    selector.set_service(service_in({"east"}));
    selector.on_capacity({"s/east/0", 1, {a}, 0}, 0);
    selector.on_capacity({"s/east/1", 1, {b}, 0}, 0);
    shard_selector::generator random(seed);
    std::map<std::string, int> picks;
    for (int n = 0; n < a + b; ++n)
        ++picks[*selector.pick(0, {}, 0, random)];
    RC_ASSERT(picks["s/east/0"] == a);
    RC_ASSERT(picks["s/east/1"] == b);
}
