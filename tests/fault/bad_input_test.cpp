#include "support/process_fleet.hpp"

#include <boost/process.hpp>
#include <boost/test/unit_test.hpp>

#include "../unit/raw_sockets.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace galenapulley;
using namespace galenapulley::testing;
using nlohmann::json;
namespace bp = boost::process;

namespace
{

using headers = std::map<std::string, std::string>;

const std::string completions = "/services/drafting/v1/completions";
const std::string adjustments = "/services/records/call/gate-adjustments";

/// All cases share one node, since a start takes seconds.
process_fleet& shared_fleet()
{
    static process_fleet fleet(
        {.zones = 1,
         .engines_per_zone = 1,
         .engine_args = {"--time-scale", "20", "--warm-after-s", "1"}});
    static const bool installed = (fleet.install(), true);
    static_cast<void>(installed);
    return fleet;
}

struct fixture
{
    static headers with(const std::string& token, headers more = {})
    {
        if (!token.empty())
            more["Authorization"] = "Bearer " + token;
        return more;
    }

    http_result post(const std::string& path, const std::string& body,
                     headers more = with(process_fleet::customer_token))
    {
        return fleet.call("POST", fleet.node_address(0), path, body,
                          std::move(more));
    }

    /// Checks that the node returned this error without running the call, and
    /// that it still serves requests.
    void check(const http_result& result, int status, const std::string& kind,
               const std::string& part = "")
    {
        BOOST_TEST_CONTEXT(kind << ": " << result.body.substr(0, 300))
        {
            BOOST_TEST(result.status == status);
            BOOST_TEST(error_field(result, "kind") == kind);
            BOOST_TEST(error_field(result, "ran") == "not_run");
            BOOST_TEST(error_field(result, "message").find(part) !=
                       std::string::npos);
        }
        check_serving();
    }

    void check_serving()
    {
        const auto prompt = make_prompt(10, ++served);
        BOOST_TEST(completion_text(fleet.complete(0, prompt, 2)) ==
                   expected_text(prompt, 2));
    }

