#include "gateway/cluster_view.hpp"

#include "gateway/event_log.hpp"
#include "node/control_loop.hpp"
#include "peer.pb.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace galenapulley;

namespace
{

const std::string configuration_key = "config";

/// A store that responds only when a test does it.
struct pending_store final : row_store
{
    std::array<batch_callback, cluster_table_count> reads;
    std::array<msec, cluster_table_count> read_timeouts{};

    void read(cluster_table table, msec timeout, batch_callback done) override
    {
        reads.at(index_of(table)) = std::move(done);
        read_timeouts.at(index_of(table)) = timeout;
    }
    void poll(cluster_table /*table*/, std::uint64_t /*after*/,
              msec /*timeout*/, batch_callback /*done*/) override
    {
    }
    void watch(cluster_table /*table*/, std::uint64_t /*after*/, msec /*wait*/,
               batch_callback /*done*/) override
    {
    }
    void end_watch(cluster_table /*table*/) override {}
    void read_nodes(
        std::function<void(absl::StatusOr<std::vector<std::string>>)> /*done*/)
        override
    {
    }
    void write_node(const std::string& /*node*/,
                    const std::string& /*peer_address*/,
                    done_callback /*done*/) override
    {
    }
};

/// The value of the configuration's row is its version.
struct number_codec final : row_codec
{
    const cluster_row*
    configuration_row(const cluster_rows& operations) const override
    {
        const auto it = operations.rows().find(configuration_key);
        return it == operations.rows().end() ? nullptr : &it->second;
    }
    absl::StatusOr<std::shared_ptr<const routing_table>>
    read_routing(const cluster_rows& operations) const override
    {
        const auto* const row = configuration_row(operations);
        if (row == nullptr)
            return nullptr;
        return std::make_shared<const routing_table>(
            std::stoull(row->value), std::vector<route>{},
            std::vector<service_profile>{}, std::vector<client_account>{},
            client_limits{});
    }
    std::set<std::string>
    read_withdrawn(const cluster_rows& /*operations*/) const override
    {
        return {};
    }
    std::vector<endpoint>
    read_endpoints(const cluster_rows& /*endpoints*/,
                   std::size_t& /*invalid*/) const override
    {
        return {};
    }
};

struct recording_link final : peer_link
{
    std::vector<wire::peer_message> sent;

