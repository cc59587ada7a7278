#include "gateway/one_gateway.hpp"

#include <string>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr int requests = 20;

/// Two endpoints, of which one says in its responses that it leaves, and a
/// gateway that the store doesn't answer.
struct leaving_endpoint : one_gateway
{
    int sent = 0;

    leaving_endpoint() { store.set_mode(store_mode::refusing); }

    int call(const std::string& target)
    {
        return gateway
            ->call(sample_request("GET", target, "t" + std::to_string(++sent)))
            .status;
    }

    /// Sends requests until the endpoint has got one.
    void reach(const endpoint_standin& endpoint, const std::string& target)
    {
        for (int n = 0; n < requests && endpoint.received().empty(); ++n)
            call(target);
        BOOST_TEST_REQUIRE(endpoint.received().size() == 1U);
    }

    int served(const std::string& target)
    {
        int out = 0;
        for (int n = 0; n < requests; ++n)
            out += call(target) == 200 ? 1 : 0;
        return out;
    }
};

} // namespace

// Guards against requests to an endpoint that said that it leaves, which the
// store can't tell meanwhile.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_leaves_gets_no_more_requests,
                        leaving_endpoint)
{
    east.set({.leaving = true});
    reach(east, "/i/x");
    BOOST_TEST(served("/i/x") == requests);
    BOOST_TEST(served("/n/x") == requests);
    BOOST_TEST(east.received().size() == 1U);
}

// The same where it said so in the head of a stream.
BOOST_FIXTURE_TEST_CASE(a_leaving_endpoint_ends_its_stream_and_gets_no_other,
                        leaving_endpoint)
{
    set_both({.events = 4});
    east.set({.events = 4, .leaving = true});
    reach(east, "/s/x");
    BOOST_TEST(served("/s/x") == requests);
    BOOST_TEST(east.received().size() == 1U);
}

// Guards against a new incarnation that is taken for the one that left.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_started_again_is_used,
                        leaving_endpoint)
{
    store.set_mode(store_mode::normal);
    east.set({.leaving = true});
    reach(east, "/i/x");
    east.set({});
    east.restart();
    BOOST_TEST(eventually(
        [&]
        {
            call("/i/x");
            return east.received().size() > 1U;
        }));
}
