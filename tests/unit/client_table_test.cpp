#include "galenapulley/clients/client_table.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

using namespace galenapulley;

namespace
{

using stage = client_table::stage;

constexpr std::size_t megabyte = std::size_t{1} << 20;

client_table_options small_limits()
{
    return {.connections = 4,
            .connections_per_address = 3,
            .unread_bytes = megabyte,
            .unread_timeout = 8000};
}

/// Opens connections 1 to n, each from an address of its own.
client_table filled(std::uint64_t n)
{
    client_table out(small_limits());
    for (std::uint64_t id = 1; id <= n; ++id)
        out.open(id, std::to_string(id), static_cast<msec>(id));
    return out;
}

} // namespace

// Guards against idle connections that use up the descriptors.
BOOST_AUTO_TEST_CASE(the_longest_idle_connection_is_replaced)
{
    auto table = filled(4);
    table.set_stage(1, stage::busy, 10);
    table.set_stage(2, stage::busy, 11);
    table.set_stage(2, stage::idle, 12);
    const auto it = table.open(5, "x", 20);
    BOOST_TEST(!it.refused.has_value());
    BOOST_TEST_REQUIRE(it.replaced.has_value());
    BOOST_TEST(it.replaced->id == 3U);
    BOOST_TEST((it.replaced->cause == client_limit::idle_replaced));
    BOOST_TEST(table.size() == 4U);
}

// Guards against a connection that is closed while its request runs.
BOOST_AUTO_TEST_CASE(busy_connections_are_not_replaced)
{
    auto table = filled(4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        table.set_stage(id, stage::busy, 10);
    const auto it = table.open(5, "x", 100'000);
    BOOST_TEST((it.refused == client_limit::connections));
    BOOST_TEST(!it.replaced.has_value());
    table.close(2);
    BOOST_TEST(!table.open(5, "x", 100'000).refused.has_value());
}

// Guards against heads that are held back to block other clients, and against
// a head that is cut off although it only has just begun.
BOOST_AUTO_TEST_CASE(a_slow_head_is_replaced_after_a_while)
{
    auto table = filled(4);
    for (std::uint64_t id = 1; id <= 4; ++id)
        table.set_stage(id, stage::head, static_cast<msec>(100 - id));
    const auto early = 96 + client_table::slow_head_after - 1;
    BOOST_TEST(table.open(5, "x", early).refused.has_value());
    const auto it = table.open(5, "x", early + 1);
    BOOST_TEST_REQUIRE(it.replaced.has_value());
    BOOST_TEST(it.replaced->id == 4U);
    BOOST_TEST((it.replaced->cause == client_limit::slow_head_replaced));
}

// Guards against one address that replaces the connections of all others.
BOOST_AUTO_TEST_CASE(an_address_replaces_its_own_connections)
{
    client_table table(small_limits());
    table.open(1, "other", 0);
    for (std::uint64_t id = 2; id <= 4; ++id)
        table.open(id, "same", 10);
    const auto it = table.open(5, "same", 20);
    BOOST_TEST_REQUIRE(it.replaced.has_value());
    BOOST_TEST(it.replaced->id == 2U);
    for (std::uint64_t id = 3; id <= 5; ++id)
        table.set_stage(id, stage::busy, 30);
    BOOST_TEST((table.open(6, "same", 40).refused ==
                client_limit::address_connections));
}

// Guards against responses that are kept for clients that never read them.
BOOST_AUTO_TEST_CASE(a_response_without_progress_is_given_up)
{
    auto table = filled(2);
    table.set_unread(1, 1000, 5, 0);
    table.set_unread(2, 1000, 5, 0);
    for (msec at = 1000; at < 8000; at += 1000)
    {
        // More bytes for a client are no progress of it.
        table.set_unread(1, static_cast<std::size_t>(1000 + at), 5, at);
        // A client that reads may always have as much before it.
        table.set_unread(2, 1000, static_cast<std::uint64_t>(at), at);
        BOOST_TEST(table.take_stuck(at).empty());
    }
    const auto out = table.take_stuck(8000);
    BOOST_TEST_REQUIRE(out.size() == 1U);
    BOOST_TEST(out[0].id == 1U);
    BOOST_TEST((out[0].cause == client_limit::unread_time));
    BOOST_TEST(table.size() == 1U);
}

// Guards against many unread responses that take the memory before their time
// is over, and against a slow client that is closed though it reads.
BOOST_AUTO_TEST_CASE(unread_bytes_are_bounded_together)
{
    auto table = filled(4);
    table.set_unread(1, megabyte / 2, 0, 0);
    table.set_unread(2, megabyte / 2, 0, 100);
    table.set_unread(3, megabyte / 2, 0, 200);
    BOOST_TEST(table.take_stuck(400).empty());
    table.set_unread(1, megabyte / 2 - 1, 1, 700);
    const auto out = table.take_stuck(800);
    BOOST_TEST_REQUIRE(out.size() == 1U);
    BOOST_TEST(out[0].id == 2U);
    BOOST_TEST((out[0].cause == client_limit::unread_bytes));
    BOOST_TEST(table.unread_bytes() == megabyte - 1);
    BOOST_TEST(table.unread().size() == 2U);
}

// Guards against connections and bytes that stay counted after their end.
RC_BOOST_PROP(counts_what_is_open,
              (const std::vector<
                  std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& ops))
{
    constexpr std::uint64_t ids = 12;
    const auto limits = small_limits();
    client_table table(limits);
    std::map<std::uint64_t, std::size_t> expected;
    msec now = 0;
    for (const auto& [what, which, value] : ops)
    {
        now += value % 300;
        const std::uint64_t id = which % ids;
        if (what % 4 == 0 && !expected.contains(id))
        {
            const auto it = table.open(id, std::to_string(id % 3), now);
            if (it.replaced)
                RC_ASSERT(expected.erase(it.replaced->id) == 1U);
            if (!it.refused)
                expected[id] = 0;
        }
        else if (what % 4 == 1)
        {
            table.close(id);
            expected.erase(id);
        }
        else if (what % 4 == 2)
            table.set_stage(id, static_cast<stage>(value % 3), now);
        else
        {
            table.set_unread(id, value, value, now);
            if (expected.contains(id))
                expected[id] = value;
            for (const auto& it : table.take_stuck(now))
                RC_ASSERT(expected.erase(it.id) == 1U);
        }
        std::size_t unread = 0;
        for (const auto& [open, bytes] : expected)
            unread += bytes;
        RC_ASSERT(table.size() == expected.size());
        RC_ASSERT(table.size() <= limits.connections);
        RC_ASSERT(table.unread_bytes() == unread);
    }
}
