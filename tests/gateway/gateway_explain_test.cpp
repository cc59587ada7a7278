#include "ctl/ctl.hpp"
#include "gateway/one_gateway.hpp"

#include <boost/filesystem.hpp>

#include <fstream>
#include <sstream>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Output of `ctl explain` for a request, from the gateway's log so far.
std::string explain(const gateway_process& gateway, const std::string& request)
{
    const auto file = boost::filesystem::temp_directory_path() /
                      boost::filesystem::unique_path("log-%%%%%%%%");
    std::ofstream(file.string()) << gateway.log();
    std::ostringstream out;
    std::ostringstream err;
    run_ctl({"explain", request, file.string()}, out, err);
    boost::filesystem::remove(file);
    return out.str();
}

/// Whether the output contains all parts; waits, as the log is flushed only a
/// few times a second.
bool explains(const gateway_process& gateway, const std::string& request,
              const std::vector<std::string>& parts)
{
    return eventually(
        [&]
        {
            const auto story = explain(gateway, request);
            return std::all_of(parts.begin(), parts.end(),
                               [&](const std::string& it)
                               { return story.find(it) != std::string::npos; });
        });
}

} // namespace

// The three procedures of docs/OPERATIONS.md that lead from a request id to the
// cause of its failure.

BOOST_FIXTURE_TEST_CASE(a_refused_request_leads_to_full_endpoints, one_gateway)
{
    set_both({.refuses_requests = true});
    gateway->call(sample_request("POST", "/n/x", "way-1"));
    BOOST_TEST(explains(*gateway, "way-1",
                        {"placed", "endpoint=i-east", "failed",
                         "last_outcome=not_run", "kind=overloaded"}));
    BOOST_TEST(
        gateway->metrics().find(
            "galenapulley_endpoint_calls_total{outcome=\"not_run\"} 1") !=
        std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_late_stream_leads_to_the_broken_endpoint, one_gateway)
{
    east.set({.events = 6, .breaks_at = 3});
    west.set({.events = 6, .event_pause = 400});
    gateway->call(sample_request("POST", "/s/x", "way-2"));
    BOOST_TEST(explains(*gateway, "way-2",
                        {"placed", "endpoint=i-east", "resumed",
                         "outcome=broken_answer", "after_event=2",
                         "[state] endpoint=i-east outcome=broken_answer",
                         "endpoint=i-west", "answered", "longest_pause_ms="}));
}

BOOST_FIXTURE_TEST_CASE(a_504_leads_to_the_silent_endpoint, one_gateway)
{
    set_both({.silent = true});
    const auto response =
        gateway->call(sample_request("POST", "/n/x", "way-3", "", "", 700));
    BOOST_TEST(response.status == 504);
    BOOST_TEST(explains(*gateway, "way-3",
                        {"placed", "endpoint=i-east", "failed",
                         "kind=deadline_exceeded", "last_outcome=timed_out"}));
}

BOOST_FIXTURE_TEST_CASE(an_unknown_request_has_no_explanation, one_gateway)
{
    BOOST_TEST(explain(*gateway, "nobody").empty());
}
