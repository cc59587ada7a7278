#include "gateway/one_gateway.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;
namespace data = boost::unit_test::data;

namespace
{

/// Statuses that tell a client that its request has not run. 421 isn't among
/// them: from an endpoint it is a proof.
const std::vector<int> refusals{408, 429, 503};

bool has_counted_refusal(const gateway_process& gateway)
{
    return gateway.metrics().find(
               "galenapulley_endpoint_calls_total{outcome=\"unproven_refusal\"}"
               " 1") != std::string::npos;
}

} // namespace

// Guards against "not run" for a request that an endpoint has run: the client
// repeats it, and it runs twice.
BOOST_DATA_TEST_CASE_F(one_gateway, an_unsafe_request_that_ran_is_not_refused,
                       data::make(refusals) * data::make({true, false}), status,
                       is_signed)
{
    set_both({.status = status, .is_signed = is_signed, .body = "try again"});
    const auto response = gateway->call(sample_request("POST", "/n/x", "t1"));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(response.header("Galenapulley-Server-Seal") == "(none)");
    BOOST_TEST(response.header("Retry-After") == "(none)");
    BOOST_TEST(response.body.find("may_have_run") != std::string::npos);
    BOOST_TEST(runs() == 1U);
    BOOST_TEST(has_counted_refusal(*gateway));
    const auto end_line = "\"endpoint_status\":" + std::to_string(status);
    BOOST_TEST(eventually(
        [&] { return gateway->log().find(end_line) != std::string::npos; }));
}

// Guards against the same where the refusal follows a proven one.
BOOST_DATA_TEST_CASE(an_unsafe_request_refused_and_then_run_is_not_refused,
                     data::make(refusals) * data::make({true, false}), status,
                     is_signed)
{
    auto configuration = nlohmann::json::parse(sample_configuration(1));
    configuration["Routes"][2]["MaxAttempts"] = 2;
    one_gateway fleet(configuration.dump());
    fleet.east.set({.refuses_requests = true});
    fleet.west.set({.status = status, .is_signed = is_signed});
    const auto response =
        fleet.gateway->call(sample_request("POST", "/n/x", "t1"));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(fleet.arrivals() == 2U);
    BOOST_TEST(fleet.runs() == 1U);
}

// Guards against "not run" by the last of several attempts, of which an earlier
// one may have run.
BOOST_FIXTURE_TEST_CASE(a_refusal_after_a_lost_response_is_not_passed_on,
                        one_gateway)
{
    east.set({.closes_connection = true});
    west.set({.refuses_requests = true});
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "t1")).status ==
               502);
    BOOST_TEST(east.runs() == 1U);
    BOOST_TEST(west.received().size() > 0U);
}

// Guards against the same for an endpoint that is slow to end its response: the
// client gets its error without the rest.
BOOST_FIXTURE_TEST_CASE(an_endless_refusal_is_not_waited_for, one_gateway)
{
    set_both({.status = 503, .endless = endless_part::body});
    const boot_time_clock time;
    const auto begin = time.now();
    const auto response = gateway->call(sample_request("POST", "/n/x", "t1"));
    BOOST_TEST(response.status == 502);
    BOOST_TEST(time.now() - begin < 1000);
    BOOST_TEST(runs() == 1U);
}

// Guards against an earlier refusal that a faulty endpoint sends once more and
// that is taken for the response to a request that it runs.
BOOST_FIXTURE_TEST_CASE(a_refusal_of_another_attempt_proves_nothing,
                        one_gateway)
{
    set_both({.refuses_requests = true, .refused_attempt = "t0"});
    BOOST_TEST(gateway->call(sample_request("POST", "/n/x", "t1")).status ==
               502);
    BOOST_TEST(arrivals() == 1U);
    set_both({.refuses_requests = true, .refused_attempt = "t2"});
    const auto refused = gateway->call(sample_request("POST", "/n/y", "t2"));
    BOOST_TEST((refused.status == 429 || refused.status == 503));
}

// What may be repeated is retried elsewhere, and gets the endpoint's own
// response only if that fails, too.
BOOST_DATA_TEST_CASE_F(one_gateway, a_refused_idempotent_request_is_retried,
                       data::make(refusals), status)
{
    east.set({.status = status});
    BOOST_TEST(gateway->call(sample_request("GET", "/i/x", "t1")).status ==
               200);
    set_both({.status = status, .body = "try again"});
    for (const auto* const target : {"/i/x", "/s/x"})
    {
        const auto before = arrivals();
        const auto response =
            gateway->call(sample_request("POST", target, "t2"));
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.body == "try again");
        BOOST_TEST(response.header("Galenapulley-Server-Seal") != "(none)");
        BOOST_TEST(arrivals() - before == 2U);
    }
}
