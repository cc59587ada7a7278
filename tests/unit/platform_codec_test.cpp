#include "platform_codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using galenapulley::platform::platform_codec;

namespace
{

cluster_rows operations(const std::string& configuration)
{
    cluster_rows rows;
    rows.replace({{.key = "config", .value = configuration, .version = 3},
                  {.key = "evacuate/east", .value = "{}", .version = 4}},
                 {.number = 5});
    return rows;
}

constexpr const char* configuration =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"a.example","Prefix":"/x/",
"Kind":"streaming","TimeoutMs":9000,"TargetLatencyMs":300,"Priority":1,
"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],
"MaxAttempts":2,"Resumable":true,"GapAimMs":250}],
"Services":[{"Name":"s","ColdPerS":36.0,"Engine":{"Slots":16,
"KvCapacityTokens":405000,"read_per_s":154000.0,"Stride":34,"chunk":2048}}],
"Limits":{"MaxHeaderBytes":1000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"club","ApiKeys":["k"],"Priority":0}]})";

} // namespace

BOOST_AUTO_TEST_CASE(a_configuration_is_read)
{
    const auto table = platform_codec().read_routing(operations(configuration));
    BOOST_TEST_REQUIRE(table.ok());
    const auto* const found_route = (*table)->find("a.example", "/x/1");
    BOOST_TEST_REQUIRE(found_route != nullptr);
    BOOST_TEST(found_route->timeout == 9000);
    BOOST_TEST(found_route->retryable());
    BOOST_TEST(found_route->services.size() == 2U);
    const auto* const service = (*table)->service("s");
    BOOST_TEST(service->cold_rate == 36);
    BOOST_TEST(service->engine->prefill_tokens_per_ms == 154);
    BOOST_TEST(*(*table)->account_of("k")->priority == 0);
    BOOST_TEST((*table)->limits().header_bytes == 1000U);
}

// Guards against a retry of a request whose kind this version doesn't know.
BOOST_AUTO_TEST_CASE(an_unknown_kind_is_never_retried)
{
    std::string text(configuration);
    text.replace(text.find("streaming"), 9, "something");
    const auto table = platform_codec().read_routing(operations(text));
    BOOST_TEST_REQUIRE(table.ok());
    BOOST_TEST(!(*table)->find("a.example", "/x/1")->retryable());
}

BOOST_AUTO_TEST_CASE(a_configuration_that_cannot_be_read_is_reported)
{
    BOOST_TEST(!platform_codec().read_routing(operations("{")).ok());
    BOOST_TEST(!platform_codec()
                    .read_routing(operations(R"({"Version":1,
"Routes":[{"Name":"r"}]})"))
                    .ok());
    BOOST_TEST(*platform_codec().read_routing(cluster_rows()) == nullptr);
}

BOOST_AUTO_TEST_CASE(withdrawn_domains_are_read)
{
    const auto names = platform_codec().read_withdrawn(operations("{}"));
    BOOST_TEST(names.size() == 1U);
    BOOST_TEST(names.contains("east"));
}

// Guards against requests to endpoints from invalid rows of other writers.
BOOST_AUTO_TEST_CASE(invalid_entries_are_skipped)
{
    const std::string good =
        R"({"Service":"s","Address":"10.0.0.1:80","Zone":"east","Slots":16,
"State":"ready","ColdRemainingMs":1200,"born":5})";
    const auto changed = [&](const std::string& from, const std::string& to)
    {
        auto text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    cluster_rows rows;
    rows.replace(
        {{.key = "a", .value = good, .version = 1},
         {.key = "b", .value = "\xff\x01", .version = 1},
         {.key = "c", .value = changed("ready", "tired"), .version = 1},
         {.key = "d", .value = changed("16", "\"16\""), .version = 1},
         {.key = "e",
          .value = changed("\"Zone\":\"east\",", ""),
          .version = 1}},
        {.number = 2});
    std::size_t invalid = 0;
    const auto endpoints = platform_codec().read_endpoints(rows, invalid);
    BOOST_TEST_REQUIRE(endpoints.size() == 1U);
    BOOST_TEST(invalid == 4U);
    BOOST_TEST(endpoints[0].id == "a");
    BOOST_TEST(endpoints[0].cold_remaining == 1200);
    BOOST_TEST(endpoints[0].started_at == 5);
}

// Guards against a declaration that makes the entry unusable if it is invalid,
// and against one that is made up for an endpoint that declares nothing.
BOOST_AUTO_TEST_CASE(retained_prefixes_are_read_if_they_are_valid)
{
    const auto read = [](const std::string& more)
    {
        cluster_rows rows;
        rows.replace({{.key = "a",
                       .value = R"({"Service":"s","Address":"10.0.0.1:80",
"Zone":"east","Slots":16,"State":"ready")" +
                                more + "}",
                       .version = 1}},
                     {.number = 2});
        std::size_t invalid = 0;
        const auto endpoints = platform_codec().read_endpoints(rows, invalid);
        BOOST_TEST_REQUIRE(endpoints.size() == 1U);
        return endpoints[0];
    };
    const auto good =
        read(R"(,"RetainedTokens":90000,"RetainMs":30000,"Version":"v1")");
    BOOST_TEST_REQUIRE(good.retention.has_value());
    BOOST_TEST(good.retention->tokens == 90'000);
    BOOST_TEST(good.retention->time == 30'000);
    BOOST_TEST(good.weights != read(R"(,"Version":"v2")").weights);
    BOOST_TEST(good.weights == read(R"(,"Version":"v1")").weights);
    for (const auto* const it :
         {"", R"(,"Version":1)", R"(,"RetainedTokens":90000)",
          R"(,"RetainMs":30000)", R"(,"RetainedTokens":0,"RetainMs":1)",
          R"(,"RetainedTokens":-1,"RetainMs":1)",
          R"(,"RetainedTokens":1,"RetainMs":0)",
          R"(,"RetainedTokens":"9","RetainMs":1)",
          R"(,"RetainedTokens":1.5,"RetainMs":1)",
          R"(,"RetainedTokens":1e300,"RetainMs":1)",
          R"(,"RetainedTokens":18446744073709551615,"RetainMs":1)",
          R"(,"RetainedTokens":[1],"RetainMs":{})"})
        BOOST_TEST(!read(it).retention.has_value());
}
