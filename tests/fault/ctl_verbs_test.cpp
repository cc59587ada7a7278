#include "node/token_hash.hpp"
#include "support/process_fleet.hpp"

#include <boost/process.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <unistd.h>

using namespace galenapulley;
using namespace galenapulley::testing;
using nlohmann::json;
namespace bp = boost::process;

namespace
{

using words = std::vector<std::string>;

struct ctl_result
{
    int code = -1;
    std::string out;
    std::string err;
};

const std::string other_team_token = "other-team-token";

json account(const std::string& name, const std::string& token)
{
    return {{"name", name}, {"token_sha256", token_hash(token)}};
}

/// Nodes of two teams. All cases share them, since a start takes seconds.
process_fleet& shared_fleet()
{
    static process_fleet fleet(
        {.zones = 2,
         .engines_per_zone = 1,
         .engine_args = {"--warm-after-s", "1"},
         .settings = {{"teams",
                       {account("team", process_fleet::team_token),
                        account("other", other_team_token)}}}});
    static const bool installed = (fleet.install(), true);
    static_cast<void>(installed);
    return fleet;
}

struct fixture
{
    fixture() { std::filesystem::create_directories(directory); }
    ~fixture() { std::filesystem::remove_all(directory); }

    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    std::string write(const std::string& name, const std::string& text) const
    {
        auto path = (directory / name).string();
        std::ofstream(path) << text;
        return path;
    }

    std::string write(const json& document) const
    {
        return write("document.json", document.dump());
    }

    static ctl_result run(const words& args, const std::string& node,
                          const std::string& token)
    {
        bp::environment environment = boost::this_process::environment();
        environment["GALENAPULLEY_TOKEN"] = token;
        environment["GALENAPULLEY_NODES"] = node;
        bp::ipstream out;
        bp::ipstream err;
        words all{"ctl"};
        all.insert(all.end(), args.begin(), args.end());
        bp::child child(std::getenv("GALENAPULLEY_BINARY"), bp::args(all),
                        environment, bp::std_out > out, bp::std_err > err);
        ctl_result result;
        auto errors = std::async(
            std::launch::async, [&err]
            { return std::string(std::istreambuf_iterator<char>(err), {}); });
        result.out.assign(std::istreambuf_iterator<char>(out), {});
        result.err = errors.get();
        child.wait();
        result.code = child.exit_code();
        return result;
    }

    /// Runs a command with the operators' token.
    ctl_result run(const words& args, std::size_t node = 0) const
    {
        return run(args, fleet.node_address(node),
                   process_fleet::operator_token);
    }

    ctl_result run_as(const std::string& token, const words& args) const
    {
        return run(args, fleet.node_address(0), token);
    }

    json read(const words& args, std::size_t node = 0) const
    {
        auto all = args;
        all.emplace_back("--json");
        const auto result = run(all, node);
        BOOST_TEST(result.code == 0);
        return json::parse(result.out, nullptr, false);
    }

    std::int64_t version_of(const std::string& service) const
    {
        return read({"services", "get", service}).value("version", 0);
    }

