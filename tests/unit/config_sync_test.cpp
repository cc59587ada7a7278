#include "../fakes/fake_table_service.hpp"
#include "../fakes/sample_documents.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/config_sync.hpp"
#include "galenapulley/fleet.hpp"

#include "peer.pb.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace galenapulley;

namespace
{

std::string row_value(const std::string& body)
{
    return encode_row({}, "c", body);
}

struct node
{
    node(table_service& store, const galenapulley::clock& time)
        : sync(store, registry, time, {.seed = 7})
    {
    }

    config_registry registry;
    config_sync sync;
};

struct fixture
{
    fake_table_service table;
    manual_clock time{1000};
    node one{table, time};

    fixture()
    {
        table.put("services/drafting", row_value(sample_service().dump()));
        table.put("config_head", "c");
    }

    void run_for(node& it, msec n)
    {
        for (msec end = time.now() + n; time.now() < end; time.advance(100))
        {
            it.sync.tick();
            table.run_all();
        }
    }

    /// Changes a document and a head that lists no documents.
    void change(const std::string& key, const std::string& body)
    {
        table.put(key, row_value(body));
        table.put("config_head", "c");
    }

    /// Changes a document and its entry in the head, as config_writer does.
    void listed_change(const std::string& key, const std::string& body,
                       const std::string& change_id)
    {
        list.set_newest({.name = key, .change_id = change_id});
        table.put(key, encode_row({}, change_id, body));
        table.put("config_head", encode_head(list));
    }

    head_record list;

    /// Lets `to` pull a snapshot from `from`.
    static void pull(node& to, const node& from, const std::string& name,
                     bool settled)
    {
        to.sync.on_snapshot(name,
                            from.sync.on_pull(to.sync.make_pull(), settled));
    }
};

} // namespace

