#include "../fakes/fake_table_service.hpp"
#include "../fakes/sample_documents.hpp"
#include "galenapulley/config_change.hpp"
#include "galenapulley/config_writer.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet_document.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace galenapulley;

namespace
{

using result = std::optional<absl::StatusOr<config_document>>;

struct fixture
{
    fake_table_service table;
    manual_clock time{1000};
    config_writer writer{table, time};

    /// Runs calls and retries until no change is pending.
    void settle()
    {
        for (int n = 0; n < 1000 && writer.pending() > 0; ++n)
        {
            table.run_all();
            time.advance(50);
            writer.tick();
        }
    }

    result execute(std::shared_ptr<const config_change> change,
                   const std::string& change_id)
    {
        result out;
        writer.execute(std::move(change), change_id,
                       [&](absl::StatusOr<config_document> it)
                       { out = std::move(it); });
        settle();
        return out;
    }
};

std::shared_ptr<put_service>
put_drafting(std::optional<std::int64_t> expected = std::nullopt,
             std::uint32_t shards = 1)
{
    auto body = sample_service();
    body["shards_per_zone"] = shards;
    return std::make_shared<put_service>("drafting", body.dump(), expected);
}

error_kind kind_of_result(const result& it)
{
    return kind_of(it->status());
}

} // namespace

// Guards against a result that states another version than the committed one.
BOOST_FIXTURE_TEST_CASE(a_put_commits_document_and_head, fixture)
{
    const auto first = execute(put_drafting(0), "c1");
    BOOST_TEST_REQUIRE(first->ok());
    BOOST_TEST((*first)->version == 1);
    BOOST_TEST((*first)->name == "services/drafting");
    const auto second = execute(put_drafting(1, 2), "c2");
    BOOST_TEST((*second)->version == 2);
    BOOST_TEST(table.history("config_head").size() == 2U);
    BOOST_TEST((kind_of_result(execute(put_drafting(1, 3), "c3")) ==
                error_kind::version_conflict));
    BOOST_TEST(table.history("services/drafting").size() == 2U);
}

// Guards against a head that lists an older change, and against a head that
// lists only some of the documents, which would hide the others from readers.
BOOST_FIXTURE_TEST_CASE(the_head_lists_the_newest_changes, fixture)
{
    execute(put_drafting(), "c1");
    execute(std::make_shared<withdraw_zone>("z"), "c2");
    execute(put_drafting(std::nullopt, 2), "c3");
    const auto head =
        decode_head({.key = "config_head",
                     .version = 3,
                     .value = table.history("config_head").back()});
    BOOST_TEST_REQUIRE(head.has_value());
    BOOST_TEST_REQUIRE(head->changes.size() == 2U);
    BOOST_TEST(head->changes[0].name == "services/drafting");
    BOOST_TEST(head->changes[0].change_id == "c3");
    BOOST_TEST(head->changes[1].name == "fleet");
    BOOST_TEST(head->changes[1].change_id == "c2");

    table.put("config_head", "a head without a list");
    execute(put_drafting(std::nullopt, 3), "c4");
    BOOST_TEST(!decode_head({.key = "config_head",
                             .version = 5,
                             .value = table.history("config_head").back()})
                    .has_value());
}

// Guards against a lost response that is reported as a failure, or that makes
// the change commit twice.
BOOST_FIXTURE_TEST_CASE(a_lost_response_is_read_back, fixture)
{
    using enum table_fault;
    table.set_next_faults({none, none, lost_response, outage, none, none});
    const auto it = execute(put_drafting(0), "c1");
    BOOST_TEST_REQUIRE(it->ok());
    BOOST_TEST((*it)->version == 1);
    BOOST_TEST(table.history("services/drafting").size() == 1U);
}

// Guards against a commit that takes effect after the old row was read back:
// the retried commit must not apply the change again.
BOOST_FIXTURE_TEST_CASE(a_late_effect_applies_once, fixture)
{
    using enum table_fault;
    table.set_next_faults({none, none, late_effect});
    result out;
    writer.execute(put_drafting(), "c1",
                   [&](const absl::StatusOr<config_document>& it)
                   { out = it; });
    table.run_all();
    time.advance(50);
    writer.tick();
    table.run();
    table.run();
    // The first commit takes effect while the second one is pending.
    BOOST_TEST_REQUIRE(table.call_name(0) == "commit");
    table.run_late_effects();
    settle();
    BOOST_TEST_REQUIRE(out->ok());
    BOOST_TEST((*out)->version == 1);
    BOOST_TEST(table.history("services/drafting").size() == 1U);
}

