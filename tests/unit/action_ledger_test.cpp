#include "galenapulley/action_ledger.hpp"

#include "../fakes/fake_table_client.hpp"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace galenapulley;
using fakes::fault;

namespace
{

const action_key key{
    .service = "gate", .customer = "ub", .idempotency_key = "k/1"};

recorded_response response_of(int status, const std::string& body)
{
    return {.status = status, .content_type = "text/plain", .body = body};
}

action_request request_for(const action_key& action, const std::string& attempt,
                           std::uint64_t body = 1, msec timeout = 1000)
{
    return {.key = action,
            .body_hash = body,
            .attempt_id = attempt,
            .timeout = timeout};
}

struct ledger_node
{
    ledger_node(manual_clock& clk, fakes::table_store& store,
                std::int64_t number, action_ledger::node_alive alive)
        : time(clk)
        , table(store)
        , ledger(time, table,
                 {.node = "n", .incarnation = number, .batches = {}},
                 std::move(alive))
    {
    }

    // Advances the clock, so that batches and retries become due, and completes
    // all calls to the table service.
    void run_for(msec length = 10)
    {
        for (msec n = 0; n < length; n += 5)
        {
            time.advance(5);
            ledger.tick();
            table.run();
        }
    }

    manual_clock& time;
    fakes::fake_table_client table;
    action_ledger ledger;
};

struct ledger_fixture
{
    manual_clock time{1000};
    fakes::table_store store;
    bool alive = true;
    ledger_node node{time, store, 1,
                     [this](const std::string&, std::int64_t)
                     {
                         return alive;
                     }};
    ledger_node other{time, store, 2,
                      [this](const std::string&, std::int64_t)
                      {
                          return alive;
                      }};

    std::optional<begin_result> result;

    void begin(ledger_node& at, const std::string& attempt,
               std::uint64_t body = 1, msec timeout = 1000)
    {
        result.reset();
        at.ledger.begin(request_for(key, attempt, body, timeout),
                        [this](begin_result it) { result = std::move(it); });
    }

    begin_state state() const { return result.value().state; }
    error_kind kind() const { return kind_of(result.value().error); }
    action_record row() const
    {
        return parse_action(store.read(row_key(key)).value).value();
    }
};

} // namespace

// Guards against a second run of a finished action, against a response body
// with arbitrary bytes that is not replayed exactly, and against reuse of an
// idempotency key with another request body.
BOOST_FIXTURE_TEST_CASE(finished_action_is_replayed, ledger_fixture)
{
    begin(node, "a1");
    node.run_for();
    BOOST_TEST((state() == begin_state::started));
    const std::string body{"\0\xff{\"ok\":1}", 10};
    node.ledger.finish(key, "a1", response_of(201, body));
    node.run_for();
    begin(other, "b1");
    other.run_for();
    BOOST_TEST((state() == begin_state::replay));
    BOOST_TEST(result->response.status == 201);
    BOOST_TEST(result->response.content_type == "text/plain");
    BOOST_TEST((result->response.body == body));
    begin(other, "b2", 2);
    other.run_for();
    BOOST_TEST((kind() == error_kind::key_reused));
}

// Guards against a response that is sent to the client before it is recorded: a
// retry through another node would then get `in_progress`.
BOOST_FIXTURE_TEST_CASE(finish_reports_when_the_response_is_recorded,
                        ledger_fixture)
{
    begin(node, "a1");
    node.run_for();
    std::optional<absl::Status> recorded;
    const auto finish = [&]
    {
        node.ledger.finish(key, "a1", response_of(200, "ok"), 100,
                           [&](const absl::Status& it) { recorded = it; });
    };
    finish();
    BOOST_TEST(!recorded);
    node.run_for();
    BOOST_TEST_REQUIRE(recorded.has_value());
    BOOST_TEST(recorded->ok());
    BOOST_TEST((row().state == action_state::done));
    recorded.reset();
    finish();
    BOOST_TEST((kind_of(recorded.value()) == error_kind::internal));
}