// Guards against a node that serves before it has loaded all rows, and against
// loading unchanged rows again.
BOOST_FIXTURE_TEST_CASE(baseline_comes_from_the_store, fixture)
{
    BOOST_TEST(!one.sync.has_baseline());
    one.sync.tick();
    table.run();
    table.run();
    BOOST_TEST(!one.sync.has_baseline());
    table.run();
    BOOST_TEST(one.sync.has_baseline());
    BOOST_TEST(one.sync.head() == 1);
    BOOST_TEST(*one.sync.last_read() == 1000);
    BOOST_TEST(one.registry.version_of("services/drafting") == 1);
    const auto before = table.calls_run();
    run_for(one, 30'000);
    BOOST_TEST(table.calls_run() - before >= 8U);
    BOOST_TEST(table.calls_run() - before <= 12U);
}

// Guards against changes and tombstones that are applied later than one read
// period.
BOOST_FIXTURE_TEST_CASE(a_change_is_loaded_within_one_period, fixture)
{
    run_for(one, 1000);
    change("fleet", R"({"withdrawn_zones":["z"],"withdrawn_machines":[]})");
    change("services/drafting", "");
    run_for(one, 3600);
    BOOST_TEST(one.registry.current_fleet()->withdrawn_zones.count("z") == 1U);
    BOOST_TEST(one.registry.find_service("drafting") == nullptr);
    BOOST_TEST(one.sync.head() == 3);
}

// Guards against a stale head, or rows that failed to load, being counted as a
// successful read of the store.
BOOST_FIXTURE_TEST_CASE(only_complete_reads_count, fixture)
{
    run_for(one, 1000);
    const auto read = *one.sync.last_read();
    table.set_fault(table_fault::stale);
    one.sync.on_gossip(2, one.registry.digest());
    run_for(one, 5000);
    BOOST_TEST(*one.sync.last_read() == read);
    BOOST_TEST(!one.sync.store_reachable());
    change("fleet", R"({"withdrawn_zones":["z"],"withdrawn_machines":[]})");
    table.set_next_faults({table_fault::none, table_fault::outage});
    one.sync.read_soon();
    one.sync.tick();
    table.run_all();
    BOOST_TEST(*one.sync.last_read() == read);
    table.set_fault(table_fault::none);
    run_for(one, 4000);
    BOOST_TEST(*one.sync.last_read() > read);
    BOOST_TEST(one.registry.version_of("fleet") == 1);
}

// Guards against stale rows of one load that are never replaced.
BOOST_FIXTURE_TEST_CASE(stale_rows_are_repaired, fixture)
{
    change("services/drafting", sample_service().dump());
    using enum table_fault;
    table.set_next_faults({none, stale, none});
    run_for(one, 1000);
    BOOST_TEST(one.registry.version_of("services/drafting") == 1);
    run_for(one, 70'000);
    BOOST_TEST(one.registry.version_of("services/drafting") == 2);
}

// Guards against nodes that load all documents after a change of one, or a
// document that a peer has already pushed: at the target size this takes 40
// times the allowed number of bytes.
BOOST_FIXTURE_TEST_CASE(only_rows_that_changed_are_loaded, fixture)
{
    listed_change("services/drafting", sample_service().dump(), "c1");
    run_for(one, 1000);
    listed_change("fleet",
                  R"({"withdrawn_zones":["z"],"withdrawn_machines":[]})", "c2");
    one.sync.read_soon();
    one.sync.tick();
    std::vector<std::string> calls;
    while (table.pending() > 0)
    {
        calls.push_back(table.call_name(0));
        table.run();
    }
    BOOST_TEST(
        (calls == std::vector<std::string>{"read config_head", "read fleet"}));
    BOOST_TEST(one.registry.current_fleet()->withdrawn_zones.count("z") == 1U);

    listed_change("services/drafting", sample_service().dump(), "c3");
    BOOST_TEST(one.registry
                   .apply({.name = "services/drafting",
                           .version = 3,
                           .change_id = "c3",
                           .body = sample_service().dump()})
                   .ok());
    const auto before = table.calls_run();
    run_for(one, 70'000);
    // One read of the head every 3 s, and nothing else.
    BOOST_TEST(table.calls_run() - before <= 28U);
    BOOST_TEST(one.sync.head() == 4);
    BOOST_TEST(time.now() - *one.sync.last_read() <= 3600);
}

// Guards against a listed row that was read stale, or not at all, and counts as
// loaded.
BOOST_FIXTURE_TEST_CASE(stale_listed_rows_are_repaired, fixture)
{
    listed_change("services/drafting", sample_service().dump(), "c1");
    run_for(one, 1000);
    const auto read = *one.sync.last_read();
    const auto version = one.registry.version_of("services/drafting");
    listed_change("services/drafting", sample_service().dump(), "c2");
    using enum table_fault;
    table.set_next_faults({none, outage});
    one.sync.read_soon();
    one.sync.tick();
    table.run_all();
    BOOST_TEST(*one.sync.last_read() == read);
    table.set_next_faults({none, stale});
    one.sync.read_soon();
    one.sync.tick();
    table.run_all();
    BOOST_TEST(one.registry.version_of("services/drafting") == version);
    run_for(one, 70'000);
    BOOST_TEST(one.registry.version_of("services/drafting") == version + 1);
}

// Guards against one invalid row that prevents all nodes from serving.
BOOST_FIXTURE_TEST_CASE(an_invalid_row_is_reported_and_skipped, fixture)
{
    table.put("services/broken", "not json");
    table.put("services/wrong", row_value("{}"));
    std::vector<std::string> rejected;
    one.sync.on_rejection([&](const config_document& it, const absl::Status&)
                          { rejected.push_back(it.name); });
    run_for(one, 1000);
    BOOST_TEST((rejected ==
                std::vector<std::string>{"services/broken", "services/wrong"}));
    BOOST_TEST(one.sync.has_baseline());
    BOOST_TEST(one.registry.services().size() == 1U);
}

// Guards against a node that restarts without state during a store outage and
// serves old documents: it must have snapshots of three settled peers and use
// the highest versions.
BOOST_FIXTURE_TEST_CASE(restart_without_state_and_store, fixture)
{
    std::vector<std::unique_ptr<node>> peers;
    for (int n = 0; n < 4; ++n)
    {
        peers.push_back(std::make_unique<node>(table, time));
        run_for(*peers.back(), 500);
    }
    change("services/drafting", "");
    run_for(*peers[2], 4000);
    table.set_fault(table_fault::outage);
    node restarted(table, time);
    restarted.sync.set_known_peers(4);
    run_for(restarted, 5000);
    BOOST_TEST(restarted.sync.wants_snapshots());
    pull(restarted, *peers[0], "p0", true);
    pull(restarted, *peers[0], "p0", true);
    pull(restarted, *peers[1], "p1", true);
    pull(restarted, *peers[3], "p3", false);
    run_for(restarted, 1000);
    BOOST_TEST(!restarted.sync.has_baseline());
    pull(restarted, *peers[2], "p2", true);
    BOOST_TEST(restarted.sync.has_baseline());
    BOOST_TEST(restarted.registry.find_service("drafting") == nullptr);
    BOOST_TEST(restarted.registry.version_of("services/drafting") == 2);
}

// Guards against a baseline from the first peer that responds, before gossip
// has discovered the others, and from nodes that have no baseline themselves.
BOOST_FIXTURE_TEST_CASE(few_peers_must_all_respond, fixture)
{
    run_for(one, 500);
    table.set_fault(table_fault::outage);
    node empty(table, time);
    node restarted(table, time);
    run_for(restarted, 500);
    restarted.sync.set_known_peers(1);
    pull(restarted, one, "p1", true);
    BOOST_TEST(!restarted.sync.has_baseline());
    restarted.sync.set_known_peers(2);
    run_for(restarted, 4000);
    pull(restarted, one, "p1", true);
    pull(restarted, empty, "p2", true);
    BOOST_TEST(!restarted.sync.has_baseline());
    run_for(restarted, 20'000);
    restarted.sync.set_known_peers(1);
    run_for(restarted, 200);
    // The snapshots have exceeded their maximum age.
    BOOST_TEST(!restarted.sync.has_baseline());
    pull(restarted, one, "p1", true);
    BOOST_TEST(restarted.sync.has_baseline());
    node alone(table, time);
    run_for(alone, 10'000);
    BOOST_TEST(!alone.sync.has_baseline());
}

// Guards against acknowledging documents that the node has not applied.
BOOST_FIXTURE_TEST_CASE(pushes_are_acknowledged_when_applied, fixture)
{
    config_document valid{.name = "services/drafting",
                          .version = 5,
                          .change_id = "c",
                          .body = sample_service().dump()};
    config_document invalid{
        .name = "fleet", .version = 5, .change_id = "c", .body = "{}"};
    const auto ack = one.sync.on_push(one.sync.make_push({valid, invalid}));
    BOOST_TEST_REQUIRE(ack.documents_size() == 1);
    BOOST_TEST(ack.documents(0).version() == 5);
    valid.version = 4;
    BOOST_TEST(
        one.sync.on_push(one.sync.make_push({valid})).documents(0).version() ==
        5);
    node other(table, time);
    const auto pull_message = other.sync.on_gossip(0, one.registry.digest());
    BOOST_TEST_REQUIRE(pull_message.has_value());
    other.sync.on_snapshot("one", one.sync.on_pull(*pull_message, false));
    BOOST_TEST(other.registry.digest() == one.registry.digest());
    BOOST_TEST(!other.sync.on_gossip(0, one.registry.digest()).has_value());
}

// Guards against late responses that access a destroyed object.
BOOST_FIXTURE_TEST_CASE(responses_after_destruction_are_ignored, fixture)
{
    {
        node destroyed(table, time);
        destroyed.sync.tick();
    }
    table.run_all();
    BOOST_TEST(table.pending() == 0U);
}
