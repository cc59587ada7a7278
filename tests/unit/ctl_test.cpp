#include "ctl/ctl.hpp"
#include "ctl/text_output.hpp"

#include "raw_sockets.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace galenapulley;

namespace
{

const std::string accepted = raw::response(
    R"({"name":"s1","version":5,"change_id":"c","state":"committed","holders":3})");

std::string error(const std::string& status, const std::string& kind,
                  const std::string& ran)
{
    return raw::response(R"({"error":{"kind":")" + kind +
                             R"(","message":"text","ran":")" + ran + "\"}}",
                         status);
}

const std::string no_response; // The node closes the connection unanswered.
const std::string not_run = error("503 X", "isolated", "not_run");
const std::string refused = error("422 X", "invalid_document", "not_run");
const std::string unknown = error("502 X", "outcome_unknown", "may_have_run");

using fake_node = raw::responder;

std::string header(const std::string& request, const std::string& name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

struct fixture
{
    std::ostringstream out;
    std::ostringstream err;
    const std::string file = "ctl_test_document.json";

    fixture() { std::ofstream(file) << R"({"service":"s 1"})"; }
    ~fixture() { std::remove(file.c_str()); }

    int run(std::vector<std::string> args,
            const std::vector<const fake_node*>& nodes)
    {
        for (const auto* it : nodes)
            args.insert(args.end(), {"--node", it->address()});
        return static_cast<int>(run_ctl(args, out, err));
    }

    /// Exit code of a change when the two nodes send these responses.
    int change(const std::string& one, const std::string& two)
    {
        const fake_node first({one});
        const fake_node second({two});
        return run({"zones", "withdraw", "z"}, {&first, &second});
    }
};

} // namespace

// Guards against a put that overwrites a newer version, or whose retry counts
// as another change.
BOOST_FIXTURE_TEST_CASE(put_sends_expected_version_and_keeps_change_id, fixture)
{
    const fake_node first({raw::response(R"({"version":4})"), no_response});
    const fake_node second({accepted});
    BOOST_TEST(run({"services", "put", file}, {&first, &second}) == 0);
    BOOST_TEST(first.requests().at(0).rfind("GET /admin/services/s%201 ", 0) ==
               0U);
    const auto put = second.requests().at(0);
    BOOST_TEST(put.rfind("PUT /admin/services/s%201 ", 0) == 0U);
    BOOST_TEST(header(put, "x-expected-version") == "4");
    BOOST_TEST(header(put, "x-change-id").size() == 32U);
    BOOST_TEST(header(put, "x-change-id") ==
               header(first.requests().at(1), "x-change-id"));
    BOOST_TEST(out.str().find("version    5\n") != std::string::npos);

    const fake_node third({accepted});
    BOOST_TEST(run({"services", "put", file, "--expect", "0", "--change-id",
                    "c7", "--json"},
                   {&third}) == 0);
    BOOST_TEST(header(third.requests().at(0), "x-expected-version") == "0");
    BOOST_TEST(header(third.requests().at(0), "x-change-id") == "c7");
}

// Guards against a change with an unknown outcome that is reported as refused,
// and the reverse.
BOOST_FIXTURE_TEST_CASE(exit_codes_match_outcomes, fixture)
{
    BOOST_TEST(change(accepted, no_response) == 0);
    BOOST_TEST(change(not_run, accepted) == 0);
    BOOST_TEST(change(refused, accepted) == 1);
    BOOST_TEST(change(not_run, not_run) == 1);
    BOOST_TEST(change(no_response, no_response) == 4);
    BOOST_TEST(change(no_response, refused) == 4);
    BOOST_TEST(change(unknown, not_run) == 4);
    BOOST_TEST(change(unknown, accepted) == 0);
    BOOST_TEST(run({"status", "--node", "127.0.0.1:1"}, {}) == 3);
    BOOST_TEST(run({"zones", "return", "z", "--node", "127.0.0.1:1"}, {}) == 3);
    for (const std::vector<std::string>& it :
         {std::vector<std::string>{},
          {"nosuch"},
          {"zones", "return"},
          {"status", "more"},
          {"status", "--bad"},
          {"services", "put", "none"},
          {"back-ends", "order", "e1", "nosuch", "x"}})
    {
        const fake_node node({accepted});
        BOOST_TEST(run(it, {&node}) == 2);
        BOOST_TEST(node.requests().empty());
    }
}

// Guards against an order that is retried at another node after the first one
// may have carried it out.
BOOST_FIXTURE_TEST_CASE(orders_are_not_retried, fixture)
{
    const fake_node first({no_response});
    const fake_node second({accepted});
    BOOST_TEST(run({"back-ends", "order", "e1", "set_role", "prefill"},
                   {&first, &second}) == 4);
    BOOST_TEST(first.requests().at(0).ends_with(
        R"({"order":"set_role","role":"prefill"})"));
    BOOST_TEST(second.requests().empty());
}

// Guards against table columns that shift when a row lacks a member.
BOOST_AUTO_TEST_CASE(table_columns_are_aligned)
{
    std::ostringstream out;
    print_text(out, nlohmann::ordered_json::parse(
                        R"([{"name":"long name","v":1},{"name":"b"}])"));
    BOOST_TEST(out.str() == "NAME       V\nlong name  1\nb          -\n");
}

BOOST_FIXTURE_TEST_CASE(accounts_are_a_table, fixture)
{
    const fake_node node({raw::response(
        R"({"accounts":[{"service":"s","account":"a","share_percent":50.0,)"
        R"("waiting":3,"limited":true,"refused":["overloaded=2"]}]})")});
    BOOST_TEST(run({"accounts"}, {&node}) == 0);
    BOOST_TEST(node.requests().at(0).rfind("GET /accounts ", 0) == 0U);
    BOOST_TEST(out.str().find("overloaded=2") != std::string::npos);
    BOOST_TEST(out.str().find("SHARE_PERCENT") != std::string::npos);
}
