#include "galenapulley/error_kind.hpp"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

// Guards against a table entry at the wrong index: error responses would then
// have the HTTP status and the execution state of another kind.
BOOST_AUTO_TEST_CASE(table_matches_the_enum)
{
    for (int n = 0; n < error_kind_count; ++n)
    {
        const auto kind = static_cast<error_kind>(n);
        BOOST_TEST((error_response_for(kind).kind == kind));
        BOOST_TEST(
            (error_kind_from_name(name_of(kind)) == std::optional(kind)));
        BOOST_TEST((kind_of(make_error(kind, "x")) == kind));
    }
}

// Guards against an error of our own that tells the client "not run" by its
// status although the request may have run.
BOOST_AUTO_TEST_CASE(refusal_statuses_are_used_for_what_has_not_run)
{
    int refusals = 0;
    for (int n = 0; n < error_kind_count; ++n)
    {
        const auto& it = error_response_for(static_cast<error_kind>(n));
        if (!is_refusal_status(it.http_status))
            continue;
        ++refusals;
        BOOST_TEST((it.ran == execution::not_run));
    }
    BOOST_TEST(refusals > 0);
}

// Guards against an error body that loses the execution state.
BOOST_AUTO_TEST_CASE(body_states_whether_the_request_ran)
{
    const auto status = make_error(error_kind::back_end_failed, "gone");
    auto body = nlohmann::json::parse(error_body(status));
    BOOST_TEST(body["error"]["ran"] == "may_have_run");
    body = nlohmann::json::parse(error_body(status, execution::not_run));
    BOOST_TEST(body["error"]["ran"] == "not_run");
}

// Guards against an exception on the control thread, which would terminate the
// node, if a message quotes bytes that are not valid UTF-8.
BOOST_AUTO_TEST_CASE(body_accepts_any_bytes)
{
    const auto status = make_error(error_kind::unknown_route, "no /\xff\xc3");
    const auto body = nlohmann::json::parse(error_body(status));
    BOOST_TEST(body["error"]["kind"] == "unknown_route");
}
