#include "gateway/gateway_metrics.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace galenapulley;

BOOST_AUTO_TEST_CASE(accounts_are_listed_for_operators)
{
    counters registry;
    gateway_metrics metrics(registry);
    const auto empty = nlohmann::json::parse(metrics.accounts());
    BOOST_TEST(empty.at("accounts").empty());
    metrics.set_accounts({{.service = "s",
                           .account = "a\xff",
                           .share = 0.25,
                           .use = 2.0 / 3,
                           .use_ms = 1234.5,
                           .waiting = 3,
                           .limited = true,
                           .refused = {{"overloaded", 2}}}});
    const auto out = nlohmann::json::parse(metrics.accounts());
    const auto& row = out.at("accounts").at(0);
    BOOST_TEST(row.at("service") == "s");
    BOOST_TEST(row.at("share_percent") == 25.0);
    BOOST_TEST(row.at("use_percent") == 66.7);
    BOOST_TEST(row.at("waiting") == 3);
    BOOST_TEST(row.at("limited") == true);
    BOOST_TEST(row.at("refused").at(0) == "overloaded=2");
}

// Guards against names of gauges that shift when one is added.
BOOST_AUTO_TEST_CASE(gauges_have_their_names)
{
    counters registry;
    gateway_metrics metrics(registry);
    metrics.set(gauge::limited_accounts, 4);
    metrics.set(gauge::log_lines_dropped, 5);
    const auto out = nlohmann::json::parse(metrics.status());
    BOOST_TEST(out.at("limited_accounts") == 4);
    BOOST_TEST(out.at("log_lines_left_out") == 5);
}