    std::filesystem::path directory =
        std::filesystem::temp_directory_path() /
        ("galenapulley-ctl-" + std::to_string(::getpid()));
    process_fleet& fleet = shared_fleet();
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

void check_refused(const ctl_result& result, const std::string& kind)
{
    BOOST_TEST(result.code == 1);
    BOOST_TEST(contains(result.err, "refused: "), result.err);
    BOOST_TEST(contains(result.err, kind), result.err);
    BOOST_TEST(contains(result.err, "(not_run)"), result.err);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ctl, fixture)

// Guards against a read verb that does not match the nodes' responses, and
// against a document that can't be edited and put back.
BOOST_AUTO_TEST_CASE(reads)
{
    const auto services = read({"services", "list"}).at("services");
    BOOST_TEST_REQUIRE(services.size() == 2U);
    BOOST_TEST(services[0].at("name") == "drafting");
    BOOST_TEST(contains(run({"services", "list"}).out, "VERSION"));
    const auto got = run({"services", "get", "drafting"});
    BOOST_TEST(json::parse(got.out) == fleet.drafting_document());
    check_refused(run({"services", "get", "none"}), "unknown_service");

    const auto status = read({"status"});
    BOOST_TEST(status.at("baseline") == true);
    BOOST_TEST(status.at("nodes").size() == 1U);
    BOOST_TEST(contains(run({"status"}).out, "baseline"));
    BOOST_TEST(read({"refusals"}).at("unknown_service") >= 1);
    BOOST_TEST(contains(run({"metrics"}).out, "galenapulley_refusals_total{"));
    BOOST_TEST(read({"nodes"}).at("valid_ms") == 10'000);
    BOOST_TEST(contains(run({"nodes"}).out, fleet.node_address(1)));
}

// Guards against a put that is lost, overwrites another author's change, or
// gets a different result when it is retried with its change id.
BOOST_AUTO_TEST_CASE(put_and_retry)
{
    auto document = fleet.drafting_document();
    document["max_output_tokens"] = 100;
    const auto version = version_of("drafting");
    const words put{"services",
                    "put",
                    write(document),
                    "--expect",
                    std::to_string(version),
                    "--json",
                    "--change-id",
                    "change-1"};
    const auto first = run(put);
    BOOST_TEST(first.code == 0);
    const auto response = json::parse(first.out);
    BOOST_TEST(response.at("version") == version + 1);
    BOOST_TEST(response.at("change_id") == "change-1");
    BOOST_TEST(response.at("state") == "accepted");

    // The expected version is outdated by now, and a different node is used.
    const auto again = run(put, 1);
    BOOST_TEST(again.code == 0);
    BOOST_TEST(json::parse(again.out).at("version") == version + 1);
    BOOST_TEST(version_of("drafting") == version + 1);

    check_refused(run({"services", "put", write(document), "--expect",
                       std::to_string(version)}),
                  "version_conflict");
    // Without --expect, ctl first reads the current version.
    document["max_output_tokens"] = 101;
    BOOST_TEST(run({"services", "put", write(document)}).code == 0);
    BOOST_TEST(version_of("drafting") == version + 2);
}

// Guards against an invalid document that takes effect, and against an error
// that does not name the field.
BOOST_AUTO_TEST_CASE(faulty_documents)
{
    auto document = fleet.drafting_document();
    const auto version = version_of("drafting");
    BOOST_TEST(run({"services", "check", write(document)}).code == 0);
    document["colour"] = "red";
    document["back_ends"][0]["slots"] = 0;
    for (const auto* verb : {"check", "put"})
    {
        const auto result = run({"services", verb, write(document)});
        check_refused(result, "invalid_document");
        BOOST_TEST(contains(result.err, "colour"), result.err);
        BOOST_TEST(contains(result.err, "back_ends[0].slots: 0"), result.err);
    }
    BOOST_TEST(version_of("drafting") == version);
    for (const auto* text : {"", "{", "[]", "{\"service\":1}"})
        BOOST_TEST(run({"services", "put", write("bad.json", text)}).code == 2);
    BOOST_TEST(run({"services", "put", "/none.json"}).code == 2);
}

// Guards against accounts that read or change services without permission.
BOOST_AUTO_TEST_CASE(tokens)
{
    const auto file = write(fleet.drafting_document());
    check_refused(run_as("wrong", {"services", "list"}), "unauthorized");
    check_refused(run_as("", {"status"}), "unauthorized");
    check_refused(run_as("wrong", {"services", "put", file}), "unauthorized");
    for (const auto& args :
         {words{"services", "get", "drafting"}, words{"services", "put", file},
          words{"services", "put", file, "--expect", "1"},
          words{"services", "check", file},
          words{"services", "remove", "drafting", "--expect", "1"},
          words{"zones", "withdraw", "zone-0"},
          words{"machines", "return", "vm-1"},
          words{"back-ends", "order", "e0", "set_role", "decode"}})
        check_refused(run_as(other_team_token, args), "forbidden");
    BOOST_TEST(
        run_as(process_fleet::team_token, {"services", "put", file}).code == 0);
    // The list shows a team's own services only.
    const auto list = run_as(other_team_token, {"services", "list", "--json"});
    BOOST_TEST(json::parse(list.out).at("services").empty());
}

// Guards against a zone or machine that is not withdrawn or not returned.
BOOST_AUTO_TEST_CASE(withdraw_and_return)
{
    for (const auto& [verb, name, field] :
         {std::array{"zones", "zone-1", "withdrawn_zones"},
          std::array{"machines", "vm-1", "withdrawn_machines"}})
    {
        BOOST_TEST(run({verb, "withdraw", name}).code == 0);
        BOOST_TEST(read({"status"}).at(field) == json::array({name}));
        BOOST_TEST(run({verb, "return", name}, 1).code == 0);
        BOOST_TEST(read({"status"}, 1).at(field) == json::array());
    }
    check_refused(run({"zones", "withdraw", "no zone"}), "invalid_document");
}

// Guards against an order that is not sent, or sent without a record.
BOOST_AUTO_TEST_CASE(orders)
{
    const auto name = fleet.drafting_document()
                          .at("back_ends")[0]
                          .at("name")
                          .get<std::string>();
    const auto first =
        read({"back-ends", "order", name, "load_model", "drafter"});
    const auto second = read({"back-ends", "order", name, "set_role", "mixed"});
    BOOST_TEST(second.at("fence") > first.at("fence"));
    check_refused(run({"back-ends", "order", "none", "set_role", "mixed"}),
                  "no_back_end");
    BOOST_TEST(run({"back-ends", "order", name, "sing", "x"}).code == 2);
}

// Guards against a removed service that still serves requests.
BOOST_AUTO_TEST_CASE(remove)
{
    check_refused(run({"services", "remove", "drafting", "--expect", "99"}),
                  "version_conflict");
    const auto version = std::to_string(version_of("drafting"));
    const words remove{"services", "remove", "drafting",    "--expect",
                       version,    "--json", "--change-id", "gone"};
    BOOST_TEST(run(remove).code == 0);
    BOOST_TEST(run(remove, 1).code == 0);
    check_refused(run({"services", "get", "drafting"}), "unknown_service");
    BOOST_TEST(read({"services", "list"}).at("services").size() == 1U);
    check_refused(run({"services", "remove", "none"}), "unknown_service");
    // The name may be used again; no version has to be known for that.
    const auto file = write(fleet.drafting_document());
    BOOST_TEST(run({"services", "put", file}).code == 0);
    BOOST_TEST(version_of("drafting") > 1);
}

// Guards against exit codes by which a script can't tell a wrong command line,
// an unreachable node and an unknown outcome apart.
BOOST_AUTO_TEST_CASE(exit_codes)
{
    for (const auto& args :
         {words{}, words{"sing"}, words{"services"}, words{"services", "get"},
          words{"status", "--no-such-option"}, words{"zones", "withdraw"}})
        BOOST_TEST(run(args).code == 2);
    BOOST_TEST(run({"--help"}).code == 0);
    BOOST_TEST(run({"status"}, "", "token").code == 2);

    const std::string nobody = "127.0.0.1:1";
    const auto unreachable =
        run({"status"}, nobody, process_fleet::operator_token);
    BOOST_TEST(unreachable.code == 3);
    BOOST_TEST(contains(unreachable.err, "no node reachable"));
    BOOST_TEST(run({"zones", "withdraw", "zone-0"}, nobody,
                   process_fleet::operator_token)
                   .code == 3);
    // The next address is used.
    BOOST_TEST(run({"status"}, nobody + "," + fleet.node_address(1),
                   process_fleet::operator_token)
                   .code == 0);

    fleet.freeze_node(0);
    const auto unknown =
        run({"zones", "withdraw", "zone-0", "--timeout-ms", "300"});
    fleet.resume_node(0);
    BOOST_TEST(unknown.code == 4);
    BOOST_TEST(contains(unknown.err, "--change-id"));
}

BOOST_AUTO_TEST_SUITE_END()