// Guards against a "not_run" error for a change that may have been committed,
// and against a retry under the same change id that applies the change twice or
// reverts a later one.
BOOST_FIXTURE_TEST_CASE(a_change_with_unknown_outcome_can_be_retried, fixture)
{
    using enum table_fault;
    table.set_next_faults({none, none, lost_response});
    table.set_fault(outage);
    result out;
    writer.execute(put_drafting(0), "c1",
                   [&](const absl::StatusOr<config_document>& it)
                   { out = it; });
    settle();
    BOOST_TEST((kind_of_result(out) == error_kind::outcome_unknown));
    BOOST_TEST(out->status().message().find("c1") != absl::string_view::npos);
    table.set_fault(none);
    BOOST_TEST(execute(put_drafting(1, 2), "c2")->ok());
    const auto again = execute(put_drafting(0), "c1");
    BOOST_TEST_REQUIRE(again->ok());
    BOOST_TEST((*again)->version == 2);
    BOOST_TEST(table.history("services/drafting").size() == 2U);
}

// Guards against a stale read between two commits that hides the first one: it
// can still take effect, so a "not_run" error would be wrong.
BOOST_FIXTURE_TEST_CASE(a_stale_read_keeps_the_outcome_unknown, fixture)
{
    using enum table_fault;
    BOOST_TEST(execute(put_drafting(), "c1")->ok());
    BOOST_TEST(execute(put_drafting(), "c2")->ok());
    table.set_next_faults(
        {none, none, late_effect, none, stale, outage, none, none, refused});
    table.set_fault(outage);
    BOOST_TEST((kind_of_result(execute(put_drafting(), "c3")) ==
                error_kind::outcome_unknown));
    table.run_late_effects();
    BOOST_TEST(table.history("services/drafting").size() == 3U);
}

// Guards against an `outcome_unknown` error for a change that can't have been
// committed.
BOOST_FIXTURE_TEST_CASE(an_outage_before_any_commit_is_store_unavailable,
                        fixture)
{
    table.set_fault(table_fault::outage);
    BOOST_TEST((kind_of_result(execute(put_drafting(0), "c1")) ==
                error_kind::store_unavailable));
    table.set_fault(table_fault::refused);
    BOOST_TEST((kind_of_result(execute(put_drafting(0), "c2")) ==
                error_kind::store_unavailable));
}

// Guards against late responses that access a destroyed writer.
BOOST_AUTO_TEST_CASE(responses_after_destruction_are_ignored)
{
    fake_table_service table;
    const manual_clock time;
    {
        config_writer writer(table, time);
        writer.execute(put_drafting(), "c1",
                       [](const absl::StatusOr<config_document>&)
                       { BOOST_ERROR("called back"); });
    }
    table.run_all();
}

// Guards against concurrent changes of two operators that revert each other.
BOOST_FIXTURE_TEST_CASE(racing_zone_changes_both_succeed, fixture)
{
    config_writer other(table, time, {.seed = 2});
    int accepted = 0;
    const auto done = [&](const absl::StatusOr<config_document>& it)
    {
        accepted += it.ok() ? 1 : 0;
    };
    writer.execute(std::make_shared<withdraw_zone>("a"), "c1", done);
    other.execute(std::make_shared<withdraw_zone>("b"), "c2", done);
    for (int n = 0; n < 100; ++n)
    {
        table.run_all();
        time.advance(50);
        writer.tick();
        other.tick();
    }
    BOOST_TEST(accepted == 2);
    const auto row = table_row{"fleet", 2, table.history("fleet").back()};
    const auto value = *parse_fleet(decode_row(row)->document.body);
    BOOST_TEST((value.withdrawn_zones == std::set<std::string>{"a", "b"}));
}