    process_fleet& fleet = shared_fleet();
    std::uint64_t served = 0;
};

json completion()
{
    return {{"model", "drafter"}, {"prompt", "hello"}, {"max_tokens", 2}};
}

json completion_with(const std::string& field, const json& value)
{
    auto body = completion();
    body[field] = value;
    return body;
}

std::uint16_t port_of(const std::string& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(bad_input, fixture)

// Guards against an invalid completion request that runs, terminates the node,
// or gets an error that does not name the field.
BOOST_AUTO_TEST_CASE(completions_are_checked)
{
    const std::string deep(100'000, '[');
    for (const auto& body :
         {std::string(), std::string("{"), std::string("[]"),
          std::string("\"x\""), completion().dump().substr(0, 20), deep,
          std::string("{\"prompt\":\"\xff\"}")})
        check(post(completions, body), 400, "bad_request", "body");
    check(post(completions, completion_with("colour", 1).dump()), 400,
          "bad_request", "colour");
    for (const auto& it : {json(nullptr), json(1), json("")})
        check(post(completions, completion_with("prompt", it).dump()), 400,
              "bad_request", "prompt");
    for (const auto& it :
         {json(0), json(-1), json(1.5), json("2"), json(1e300), json(5000)})
        check(post(completions, completion_with("max_tokens", it).dump()), 400,
              "bad_request", "max_tokens");
    check(post(completions, completion_with("stream", "yes").dump()), 400,
          "bad_request", "stream");
    check(post(completions, completion_with("model", "none").dump()), 404,
          "unknown_model", "none");
    for (const auto* it : {"0", "-5", "soon", "99999999999999999999"})
        check(
            post(completions, completion().dump(),
                 with(process_fleet::customer_token, {{"x-deadline-ms", it}})),
            400, "bad_request", "x-deadline-ms");
}

// Guards against work for unknown services, routes and client accounts.
BOOST_AUTO_TEST_CASE(names_and_tokens_are_checked)
{
    const auto body = completion().dump();
    for (const auto* token : {"", "wrong", "\xff\xfe"})
        check(post(completions, body, with(token)), 401, "unauthorized");
    check(post("/services/none/v1/completions", body), 404, "unknown_service",
          "none");
    check(post("/services/\xff\xfe/v1/completions", body), 404,
          "unknown_service");
    check(post("/services/none/call/x", body), 404, "unknown_service", "none");
    check(post("/services/records/v1/completions", body), 404, "unknown_route");
    for (const auto* path : {"/", "/services", "/services/drafting", "/none",
                             "/services/records/call", "/\xff"})
        check(post(path, body), 404, "unknown_route");
}

// Guards against a prompt that is longer than the service allows.
BOOST_AUTO_TEST_CASE(long_prompts_are_refused)
{
    const auto document = fleet.drafting_document();
    const auto limit = document.value("max_prompt_tokens", 1'000'000U);
    const auto prompt = make_prompt(limit + 1);
    check(post(completions, completion_with("prompt", prompt).dump()), 413,
          "prompt_too_long", std::to_string(limit));
}

// Guards against a non-idempotent call that runs without a usable key.
BOOST_AUTO_TEST_CASE(plain_calls_are_checked)
{
    check(post(adjustments, "{}"), 400, "missing_idempotency_key");
    check(post(adjustments, "{}",
               with(process_fleet::customer_token,
                    {{"Idempotency-Key", std::string(201, 'k')}})),
          400, "bad_request", "Idempotency-Key");
    check(post("/services/records/call/none", "{}"), 404, "unknown_route");
    check(post(adjustments, "{}", with("wrong", {{"Idempotency-Key", "k"}})),
          401, "unauthorized");
    BOOST_TEST(fleet.stats(fleet.plain_address(0)).at("total_runs") == 0);
    // The key and the body may contain any bytes.
    const auto odd = post(
        adjustments, "\xff",
        with(process_fleet::customer_token, {{"Idempotency-Key", "a/%b"}}));
    BOOST_TEST(odd.status == 200);
    check_serving();
}

// Guards against a call that runs although its body is incomplete.
BOOST_AUTO_TEST_CASE(incomplete_bodies_do_not_run)
{
    const auto started = fleet.engine_total("started");
    for (const auto* path : {completions.c_str(), adjustments.c_str()})
    {
        auto caller = raw::socket::connected(port_of(fleet.node_address(0)));
        caller.send("POST " + std::string(path) +
                    " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
                    process_fleet::customer_token +
                    "\r\nIdempotency-Key: cut\r\nContent-Length: 1000\r\n\r\n" +
                    completion().dump());
        caller = raw::socket();
        check_serving();
    }
    BOOST_TEST(fleet.runs_of("cut") == 0U);
    BOOST_TEST(fleet.engine_total("started") ==
               started + static_cast<std::int64_t>(served));
}

// Guards against invalid operator input that terminates the node.
BOOST_AUTO_TEST_CASE(admin_calls_are_checked)
{
    const auto operator_headers = [](const headers& more)
    {
        return with(process_fleet::operator_token, more);
    };
    for (const auto* id : {"", "\xff", "two words"})
        check(post("/admin/zones/zone-0/withdraw", "",
                   operator_headers({{"x-change-id", id}})),
              400, "bad_request", "x-change-id");
    for (const auto* body :
         {"", "[]", "{\"order\":1}", "{\"order\":\"load_model\",\"model\":1}",
          "{\"order\":\"set_role\",\"role\":\"x\",\"colour\":1}"})
        check(post("/admin/back_ends/e0/orders", body, operator_headers({})),
              400, "bad_request", "body");
    check(fleet.call("PUT", fleet.node_address(0), "/admin/services/drafting",
                     fleet.drafting_document().dump(),
                     operator_headers(
                         {{"x-change-id", "c"}, {"x-expected-version", "x"}})),
          400, "bad_request", "x-expected-version");
}

// Guards against a prompt that reaches the engine altered or makes the request
// body invalid: the node inserts the prompt into that body as text.
BOOST_AUTO_TEST_CASE(prompts_with_special_characters_arrive_unchanged)
{
    for (const std::string& prompt : std::vector<std::string>{
             "\"},\"max_tokens\":1,{\"", "back\\slash\nnew line\ttab \x01 \x7f",
             "\xe9\xad\x9a \xf0\x9f\x90\x9f \xc3\xa9 \xe2\x80\xa8",
             "\\u0041 \\"})
    {
        const auto result = fleet.complete(0, prompt, 2);
        BOOST_TEST(result.status == 200);
        BOOST_TEST((completion_text(result) == expected_text(prompt, 2)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a node that starts with invalid settings, or exits without
// naming the fault.
BOOST_AUTO_TEST_CASE(faulty_settings_are_named)
{
    const auto path =
        std::filesystem::temp_directory_path() /
        ("galenapulley-settings-" + std::to_string(::getpid()) + ".json");
    const auto run = [&](const std::string& text)
    {
        std::ofstream(path) << text;
        bp::ipstream err;
        bp::child child(std::getenv("GALENAPULLEY_BINARY"), "node", "--config",
                        path.string(), bp::std_err > err);
        std::string message(std::istreambuf_iterator<char>(err), {});
        child.wait();
        BOOST_TEST(child.exit_code() == 2);
        return message;
    };
    BOOST_TEST(run("{").find("not valid JSON") != std::string::npos);
    BOOST_TEST(run("{}").find("listen: missing") != std::string::npos);
    BOOST_TEST(run(R"({"colour":1})").find("colour") != std::string::npos);
    std::filesystem::remove(path);
}
