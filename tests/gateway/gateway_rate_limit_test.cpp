#include "gateway/one_gateway.hpp"

#include <string>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr double requests_per_second = 2;
/// Time after which the limit binds, and the span in which requests count.
constexpr msec contact_time = 3000;
constexpr msec counted_time = 4000;
constexpr std::size_t max_arrivals =
    static_cast<std::size_t>(1.5 * requests_per_second * 4) + 5;
constexpr msec request_pause = 40;

/// Two endpoints, of which one names a limit, and a gateway.
struct limited_endpoint : one_gateway
{
    int sent = 0;
    int failed = 0;

    limited_endpoint() { east.set({.rate_limit = "2.0"}); }

    /// Sends requests to the gateways in turn, at several times the limit.
    void send_for(msec duration,
                  const std::vector<const gateway_process*>& gateways)
    {
        const boot_time_clock time;
        for (const auto end = time.now() + duration; time.now() < end;)
        {
            const auto n = static_cast<std::size_t>(++sent);
            const auto response = gateways[n % gateways.size()]->call(
                sample_request("GET", "/i/x" + std::to_string(n),
                               "t" + std::to_string(n)));
            failed += response.status == 200 ? 0 : 1;
            pause_for(request_pause);
        }
    }
    std::size_t
    arrivals_while_sending(const std::vector<const gateway_process*>& gateways)
    {
        const auto before = east.received().size();
        send_for(counted_time, gateways);
        return east.received().size() - before;
    }
};

} // namespace

// Guards against an endpoint in need that gets far more requests than the limit
// that its responses name.
BOOST_FIXTURE_TEST_CASE(an_endpoint_gets_no_more_than_the_limit_it_names,
                        limited_endpoint)
{
    send_for(contact_time, {gateway.get()});
    const auto arrivals = arrivals_while_sending({gateway.get()});
    BOOST_TEST(arrivals > 0U);
    BOOST_TEST(arrivals <= max_arrivals);
    BOOST_TEST(failed == 0);
}

// Guards against gateways that each use the whole limit, among them one that
// started after the endpoint had named it.
BOOST_FIXTURE_TEST_CASE(the_limit_holds_for_all_gateways_together,
                        limited_endpoint)
{
    const gateway_process second("n2", "west", store.address(),
                                 {gateway->peer()});
    send_for(contact_time, {gateway.get()});
    gateway_process third("n3", "west", store.address(), {gateway->peer()});
    BOOST_TEST_REQUIRE(third.wait_until_ready());
    const std::vector<const gateway_process*> all{gateway.get(), &second,
                                                  &third};
    send_for(contact_time, all);
    BOOST_TEST(arrivals_while_sending(all) <= max_arrivals);
    BOOST_TEST(failed == 0);
}

// Guards against a limit that stays when the endpoint no longer names it.
BOOST_FIXTURE_TEST_CASE(a_limit_ends_with_a_response_without_it,
                        limited_endpoint)
{
    send_for(contact_time, {gateway.get()});
    east.set({});
    send_for(contact_time, {gateway.get()});
    BOOST_TEST(arrivals_while_sending({gateway.get()}) > max_arrivals);
}
