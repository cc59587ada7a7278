#include "platform_format.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace galenapulley;
using galenapulley::platform::platform_format;

namespace
{

header_list sample()
{
    return {{"Host", "a.example"},
            {"Galenapulley-Attempt-Id", "9c41"},
            {"Galenapulley-Token-Usage", "1460,80"},
            {"Galenapulley-Deadline-Ms", "10000"},
            {"X-Api-Key", "secret"},
            {"X-Note", "one"},
            {"x-note", "two"},
            {"Connection", "keep-alive, X-Hop"},
            {"X-Hop", "mine"},
            {"galenapulley-tenant", "forged"},
            {"Galenapulley-Expect-Instance", "forged"},
            {"Galenapulley-Helpers", "10.0.0.9:1"},
            {"Last-Event-Id", "12"}};
}

std::size_t count(const header_list& headers, const std::string& name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const auto& it) { return it.first == name; }));
}

std::string value(const header_list& headers, const std::string& name)
{
    for (const auto& it : headers)
        if (it.first == name)
            return it.second;
    return "(none)";
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_read)
{
    const auto metadata = platform_format().read_request(sample());
    BOOST_TEST_REQUIRE(metadata.ok());
    BOOST_TEST(metadata->attempt == "9c41");
    BOOST_TEST(metadata->prompt_tokens == 1460);
    BOOST_TEST(metadata->max_output_tokens == 80);
    BOOST_TEST(*metadata->deadline == 10'000);
    BOOST_TEST(metadata->api_key == "secret");
    BOOST_TEST(*metadata->last_event == 12U);
}

BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused)
{
    const platform_format format;
    BOOST_TEST(!format.read_request({}).ok());
    auto twice = sample();
    twice.emplace_back("galenapulley-attempt-id", "other");
    BOOST_TEST(!format.read_request(twice).ok());
    auto keys = sample();
    keys.emplace_back("x-api-key", "other");
    BOOST_TEST(!format.read_request(keys).ok());
    auto deadline = sample();
    deadline[3].second = "soon";
    BOOST_TEST(!format.read_request(deadline).ok());
}

// Guards against a client that claims another account or chooses the endpoints
// itself, and against forwarding its API key.
BOOST_AUTO_TEST_CASE(reserved_headers_of_clients_are_not_forwarded)
{
    const auto headers = platform_format().endpoint_headers(
        sample(), {.endpoint = "i-1", .account = "club", .time_left = 900});
    BOOST_TEST(count(headers, "X-Api-Key") == 0U);
    BOOST_TEST(count(headers, "galenapulley-tenant") == 0U);
    BOOST_TEST(value(headers, "Galenapulley-Tenant") == "club");
    BOOST_TEST(value(headers, "Galenapulley-Expect-Instance") == "i-1");
    BOOST_TEST(value(headers, "Galenapulley-Deadline-Ms") == "900");
    BOOST_TEST(count(headers, "Galenapulley-Helpers") == 0U);
    BOOST_TEST(count(headers, "X-Hop") == 0U);
    BOOST_TEST(count(headers, "Connection") == 0U);
    BOOST_TEST(value(headers, "Last-Event-Id") == "12");
    BOOST_TEST(value(headers, "X-Note") == "one");
    BOOST_TEST(value(headers, "x-note") == "two");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_names_its_last_event_and_helpers)
{
    const auto headers = platform_format().endpoint_headers(
        sample(), {.endpoint = "i-1",
                   .time_left = 900,
                   .last_event = 40,
                   .helpers = {{"10.0.0.2:80", ""}, {"10.0.0.3:80", "t1"}}});
    BOOST_TEST(value(headers, "Last-Event-Id") == "40");
    BOOST_TEST(count(headers, "Last-Event-Id") == 1U);
    BOOST_TEST(value(headers, "Galenapulley-Helpers") ==
               "10.0.0.2:80,10.0.0.3:80/t1");
    BOOST_TEST(count(headers, "Galenapulley-Tenant") == 0U);
}

