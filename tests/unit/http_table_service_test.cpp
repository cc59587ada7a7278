#include "galenapulley/error_kind.hpp"
#include "node/http_client.hpp"
#include "node/http_table_service.hpp"

#include "raw_sockets.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <string>
#include <utility>

using namespace galenapulley;

namespace
{

template <typename Result, typename Start>
Result result_of(Start start)
{
    std::promise<Result> promise;
    start([&promise](const Result& result) { promise.set_value(result); });
    return promise.get_future().get();
}

/// The service, with a platform that sends the given response.
struct fixture
{
    explicit fixture(const std::string& text) : platform({text}) {}

    absl::StatusOr<table_row> read(const std::string& key)
    {
        return result_of<absl::StatusOr<table_row>>(
            [&](auto done) { service.read(key, 500, done); });
    }

    commit_result commit()
    {
        const table_transaction transaction{
            .conditions = {{"a", 0}, {"b", 3}},
            .writes = {{"a", "text"}, {"b", std::nullopt}}};
        return result_of<commit_result>(
            [&](auto done) { service.commit(transaction, 300, done); });
    }

    std::atomic<int> posted{0};
    raw::responder platform;
    http_client client;
    http_table_service service{client, platform.address(),
                               [this](const std::function<void()>& fn)
                               {
                                   ++posted;
                                   fn();
                               }};
};

} // namespace

// Guards against keys that are not encoded correctly, and against absent rows
// that are reported as failures.
BOOST_AUTO_TEST_CASE(reads_rows)
{
    fixture found(raw::response(R"({"key":"a/b c","version":4,"value":"v"})"));
    auto row = found.read("a/b c");
    BOOST_TEST_REQUIRE(row.ok());
    BOOST_TEST(row->version == 4);
    BOOST_TEST(row->value == "v");
    BOOST_TEST(found.posted == 1);
    BOOST_TEST(found.platform.last_request().rfind(
                   "GET /table/row?key=a%2Fb%20c HTTP", 0) == 0U);

    fixture absent(raw::response("{}", "404 Not Found"));
    row = absent.read("none");
    BOOST_TEST_REQUIRE(row.ok());
    BOOST_TEST(row->key == "none");
    BOOST_TEST(row->version == 0);
}

// Guards against store failures that are reported as absent rows.
BOOST_AUTO_TEST_CASE(failed_reads_are_errors)
{
    for (const auto& it :
         {raw::response("{}", "503 Unavailable"),
          raw::response("{}", "429 Too Many"), raw::response("no JSON"),
          raw::response("{}"), std::string()})
    {
        const auto row = fixture(it).read("a");
        BOOST_TEST((kind_of(row.status()) == error_kind::store_unavailable),
                   it);
    }
}

// Guards against rows that are missing from the result of a scan.
BOOST_AUTO_TEST_CASE(scans_rows)
{
    const std::string rows = R"([{"key":"p/1","version":1,"value":"x"},)"
                             R"({"key":"p/2","version":2,"value":"y"}])";
    for (const auto& it : {rows, R"({"rows":)" + rows + "}"})
    {
        fixture store(raw::response(it));
        const auto found = result_of<absl::StatusOr<std::vector<table_row>>>(
            [&](auto done) { store.service.scan("p/", 500, done); });
        BOOST_TEST_REQUIRE(found.ok());
        BOOST_TEST(found->size() == 2U);
        BOOST_TEST(found->back().value == "y");
    }
}

// Guards against a response without rows that is taken for an empty table.
BOOST_AUTO_TEST_CASE(a_scan_without_a_list_is_an_error)
{
    for (const auto* const it :
         {"7", "null", "{}", R"({"rows":7})", R"({"rows":{}})"})
    {
        fixture store(raw::response(it));
        const auto found = result_of<absl::StatusOr<std::vector<table_row>>>(
            [&](auto done) { store.service.scan("p/", 500, done); });
        BOOST_TEST((kind_of(found.status()) == error_kind::store_unavailable),
                   it);
    }
}

// Guards against a row of another writer that hides all others.
BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_read_is_left_out_of_a_scan)
{
    for (const std::string odd :
         {"7", "null", "[]", "{}", R"({"key":"p/0","version":1})",
          R"({"key":"p/0","version":1,"value":7})",
          R"({"key":7,"version":1,"value":"x"})",
          R"({"key":"p/0","version":"1","value":"x"})"})
    {
        fixture store(raw::response(
            "[" + odd + R"(,{"key":"p/2","version":2,"value":"y"}])"));
        const auto found = result_of<absl::StatusOr<std::vector<table_row>>>(
            [&](auto done) { store.service.scan("p/", 500, done); });
        BOOST_TEST_CONTEXT(odd)
        {
            BOOST_TEST(found.ok());
            BOOST_TEST((found.ok() && found->size() == 1U &&
                        found->front().key == "p/2"));
        }
    }
}

// Guards against a transaction that loses a condition or a delete.
BOOST_AUTO_TEST_CASE(commits_transactions)
{
    fixture store(raw::response(R"({"versions":{"a":1,"b":4}})"));
    const auto result = store.commit();
    BOOST_TEST((result.state == commit_state::committed));
    BOOST_TEST(result.versions.at("b") == 4);
    const auto request = store.platform.last_request();
    const auto body =
        nlohmann::json::parse(request.substr(request.find("\r\n\r\n")));
    BOOST_TEST(body["conditions"][1]["version"] == 3);
    BOOST_TEST(body["writes"][0]["value"] == "text");
    BOOST_TEST(body["writes"][1]["value"].is_null());
}

// Guards against commits reported as refused that may have taken effect.
BOOST_AUTO_TEST_CASE(distinguishes_refused_from_unknown_commits)
{
    const auto result =
        fixture(raw::response(R"({"conflict":"b"})", "409 Conflict")).commit();
    BOOST_TEST((result.state == commit_state::conflict));
    BOOST_TEST(result.conflict == "b");

    BOOST_TEST((fixture(raw::response("{}", "429 Too Many")).commit().state ==
                commit_state::refused));
    for (const auto& it :
         {raw::response("{}", "503 Unavailable"),
          raw::response("{}", "500 Error"), raw::response("no JSON"),
          raw::response("{}", "400 Bad Request"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"),
          std::string()})
        BOOST_TEST((fixture(it).commit().state == commit_state::unknown), it);

    http_client client;
    auto closed = raw::socket::listening(1);
    const auto address = "127.0.0.1:" + std::to_string(closed.port());
    closed.close();
    http_table_service service(client, address, [](const auto& fn) { fn(); });
    const auto unsent = result_of<commit_result>(
        [&](auto done) { service.commit({}, 300, done); });
    BOOST_TEST((unsent.state == commit_state::refused));
}