    void send(const std::string& /*peer_address*/,
              wire::peer_message message) override
    {
        sent.push_back(std::move(message));
    }
};

cluster_row configuration(std::uint64_t version, std::uint64_t row_version)
{
    return {.key = configuration_key,
            .value = std::to_string(version),
            .version = row_version};
}

wire::rows_push push(cluster_table table, store_version version)
{
    wire::rows_push out;
    out.set_table(static_cast<std::uint32_t>(index_of(table)));
    out.set_era(version.era);
    out.set_version(version.number);
    out.set_changed(version.number);
    return out;
}

/// A node whose store has configuration 9.
struct one_view
{
    manual_clock time{10'000};
    control_loop loop{time};
    pending_store store;
    number_codec codec;
    recording_link link;
    event_log log{"n1", "off"};
    std::uint64_t published = 0;
    cluster_view view{
        {.node = "n1"},
        loop,
        store,
        codec,
        link,
        log,
        {.routing = [this](const std::shared_ptr<const routing_table>& it)
         { published = it->version(); },
         .withdrawn = [](const std::set<std::string>&) {},
         .endpoints = [](const std::vector<endpoint>&, bool) {},
         .store_restored =
             [] {
             }}};

    one_view()
    {
        view.start(false);
        store.reads.at(index_of(cluster_table::operations))(row_batch{
            .rows = {configuration(9, 90)}, .version = 100, .era = 0});
        store.reads.at(index_of(cluster_table::endpoints))(
            row_batch{.version = 100, .era = 0});
        BOOST_TEST_REQUIRE(published == 9U);
    }

    /// Runs the timers that become due.
    void advance(msec n)
    {
        constexpr msec step = 10;
        for (; n > 0; n -= step)
        {
            time.advance(step);
            loop.post([this] { loop.stop(); });
            loop.run();
        }
    }

    /// A peer's gossip that it has this change of the operations.
    void hear_gossip(store_version change)
    {
        wire::gossip message;
        message.add_table_versions(change.number);
        message.add_table_eras(change.era);
        view.on_gossip({.node = "n2", .peer_address = "n2"}, message);
    }

    std::size_t pulls() const
    {
        return static_cast<std::size_t>(
            std::count_if(link.sent.begin(), link.sent.end(),
                          [](const auto& it) { return it.has_rows_pull(); }));
    }

    /// The configuration that a node gets which starts after the restore.
    std::string lost_configuration()
    {
        wire::rows_pull request;
        request.set_table(0);
        request.set_version(1000);
        request.set_era(1000);
        view.on_pull("n3", request);
        if (link.sent.empty() || !link.sent.back().has_rows_push())
            return "";
        return link.sent.back().rows_push().lost_configuration().value();
    }
};

} // namespace

// Guards against a node that passes on an older configuration than the one in
// force: it learned of the restore before a peer sent it what the former era
// had last.
BOOST_FIXTURE_TEST_CASE(the_newest_lost_configuration_is_passed_on, one_view)
{
    view.on_push("n2", push(cluster_table::endpoints, {1, 50}));
    BOOST_TEST(lost_configuration() == "9");

    auto late = push(cluster_table::operations, {0, 101});
    auto& row = *late.add_rows();
    row.set_key(configuration_key);
    row.set_value("12");
    row.set_version(101);
    view.on_push("n2", late);
    BOOST_TEST_REQUIRE(published == 12U);
    BOOST_TEST(lost_configuration() == "12");
}

// Guards against a node with a silent watch that doesn't pull what a peer has,
// as gossip of other peers that lack it, too, postpones the pull again and
// again.
BOOST_FIXTURE_TEST_CASE(an_equally_old_peer_doesnt_postpone_a_pull, one_view)
{
    advance(100);
    hear_gossip({0, 101});
    BOOST_TEST(pulls() == 0U);
    advance(cluster_view::pull_delay / 2);
    hear_gossip({0, 90});
    advance(cluster_view::pull_delay / 2);
    hear_gossip({0, 101});
    BOOST_TEST(pulls() == 1U);
}

// Guards against a node that waits for its own watch while it has none, but a
// read that may be lost.
BOOST_FIXTURE_TEST_CASE(a_node_that_reads_pulls_at_once, one_view)
{
    advance(100);
    auto& read = store.reads.at(index_of(cluster_table::operations));
    read = nullptr;
    view.on_push("n2", push(cluster_table::endpoints, {1, 50}));
    BOOST_TEST_REQUIRE(static_cast<bool>(read));
    hear_gossip({1, 51});
    BOOST_TEST(pulls() == 1U);
}

// Guards against a relay node whose watch is silent and that ignores what the
// other relay node announces.
BOOST_FIXTURE_TEST_CASE(a_relay_node_pulls_what_another_one_announces, one_view)
{
    advance(100);
    view.set_domain_nodes({{.rank = {.node = "n2"}, .peer_address = "n2"}});
    wire::rows_relay heartbeat;
    heartbeat.set_newest_operations(101);
    view.on_relay("n2", heartbeat);
    BOOST_TEST(pulls() == 0U);
    advance(cluster_view::pull_delay);
    view.on_relay("n2", heartbeat);
    BOOST_TEST(pulls() == 1U);
}

// Guards against a long timeout of a read, since the store refused requests
// before.
BOOST_FIXTURE_TEST_CASE(refusals_dont_lengthen_the_timeout_of_reads, one_view)
{
    constexpr auto table = index_of(cluster_table::operations);
    advance(100);
    view.on_push("n2", push(cluster_table::endpoints, {1, 50}));
    for (int n = 0; n < 4; ++n)
    {
        store.reads.at(table)(absl::UnavailableError("status 503"));
        advance(cluster_view::max_retry_pause);
    }
    BOOST_TEST(store.read_timeouts.at(table) == cluster_view::min_read_timeout);
    advance(cluster_view::min_read_timeout);
    store.reads.at(table)(absl::UnavailableError("timeout"));
    advance(cluster_view::max_retry_pause);
    BOOST_TEST(store.read_timeouts.at(table) ==
               2 * cluster_view::min_read_timeout);
}
