#include "galenapulley/error_kind.hpp"
#include "galenapulley/node_settings.hpp"
#include "text_mutator.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using galenapulley::testing::text_mutator;

// Guards against settings that crash the parser, and against accepted settings
// that change when they are formatted and parsed again.
BOOST_AUTO_TEST_CASE(any_bytes_give_settings_or_an_error)
{
    constexpr int rounds = 20'000;
    const std::string hash(64, 'a');
    const auto base =
        R"({"node":"n1","zone":"ub-east","machine":"vm-1","listen":"127.0.0.1:8001","peer":"127.0.0.1:7001","platform":"127.0.0.1:6000","seeds":["127.0.0.1:7002"],"workers":2,"teams":[{"name":"tuul-gate","token_sha256":")" +
        hash + R"("}],"operators":[],"lease_ttl_ms":6000,"log_level":"info"})";
    text_mutator texts(20261204, {base});
    int accepted = 0;
    for (int n = 0; n < rounds; ++n)
    {
        const auto parsed = parse_node_settings(texts.next());
        if (parsed.ok())
        {
            ++accepted;
            const auto written = format_node_settings(*parsed);
            const auto again = parse_node_settings(written);
            BOOST_REQUIRE(again.ok());
            BOOST_REQUIRE(format_node_settings(*again) == written);
            continue;
        }
        BOOST_REQUIRE(
            (kind_of(parsed.status()) == error_kind::invalid_document));
        BOOST_REQUIRE(nlohmann::json::accept(error_body(parsed.status())));
    }
    BOOST_TEST(accepted > 100);
}
