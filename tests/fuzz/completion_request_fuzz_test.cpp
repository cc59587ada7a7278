#include "galenapulley/error_kind.hpp"
#include "node/completion_request.hpp"
#include "node/http_server.hpp"
#include "text_mutator.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using galenapulley::testing::text_mutator;

// Guards against request bytes that terminate the node by an exception of the
// parser, errors without a valid JSON body, and accepted requests without a
// prompt.
BOOST_AUTO_TEST_CASE(any_bytes_give_a_request_or_an_error)
{
    constexpr int rounds = 50'000;
    text_mutator bodies(
        20261204,
        {R"({"model":"drafter","prompt":"hello","max_tokens":8,"stream":true})",
         R"({"prompt":"\u00e9\ud83d\ude00\n","model":"m"})",
         R"({"model":"m","prompt":"p","stream":false,"max_tokens":1000000})"});
    text_mutator headers(7, {"Bearer token", "1000", ""});
    int accepted = 0;
    for (int n = 0; n < rounds; ++n)
    {
        http_request request;
        request.body = bodies.next();
        request.headers["authorization"] = headers.next();
        if (bodies.below(4) == 0)
            request.headers["x-deadline-ms"] = headers.next();
        const auto parsed = parse_completion_request("drafting", request);
        if (parsed.ok())
        {
            ++accepted;
            BOOST_REQUIRE(!parsed->prompt.empty());
            BOOST_REQUIRE(parsed->max_tokens <= 1'000'000U);
            BOOST_REQUIRE(parsed->deadline.value_or(1) > 0);
            continue;
        }
        BOOST_REQUIRE((kind_of(parsed.status()) == error_kind::bad_request));
        BOOST_REQUIRE(nlohmann::json::accept(error_body(parsed.status())));
    }
    // With invalid inputs only, the values above would not be checked.
    BOOST_TEST(accepted > 100);
    BOOST_TEST(accepted < rounds / 2);
}