// Guards against reporting "not run" for a request that ran: only these
// responses prove it.
BOOST_AUTO_TEST_CASE(only_some_responses_prove_that_nothing_ran)
{
    const platform_format format;
    const header_list proof{{"Galenapulley-Not-Executed", "1"}};
    BOOST_TEST(format.read_response(503, proof).not_run);
    BOOST_TEST(!format.read_response(503, {}).not_run);
    BOOST_TEST(!format.read_response(500, proof).not_run);
    BOOST_TEST(!format.read_response(200, proof).not_run);
    BOOST_TEST(format.read_response(421, {}).replaced);
    BOOST_TEST(format.read_response(200, {{"Galenapulley-Server-Seal", "x"}})
                   .is_signed);
}

BOOST_AUTO_TEST_CASE(directory_queries_and_responses_use_the_platforms_format)
{
    const platform_format format;
    const auto query = format.read_directory_query(
        "/galenapulley/resolve?Name=a.example&Region=r&Zone=east");
    BOOST_TEST_REQUIRE(query.has_value());
    BOOST_TEST(query->failure_domain == "east");
    BOOST_TEST(!format.read_directory_query("/other").has_value());
    BOOST_TEST(format.directory_response({"10.0.0.1:80"}, 2000) ==
               R"({"Addresses":["10.0.0.1:80"],"TtlS":2.0})");
    BOOST_TEST(format.is_ready_check("/galenapulley/ready"));
    BOOST_TEST(!format.is_ready_check("/galenapulley/readyx"));
}

// Guards against memory that is reserved under a wrong name or at another
// incarnation, where it would never be released.
BOOST_AUTO_TEST_CASE(orders_about_memory_name_endpoint_and_reservation)
{
    const platform_format format;
    memory_order order{.reservation = "r1",
                       .tokens = 1200.4,
                       .ttl = 3000,
                       .endpoint = "i-1",
                       .address = "10.0.0.1:80"};
    const auto taken = format.order_text(order);
    BOOST_TEST(taken.find("POST /galenapulley/order HTTP/1.1\r\n") == 0U);
    BOOST_TEST(taken.find("Galenapulley-Expect-Instance: i-1\r\n") !=
               std::string::npos);
    BOOST_TEST(taken.find(R"("Op":"reserve")") != std::string::npos);
    BOOST_TEST(taken.find(R"("Tokens":1201)") != std::string::npos);
    BOOST_TEST(taken.find(R"("HoldMs":3000)") != std::string::npos);
    order.tokens = 0;
    const auto given = format.order_text(order);
    BOOST_TEST(given.find(R"({"Id":"r1","Op":"release"})") !=
               std::string::npos);
}

// Guards against reporting "refused" for an order that may still be carried
// out.
BOOST_AUTO_TEST_CASE(only_definite_responses_to_orders_are_refusals)
{
    const platform_format format;
    BOOST_TEST((format.read_order_response(200) == order_result::done));
    BOOST_TEST((format.read_order_response(409) == order_result::refused));
    BOOST_TEST((format.read_order_response(421) == order_result::refused));
    BOOST_TEST((format.read_order_response(500) == order_result::unclear));
    BOOST_TEST((format.read_order_response(503) == order_result::unclear));
}