// Guards against a response that is held back until the end of a store outage.
BOOST_FIXTURE_TEST_CASE(finish_times_out_in_an_outage, ledger_fixture)
{
    begin(node, "a1");
    node.run_for();
    node.table.outage = true;
    std::optional<absl::Status> recorded;
    node.ledger.finish(key, "a1", response_of(200, "ok"), 100,
                       [&](const absl::Status& it) { recorded = it; });
    node.run_for(90);
    BOOST_TEST(!recorded);
    node.run_for(20);
    BOOST_TEST((kind_of(recorded.value()) == error_kind::store_unavailable));
    node.table.outage = false;
    node.run_for(20'000);
    BOOST_TEST((row().state == action_state::done));
}

// Guards against storing a large response body in the table service, and
// against replaying a truncated body as complete.
BOOST_FIXTURE_TEST_CASE(large_response_is_recorded_as_hash, ledger_fixture)
{
    begin(node, "a1");
    node.run_for();
    node.ledger.finish(
        key, "a1",
        response_of(200, std::string(max_recorded_body_bytes + 1, 'x')));
    node.run_for();
    begin(other, "b1");
    other.run_for();
    BOOST_TEST(result->response.too_large);
    BOOST_TEST(result->response.body.empty());
    BOOST_TEST(result->response.body_hash != 0U);
}

// Guards against a second run while the first attempt is in progress, or after
// the process of its node has ended.
BOOST_FIXTURE_TEST_CASE(started_action_never_runs_again, ledger_fixture)
{
    begin(node, "a1");
    node.run_for();
    begin(other, "b1");
    other.run_for();
    BOOST_TEST((kind() == error_kind::in_progress));
    alive = false;
    begin(other, "b2");
    other.run_for();
    BOOST_TEST((kind() == error_kind::outcome_unknown));
}

// Guards against an insert whose response is lost, and which then blocks the
// key or lets the action run twice.
BOOST_FIXTURE_TEST_CASE(lost_insert_response_is_read_back, ledger_fixture)
{
    begin(node, "a1");
    time.advance(5);
    node.ledger.tick();
    node.table.run(fault::lost_response);
    BOOST_TEST((state() == begin_state::started));
    node.ledger.mark_not_run(key, "a1", 1000);
    node.run_for();
    begin(node, "a2");
    node.run_for();
    BOOST_TEST((state() == begin_state::started));
}

// Guards against an insert that takes effect after the client got a "not_run"
// error: its row must neither block the key nor count as started.
BOOST_FIXTURE_TEST_CASE(late_insert_is_recorded_as_not_run, ledger_fixture)
{
    begin(node, "a1", 1, 100);
    time.advance(5);
    node.ledger.tick();
    node.table.apply(fault::none);
    time.advance(100);
    node.ledger.tick();
    BOOST_TEST((kind() == error_kind::store_unavailable));
    BOOST_TEST((row().state == action_state::started));
    result.reset();
    node.run_for();
    BOOST_TEST(!result);
    BOOST_TEST((row().state == action_state::not_run));
    begin(other, "b1");
    other.run_for();
    BOOST_TEST((state() == begin_state::started));
}

// Guards against an insert that takes effect after the row was read as absent.
BOOST_FIXTURE_TEST_CASE(delayed_insert_fails_after_a_rewrite, ledger_fixture)
{
    begin(node, "a1", 1, 100);
    time.advance(5);
    node.ledger.tick();
    node.table.apply(fault::late);
    time.advance(100);
    node.ledger.tick();
    BOOST_TEST((kind() == error_kind::store_unavailable));
    node.run_for(20);
    node.table.apply_late();
    BOOST_TEST((row().state == action_state::not_run));
    BOOST_TEST(node.ledger.background_writes() == 0U);
}

// Guards against responses that are never recorded because the store was down,
// and against background writes that are not released.
BOOST_FIXTURE_TEST_CASE(finish_is_retried_after_an_outage, ledger_fixture)
{
    begin(node, "a1");
    node.run_for();
    node.table.outage = true;
    node.ledger.finish(key, "a1", response_of(200, "done"));
    node.run_for(2000);
    BOOST_TEST((row().state == action_state::started));
    BOOST_TEST(node.ledger.background_writes() == 1U);
    node.table.outage = false;
    node.run_for(9000);
    BOOST_TEST((row().state == action_state::done));
    BOOST_TEST(node.ledger.background_writes() == 0U);
}

// Guards against memory that grows with every response that can't be recorded.
BOOST_FIXTURE_TEST_CASE(background_writes_are_bounded, ledger_fixture)
{
    int started = 0;
    for (int n = 0; n < 1100; ++n)
    {
        auto action = key;
        action.idempotency_key = std::to_string(n);
        node.ledger.begin(request_for(action, "a" + std::to_string(n)),
                          [&](const begin_result& it)
                          { started += it.error.ok() ? 1 : 0; });
    }
    node.run_for();
    BOOST_TEST(started == 1100);
    node.table.outage = true;
    for (int n = 0; n < 1100; ++n)
    {
        auto action = key;
        action.idempotency_key = std::to_string(n);
        node.ledger.finish(action, "a" + std::to_string(n), {});
    }
    node.run_for();
    BOOST_TEST(node.ledger.background_writes() == 1024U);
    BOOST_TEST(node.ledger.dropped_writes() == 76U);
}

// Guards against one transaction per attempt, and against a conflict of one
// attempt that fails the others of its batch.
BOOST_FIXTURE_TEST_CASE(batch_is_split_on_a_conflict, ledger_fixture)
{
    begin(other, "b1");
    other.run_for();
    int started = 0;
    int refused = 0;
    for (int n = 0; n < 16; ++n)
    {
        auto action = key;
        if (n != 7)
            action.idempotency_key = "n" + std::to_string(n);
        node.ledger.begin(request_for(action, "a" + std::to_string(n)),
                          [&](const begin_result& it)
                          {
                              if (it.state == begin_state::started)
                                  ++started;
                              else
                                  ++refused;
                          });
    }
    const auto before = store.commits;
    node.run_for();
    BOOST_TEST(started == 15);
    BOOST_TEST(refused == 1);
    BOOST_TEST(store.commits == before + 1);
}

namespace
{

/// Runs attempts of one key on several nodes and counts the runs at the back
/// end.
struct key_race
{
    manual_clock time{1000};
    fakes::table_store store;
    std::vector<std::unique_ptr<ledger_node>> nodes;
    std::vector<std::int64_t> current;
    std::int64_t processes = 0;
    int attempts = 0;
    int runs = 0;
    bool response_known = false;
    bool crashed_while_started = false;
    std::vector<std::pair<std::size_t, std::string>> open_attempts;

    key_race()
    {
        for (int n = 0; n < 3; ++n)
        {
            nodes.emplace_back();
            current.push_back(0);
            restart(static_cast<std::size_t>(n));
        }
    }

    void restart(std::size_t n)
    {
        const auto lost = std::erase_if(open_attempts, [&](const auto& it)
                                        { return it.first == n; });
        crashed_while_started |= lost > 0 || nodes[n] != nullptr;
        current[n] = ++processes;
        nodes[n] = std::make_unique<ledger_node>(
            time, store, processes,
            [this](const std::string&, std::int64_t it) {
                return std::find(current.begin(), current.end(), it) !=
                       current.end();
            });
    }

    void begin(std::size_t n, msec timeout, bool& replayed)
    {
        const auto attempt = "t" + std::to_string(++attempts);
        auto completed = std::make_shared<bool>(false);
        nodes[n]->ledger.begin(
            request_for(key, attempt, 1, timeout),
            [this, n, attempt, completed, &replayed](const begin_result& it)
            {
                RC_ASSERT(!*completed);
                *completed = true;
                if (it.state == begin_state::started)
                    open_attempts.emplace_back(n, attempt);
                if (it.state == begin_state::replay)
                {
                    RC_ASSERT(it.response.body == "run 1");
                    replayed = true;
                }
                // Only open attempts are sent.
                if (it.state == begin_state::refused &&
                    error_response_for(kind_of(it.error)).ran ==
                        execution::not_run)
                    RC_ASSERT(
                        std::none_of(open_attempts.begin(), open_attempts.end(),
                                     [&](const auto& entry)
                                     { return entry.second == attempt; }));
            });
    }

    // Sends the oldest open attempt, or fails to open a connection.
    void send_open(bool connects)
    {
        if (open_attempts.empty())
            return;
        const auto [n, attempt] = open_attempts.front();
        open_attempts.erase(open_attempts.begin());
        if (!connects)
        {
            nodes[n]->ledger.mark_not_run(key, attempt, 500);
            return;
        }
        ++runs;
        response_known = true;
        nodes[n]->ledger.finish(
            key, attempt, response_of(200, "run " + std::to_string(runs)));
    }

    void run_all_for(msec length)
    {
        for (msec n = 0; n < length; n += 50)
            for (auto& it : nodes)
                it->run_for(20);
    }
};

int races_run = 0;
int races_replayed = 0;

void random_step(key_race& race, int roll, std::size_t choice, bool& replayed)
{
    const auto n = choice % 3;
    auto& node = *race.nodes[n];
    if (roll < 20)
        race.begin(n, static_cast<msec>(choice % 400), replayed);
    else if (roll < 35)
        race.time.advance(static_cast<msec>(choice % 150));
    else if (roll < 55)
        node.ledger.tick();
    else if (roll < 65)
        node.table.apply();
    else if (roll < 75)
        node.table.apply(fakes::random_fault(choice / 3));
    else if (roll < 85)
        node.table.deliver();
    else if (roll < 88)
        node.table.apply_late();
    else if (roll < 94)
        race.send_open(choice % 2 == 0);
    else if (roll < 98)
        node.table.outage = !node.table.outage;
    else if (choice % 4 == 0)
        race.restart(n);
}

} // namespace

// Guards against a second run of one key, a "not_run" error for an attempt that
// is sent, a replay of another response, and, as long as no process ends, a key
// that stays blocked although nothing ran.
RC_BOOST_PROP(action_runs_at_most_once, ())
{
    key_race race;
    race.crashed_while_started = false;
    bool replayed = false;
    const auto step = rc::gen::resize(
        100, rc::gen::pair(rc::gen::inRange(0, 100),
                           rc::gen::inRange<std::size_t>(0, 12'000)));
    const auto steps =
        *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(150,
                                                                      step);
    for (const auto& [roll, choice] : steps)
    {
        random_step(race, roll, choice, replayed);
        RC_ASSERT(race.runs <= 1);
    }
    for (auto& it : race.nodes)
    {
        it->table.outage = false;
        it->table.apply_late();
    }
    race.run_all_for(2000);
    while (!race.open_attempts.empty())
        race.send_open(true);
    race.run_all_for(10'000);
    RC_ASSERT(race.runs <= 1);
    replayed = false;
    race.begin(0, 1000, replayed);
    race.run_all_for(200);
    if (!race.crashed_while_started)
        RC_ASSERT((race.runs == 1 ? replayed : race.open_attempts.size() == 1));
    races_run += race.runs;
    races_replayed += replayed ? 1 : 0;
}

// Guards against a property test that covers no runs or replays.
BOOST_AUTO_TEST_CASE(property_reached_runs_and_replays)
{
    BOOST_TEST_MESSAGE("races with a run: " << races_run
                                            << ", with a replay at the end: "
                                            << races_replayed);
    BOOST_TEST(races_run > 30);
    BOOST_TEST(races_replayed > 20);
}
