#include "galenapulley/node_settings.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace galenapulley;
using nlohmann::json;

namespace
{

json sample_settings()
{
    auto it = json::parse(R"({"node":"n1","zone":"ub-east","machine":"vm-1",
      "listen":"127.0.0.1:8001","peer":"127.0.0.1:7001",
      "platform":"127.0.0.1:6000","teams":[],"operators":[]})");
    it["teams"] = {
        {{"name", "tuul-gate"}, {"token_sha256", std::string(64, '1')}}};
    return it;
}

} // namespace

// Guards against defaults that differ from the documented ones.
BOOST_AUTO_TEST_CASE(optional_settings_have_their_defaults)
{
    const auto parsed = parse_node_settings(sample_settings().dump());
    BOOST_TEST_REQUIRE(parsed.ok(), parsed.status().message());
    BOOST_TEST(parsed->workers == 2U);
    BOOST_TEST(parsed->lease_ttl == 6000);
    BOOST_TEST(parsed->lease_renew == 2000);
    BOOST_TEST(parsed->engine_poll == 500);
    BOOST_TEST(parsed->drain == 12'000);
    BOOST_TEST(parsed->view_max_age == 5000);
    BOOST_TEST(parsed->seeds.empty());
    const auto text = format_node_settings(*parsed);
    const auto again = parse_node_settings(text);
    BOOST_TEST_REQUIRE(again.ok(), again.status().message());
    BOOST_TEST(format_node_settings(*again) == text);
}

// Guards against invalid settings with which a node would start and fail later.
BOOST_AUTO_TEST_CASE(errors_name_the_invalid_field)
{
    const auto check =
        [](const char* key, const json& value, const char* expected)
    {
        auto document = sample_settings();
        document[key] = value;
        const auto parsed = parse_node_settings(document.dump());
        const std::string message(parsed.status().message());
        BOOST_TEST(message.find(expected) != std::string::npos,
                   key << ": " << message);
    };
    check("listen", "0.0.0.0", "listen: \"0.0.0.0\"");
    check("peer", "127.0.0.1:8001", "an address other than listen");
    check("lease_renew_ms", 3001, "at most half of lease_ttl_ms");
    check("log_level", "loud", "log_level: \"loud\"");
    check("seeds", {"x"}, "seeds[0]: \"x\"");
    check("unknown", 1, "unknown: 1");
    check("operators",
          {{{"name", "ops"}, {"token_sha256", std::string(64, '1')}}},
          "a token that no other account has");
}