// The last part of a prompt belongs to the request alone.
BOOST_AUTO_TEST_CASE(shared_parts_are_read_without_the_last_one)
{
    const platform_format format;
    const auto parts_of = [&](const std::string& text)
    {
        const auto metadata =
            format.read_request({{"Galenapulley-Attempt-Id", "t1"},
                                 {"Galenapulley-Prompt-Prefix", text}});
        BOOST_TEST_REQUIRE(metadata.ok());
        return metadata->shared_parts;
    };
    const auto parts = parts_of("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    BOOST_TEST_REQUIRE(parts.size() == 2U);
    BOOST_TEST(parts[0].id == 0x5c1e07a2U);
    BOOST_TEST(parts[1].id == 0x91bd3f06U);
    BOOST_TEST(parts[1].position == 1U);
    BOOST_TEST(parts[0].tokens == 800U);
    BOOST_TEST(parts[1].tokens == 410U);
    for (const auto* const text :
         {"a,b", "a:,b", "a:-1,b", "a:x,b", "a,b:7", "a:99999999999,b"})
        BOOST_TEST(parts_of(text).front().tokens == 0U);
    BOOST_TEST(parts_of("e4402b7d:250").empty());
    BOOST_TEST(parts_of("").empty());
    BOOST_TEST(parts_of("not hexadecimal,,").size() == 2U);
    std::string many;
    for (int n = 0; n < 1000; ++n)
        many += std::to_string(n) + ":1,";
    BOOST_TEST(parts_of(many).size() <= 16U);
}

BOOST_AUTO_TEST_CASE(a_rate_limit_is_read_if_it_is_valid)
{
    const platform_format format;
    const auto limit_in = [&](const std::string& text)
    {
        return format.read_response(200, {{"server-limit", text}})
            .announcement.rate_limit;
    };
    BOOST_TEST((limit_in("2.25") == 2.25));
    BOOST_TEST((limit_in("0") == 0.0));
    for (const auto* const text : {"", "-1", "nan", "inf", "many"})
        BOOST_TEST(!limit_in(text).has_value());
    const auto none = format.read_response(200, {}).announcement;
    BOOST_TEST(!none.rate_limit.has_value());
}

BOOST_AUTO_TEST_CASE(a_retry_after_is_read_if_it_is_valid)
{
    const platform_format format;
    const auto pause_in = [&](int status, const header_list& headers)
    {
        return format.read_response(status, headers).announcement.retry_after;
    };
    BOOST_TEST((pause_in(503, {{"retry-after", "2"}}) == 2000));
    BOOST_TEST((pause_in(503, {{"Retry-After", "0.25"}}) == 250));
    BOOST_TEST((pause_in(503, {{"Retry-After", "0"}}) == 0));
    const std::string many_digits(400, '9');
    BOOST_TEST(*pause_in(503, {{"Retry-After", many_digits}}) > 0);
    for (const auto* const text : {"", "-1", "+1", "nan", "inf", "1e3", "1.2.3",
                                   "soon", "Fri, 04 Dec 2026 10:00:00 GMT"})
        BOOST_TEST(!pause_in(503, {{"Retry-After", text}}).has_value());
    const header_list twice{{"Retry-After", "1"}, {"Retry-After", "3"}};
    BOOST_TEST((pause_in(503, twice) == 3000));
    BOOST_TEST(!pause_in(503, {}).has_value());
    for (const int status : {200, 421, 429, 500})
        BOOST_TEST(!pause_in(status, {{"Retry-After", "2"}}).has_value());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_is_noticed)
{
    const platform_format format;
    const auto leaves = [&](int status, const header_list& headers)
    {
        return format.read_response(status, headers).announcement.leaving;
    };
    for (const int status : {200, 421, 503})
        BOOST_TEST(leaves(status, {{"server-leaving", "1"}}));
    for (const auto* const text : {"", "0", "yes", "2"})
        BOOST_TEST(!leaves(200, {{"Server-Leaving", text}}));
    BOOST_TEST(!leaves(200, {}));
}

// Guards against a request that reaches another node with the deadline or the
// progress that it had at first.
BOOST_AUTO_TEST_CASE(a_request_for_another_node_has_its_current_metadata)
{
    const platform_format format;
    const header_list client{
        {"Host", "h"},
        {"X-Api-Key", "k"},
        {"Galenapulley-Attempt-Id", "t"},
        {"Galenapulley-Deadline-Ms", "9000"},
        {"Last-Event-Id", "2"},
        {"Gateway-Relayed-Runs", "7"},
        {"Connection", "close"},
    };
    const auto out = format.relay_headers(
        client, {.time_left = 1200, .runs = 1, .last_event = 5});
    const header_list expected{
        {"Host", "h"},
        {"X-Api-Key", "k"},
        {"Galenapulley-Attempt-Id", "t"},
        {"Galenapulley-Deadline-Ms", "1200"},
        {"Gateway-Relayed-Runs", "1"},
        {"Last-Event-Id", "5"},
    };
    BOOST_TEST((out == expected));
    const auto read = format.read_request(out);
    BOOST_TEST_REQUIRE(read.ok());
    BOOST_TEST((read->relayed_runs == 1U));
    BOOST_TEST((read->deadline == 1200));
    BOOST_TEST((read->last_event == 5U));
    BOOST_TEST(read->api_key == "k");
}