namespace
{

struct ordered_change
{
    std::shared_ptr<const config_change> change;
    std::string id;
    std::optional<std::int64_t> expected;
    result outcome;
};

std::shared_ptr<const config_change> random_fleet_change()
{
    const std::string name(1, *rc::gen::inRange('a', 'd'));
    switch (*rc::gen::inRange(0, 4))
    {
    case 0:
        return std::make_shared<withdraw_zone>(name);
    case 1:
        return std::make_shared<return_zone>(name);
    case 2:
        return std::make_shared<withdraw_machine>(name);
    default:
        return std::make_shared<return_machine>(name);
    }
}

ordered_change random_change(std::size_t n)
{
    ordered_change it;
    it.id = "c" + std::to_string(n);
    if (*rc::gen::inRange(0, 2) == 0)
    {
        it.change = random_fleet_change();
        return it;
    }
    if (*rc::gen::arbitrary<bool>())
        it.expected = *rc::gen::inRange(0, 4);
    it.change = put_drafting(it.expected, 1 + static_cast<std::uint32_t>(n));
    return it;
}

table_fault random_fault()
{
    using enum table_fault;
    return *rc::gen::weightedElement<table_fault>({{12, none},
                                                   {2, outage},
                                                   {3, lost_response},
                                                   {2, late_effect},
                                                   {1, refused},
                                                   {2, stale}});
}

/// Checks the history of a document against a sequential model: each version
/// must be the result of its change applied to the previous version. Returns
/// the version by change id.
std::map<std::string, std::int64_t>
replay(fake_table_service& table, const std::string& name,
       const std::vector<ordered_change>& changes)
{
    std::map<std::string, std::int64_t> committed;
    config_document model;
    model.name = name;
    const auto& history = table.history(name);
    for (std::size_t n = 0; n < history.size(); ++n)
    {
        const auto version = static_cast<std::int64_t>(n + 1);
        const auto row = decode_row({name, version, history[n]})->document;
        RC_ASSERT(committed.emplace(row.change_id, version).second);
        const auto it = std::find_if(changes.begin(), changes.end(),
                                     [&](const auto& change)
                                     { return change.id == row.change_id; });
        RC_ASSERT(it != changes.end());
        const auto body = it->change->apply(model);
        RC_ASSERT(body.ok());
        RC_ASSERT(*body == row.body);
        model = row;
    }
    return committed;
}

void check_outcomes(const std::vector<ordered_change>& changes,
                    std::map<std::string, std::int64_t>& committed,
                    bool unknown_allowed)
{
    for (const auto& it : changes)
    {
        RC_ASSERT(it.outcome.has_value());
        const auto found = committed.find(it.id);
        if (it.outcome->ok())
        {
            RC_ASSERT(found != committed.end());
            RC_ASSERT((*it.outcome)->version >= found->second);
            continue;
        }
        const auto kind = kind_of(it.outcome->status());
        if (unknown_allowed && kind == error_kind::outcome_unknown)
            continue;
        RC_ASSERT(kind == error_kind::version_conflict ||
                  (unknown_allowed && kind == error_kind::store_unavailable));
        RC_ASSERT(found == committed.end());
    }
}

} // namespace

// Guards against accepted changes that are lost, changes that commit twice or
// on another version than the expected one, and definite failures of changes
// that commit later.
RC_BOOST_PROP(racing_writers_match_the_sequential_model, ())
{
    fake_table_service table;
    manual_clock time(1000);
    std::vector<std::unique_ptr<config_writer>> writers;
    for (std::uint64_t n = 0; n < 3; ++n)
        writers.push_back(std::make_unique<config_writer>(
            table, time, config_writer_options{.timeout = 2000, .seed = n}));
    std::vector<ordered_change> changes(12);
    for (std::size_t n = 0; n < changes.size(); ++n)
        changes[n] = random_change(n);
    std::size_t started = 0;
    const auto start = [&](ordered_change& it, std::size_t writer)
    {
        it.outcome.reset();
        writers[writer]->execute(it.change, it.id,
                                 [&it](absl::StatusOr<config_document> out)
                                 { it.outcome = std::move(out); });
    };
    const auto is_pending = [](const auto& it)
    {
        return it->pending() > 0;
    };
    const auto advance = [&](msec n)
    {
        time.advance(n);
        for (const auto& it : writers)
            it->tick();
    };
    while (started < changes.size() ||
           std::any_of(writers.begin(), writers.end(), is_pending))
    {
        const auto roll = *rc::gen::inRange(0, 10);
        if (roll == 0 && started < changes.size())
        {
            start(changes[started], started % writers.size());
            ++started;
        }
        else if (roll < 7 && table.pending() > 0)
        {
            table.set_next_faults({random_fault()});
            table.run(*rc::gen::inRange<std::size_t>(0, table.pending()));
        }
        else if (roll == 7)
            table.run_late_effects();
        else
            advance(50);
    }
    table.run_all();
    table.run_late_effects();
    auto committed = replay(table, "fleet", changes);
    committed.merge(replay(table, "services/drafting", changes));
    RC_ASSERT(table.history("config_head").size() == committed.size());
    check_outcomes(changes, committed, true);

    // Without faults, a retry ends with success or a version conflict.
    for (auto& it : changes)
    {
        if (it.outcome->ok() ||
            kind_of(it.outcome->status()) == error_kind::version_conflict)
            continue;
        start(it, 0);
        for (int n = 0; n < 20; ++n)
        {
            table.run_all();
            advance(50);
        }
    }
    committed = replay(table, "fleet", changes);
    committed.merge(replay(table, "services/drafting", changes));
    check_outcomes(changes, committed, false);
}
