#include "galenapulley/node_lease.hpp"

#include "../fakes/fake_table_client.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using fakes::fault;

namespace
{

struct lease_fixture
{
    manual_clock time{1000};
    fakes::table_store store;
    fakes::fake_table_client table{store};
    int conflicts = 0;
    int held = 0;
    int replaced = 0;
    node_lease lease{time,
                     table,
                     {.node = "n1",
                      .incarnation = 10,
                      .zone = "east",
                      .peer_address = "127.0.0.1:7001",
                      .listen_address = "127.0.0.1:8001",
                      .machine = "vm-1",
                      .terms = {}},
                     {.on_conflict = [this] { ++conflicts; },
                      .on_held = [this] { ++held; },
                      .on_replaced =
                          [this]
                      {
                          ++replaced;
                      }}};

    void acquire()
    {
        lease.tick();
        table.run();
        lease.tick();
        table.run();
    }

    lease_record row() const
    {
        return parse_lease(store.read(lease_key("n1")).value).value();
    }

    // Changes the row as a claimant does.
    void claim()
    {
        auto record = row();
        ++record.claims;
        store.commit({.conditions = {},
                      .writes = {{lease_key("n1"), format_lease(record)}}});
    }
};

} // namespace

// Guards against a lease whose TTL counts from the response instead of the
// sending time, so that it lasts longer than claimants wait.
BOOST_FIXTURE_TEST_CASE(lease_counts_from_the_sending_time, lease_fixture)
{
    lease.tick();
    table.run();
    lease.tick();
    const auto sent = time.now();
    table.apply();
    time.advance(900);
    BOOST_TEST(!lease.held(time.now()));
    table.deliver();
    BOOST_TEST(lease.held_until() == sent + 6000);
    BOOST_TEST(held == 1);
    BOOST_TEST(!lease.held(sent + 6000));
    BOOST_TEST(row().machine == "vm-1");
}

// Guards against ignoring a committed renewal whose response was lost, and
// against extending the lease by a renewal that was not committed.
BOOST_FIXTURE_TEST_CASE(lost_response_is_resolved_by_a_read, lease_fixture)
{
    acquire();
    time.advance(2000);
    lease.tick();
    table.run(fault::lost_response);
    BOOST_TEST(lease.held_until() == time.now() + 6000);
    time.advance(2000);
    const auto before = lease.held_until();
    lease.tick();
    table.run(fault::lost_request);
    BOOST_TEST(lease.held_until() == before);
    lease.tick();
    table.run();
    BOOST_TEST(lease.held_until() == time.now() + 6000);
    BOOST_TEST(conflicts == 0);
}

// Guards against mistaking a conflict for a claim by another node: a delayed
// renewal was committed after the next one had been prepared.
BOOST_FIXTURE_TEST_CASE(own_late_renewal_is_no_claim, lease_fixture)
{
    acquire();
    time.advance(2000);
    lease.tick();
    table.run(fault::late);
    lease.tick();
    table.apply_late();
    table.run();
    BOOST_TEST(conflicts == 0);
    BOOST_TEST(lease.held(time.now()));
    lease.tick();
    table.run();
    BOOST_TEST(lease.held_until() == time.now() + 6000);
}

// Guards against a lease that stays held after another node claimed a shard.
BOOST_FIXTURE_TEST_CASE(claim_by_another_node_is_reported, lease_fixture)
{
    acquire();
    claim();
    time.advance(2000);
    lease.tick();
    table.run();
    BOOST_TEST(conflicts == 1);
    BOOST_TEST(lease.generation() == 1);
    BOOST_TEST(!lease.held(time.now()));
    lease.tick();
    table.run();
    BOOST_TEST(lease.held(time.now()));
    BOOST_TEST(held == 2);
    BOOST_TEST(row().claims == 1);
}

// Guards against a lease that an older process of the node keeps renewing.
BOOST_FIXTURE_TEST_CASE(older_incarnation_ends, lease_fixture)
{
    acquire();
    auto record = row();
    record.incarnation = 11;
    store.commit({.conditions = {},
                  .writes = {{lease_key("n1"), format_lease(record)}}});
    time.advance(2000);
    lease.tick();
    table.run();
    BOOST_TEST(replaced == 1);
    BOOST_TEST(!lease.held(time.now()));
    time.advance(2000);
    lease.tick();
    BOOST_TEST(table.pending() == 0U);
}

// Guards against a row that remains after its node has left, a `leaving` mark
// that is delayed until the next regular renewal, and a release that is not
// detected when its response is lost.
BOOST_FIXTURE_TEST_CASE(leaving_is_written_and_the_row_removed, lease_fixture)
{
    acquire();
    lease.announce_leaving();
    lease.tick();
    table.run();
    BOOST_TEST(row().leaving);
    bool done = false;
    lease.release([&] { done = true; });
    BOOST_TEST(!lease.held(time.now()));
    lease.tick();
    table.run(fault::lost_response);
    BOOST_TEST(done);
    BOOST_TEST(store.read(lease_key("n1")).version == 0);
}

// Guards against renewing with a stale row version after an outage.
BOOST_FIXTURE_TEST_CASE(lease_lapses_in_an_outage_and_returns, lease_fixture)
{
    acquire();
    table.outage = true;
    for (int n = 0; n < 20; ++n)
    {
        time.advance(500);
        lease.tick();
        table.run();
    }
    BOOST_TEST(!lease.held(time.now()));
    table.outage = false;
    time.advance(500);
    acquire();
    BOOST_TEST(lease.held(time.now()));
    BOOST_TEST(conflicts == 0);
}
