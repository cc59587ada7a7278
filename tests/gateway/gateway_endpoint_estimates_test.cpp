#include "ctl/ctl.hpp"
#include "gateway/one_gateway.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr int requests = 40;
/// Time in which an endpoint's time out ends and trials follow.
constexpr msec reinstatement_limit = 30'000;

/// A gateway with four endpoints, of which the first fails all requests.
struct failing_endpoint
{
    store_standin store;
    std::vector<std::unique_ptr<endpoint_standin>> endpoints;
    std::unique_ptr<gateway_process> gateway;
    int sent = 0;

    failing_endpoint()
    {
        store.put("op", "config", sample_configuration(1));
        for (int n = 1; n <= 4; ++n)
            endpoints.push_back(std::make_unique<endpoint_standin>(
                store, "i-" + std::to_string(n), "svc", "east",
                endpoint_behaviour{.status = n == 1 ? 500 : 200}));
    }

    void start_gateway(const std::string& settings)
    {
        gateway.reset();
        gateway = std::make_unique<gateway_process>(
            "n1", "east", store.address(), std::vector<std::string>{},
            settings);
        BOOST_TEST_REQUIRE(gateway->wait_until_ready());
    }

    int call(const std::string& target)
    {
        return gateway
            ->call(sample_request("GET", target, "t" + std::to_string(++sent)))
            .status;
    }

    int served(const std::string& target)
    {
        int out = 0;
        for (int n = 0; n < requests; ++n)
            out += call(target) == 200 ? 1 : 0;
        return out;
    }

    /// State of the first endpoint as an operator sees it.
    std::string state() const
    {
        std::ostringstream out;
        std::ostringstream err;
        run_ctl({"endpoints", "--json", "--node", gateway->metrics_address()},
                out, err);
        const auto body = nlohmann::json::parse(out.str(), nullptr, false);
        for (const auto& it : body.value("endpoints", nlohmann::json::array()))
            if (it.at("endpoint") == "i-1")
                return it.at("state").get<std::string>();
        return "(none)";
    }

    bool becomes(const std::string& expected, msec limit = 5000)
    {
        return eventually(
            [&]
            {
                call("/i/x");
                return state() == expected;
            },
            limit);
    }
};

} // namespace

// Guards against an endpoint that passes all checks and fails the calls which
// must not be sent again, and against one that is avoided for ever.
BOOST_FIXTURE_TEST_CASE(a_failing_endpoint_gets_no_calls_until_trials_succeed,
                        failing_endpoint)
{
    start_gateway(R"({"endpoint_estimates":true})");
    BOOST_TEST_REQUIRE(becomes("ejected"));
    BOOST_TEST(served("/n/x") == requests);
    BOOST_TEST(eventually(
        [&]
        {
            return gateway->metrics().find(
                       "galenapulley_endpoints_ejected 1") != std::string::npos;
        }));
    endpoints.front()->set({});
    BOOST_TEST(becomes("in_use", reinstatement_limit));
    const auto log = gateway->log();
    BOOST_TEST(log.find("\"endpoint_ejected\"") != std::string::npos);
    BOOST_TEST(log.find("\"endpoint_reinstated\"") != std::string::npos);
    BOOST_TEST(served("/n/x") == requests);
}

// Guards against estimates that outlive the process in which they were made:
// a node that starts again knows nothing and serves.
BOOST_FIXTURE_TEST_CASE(a_restarted_node_starts_without_estimates,
                        failing_endpoint)
{
    start_gateway(R"({"endpoint_estimates":true})");
    BOOST_TEST_REQUIRE(becomes("ejected"));
    endpoints.front()->set({});
    start_gateway(R"({"endpoint_estimates":true})");
    BOOST_TEST(served("/n/x") == requests);
    BOOST_TEST(becomes("in_use"));
}

// Guards against estimates where the operator has not asked for them.
BOOST_FIXTURE_TEST_CASE(without_the_setting_nothing_is_ejected,
                        failing_endpoint)
{
    start_gateway("{}");
    served("/i/x");
    BOOST_TEST(served("/n/x") < requests);
    BOOST_TEST(state() == "(none)");
}
