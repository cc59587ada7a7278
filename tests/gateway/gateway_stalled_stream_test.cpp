#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time in which a stalled attempt has to end.
constexpr msec attempt_limit = 2500;

} // namespace

// Guards against a stalled stream that never ends because it sends a few bytes
// now and then: it is resumed elsewhere like a silent one.
BOOST_FIXTURE_TEST_CASE(a_stream_of_comments_is_resumed_elsewhere, one_gateway)
{
    east.set({.events = 2, .endless = endless_part::comments});
    west.set({.events = 4});
    const boot_time_clock time;
    const auto begin = time.now();
    const auto response = gateway->call(sample_request("POST", "/s/x", "t1"));
    BOOST_TEST(response.complete);
    BOOST_TEST(time.now() - begin < attempt_limit);
    BOOST_TEST(response.body.find("id: 4") != std::string::npos);
}
