#include "gateway/one_gateway.hpp"

#include <nlohmann/json.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr const char* placements =
    "galenapulley_prefix_placements_total{prefix=\"retained\"} ";

/// A gateway whose endpoints are engines; those in the domain east may declare
/// that they retain prefixes.
struct gateway_with_engines : one_gateway
{
    gateway_with_engines() : one_gateway(sample_configuration(1, "", 400'000))
    {
        set_both({.events = 3});
    }

    void declare(const nlohmann::json& tokens)
    {
        store.put("servers", east.id(),
                  nlohmann::json{{"Service", "svc"},
                                 {"Address", east.address()},
                                 {"Zone", "east"},
                                 {"Version", "v1"},
                                 {"Slots", 4},
                                 {"State", "ready"},
                                 {"ColdRemainingMs", 0},
                                 {"Sequence", 2},
                                 {"born", 1},
                                 {"RetainedTokens", tokens},
                                 {"RetainMs", 60'000}}
                      .dump());
        west.register_entry("draining");
        pause_for(500);
    }

    int ask() const
    {
        return gateway
            ->call(sample_request(
                "POST", "/s/x", "t", "prompt",
                "Galenapulley-Token-Usage: 4000,100\r\n"
                "Galenapulley-Prompt-Prefix: a1:2000,b2:1500,c3:500\r\n"))
            .status;
    }

    bool logs(const std::string& text) const
    {
        return eventually(
            [&] { return gateway->log().find(text) != std::string::npos; });
    }
};

} // namespace

// Guards against a declaration that doesn't reach placement: the second request
// with the same parts needs no prefill of 3500 tokens.
BOOST_FIXTURE_TEST_CASE(a_declared_prefix_is_used, gateway_with_engines)
{
    declare(100'000);
    BOOST_TEST(ask() == 200);
    BOOST_TEST(ask() == 200);
    BOOST_TEST(logs("\"retained_tokens\":3500"));
    const auto metrics = gateway->metrics();
    BOOST_TEST(metrics.find(std::string(placements) + "1") !=
               std::string::npos);
    BOOST_TEST(metrics.find("galenapulley_prefix_tokens_total{prefix="
                            "\"retained\"} 3500") != std::string::npos);
}

// Guards against an invalid declaration that takes the endpoint out of use, or
// that is believed.
BOOST_FIXTURE_TEST_CASE(an_invalid_declaration_changes_nothing,
                        gateway_with_engines)
{
    declare("many");
    BOOST_TEST(ask() == 200);
    BOOST_TEST(ask() == 200);
    BOOST_TEST(east.received().size() == 2U);
    BOOST_TEST(gateway->metrics().find(std::string(placements) + "0") !=
               std::string::npos);
}
