#include "gateway/one_gateway.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Crashes after which no more prompts with the part may reach endpoints,
/// except for `max_late_arrivals` of them and those sent within `contact_time`.
constexpr std::size_t crashes_to_notice = 5;
constexpr std::size_t max_late_arrivals = 3;
constexpr msec contact_time = 3000;

/// Two endpoints that crash when they begin to answer a prompt with one part.
struct crashing_part : one_gateway
{
    int sent = 0;

    crashing_part() { set_both({.events = 3, .crashes_on_part = "bad0"}); }

    /// A prompt unlike any other that shares its first part with all and its
    /// second part with some.
    std::string prompt(const std::string& second_part)
    {
        const auto own = std::to_string(++sent);
        return sample_request("POST", "/s/x", "t" + own, "body " + own,
                              "Galenapulley-Token-Usage: 900,20\r\n"
                              "Galenapulley-Prompt-Prefix: a1:500," +
                                  second_part + ":200,c" + own + ":200\r\n");
    }

    std::size_t bad_arrivals() const
    {
        std::size_t n = 0;
        for (const auto* const endpoint : {&east, &west})
            for (const auto& it : endpoint->received())
                n += it.header("Galenapulley-Prompt-Prefix").find("bad0") !=
                     std::string::npos;
        return n;
    }

    /// Sends prompts with the part beside sound ones until the gateway has had
    /// the time to notice.
    void crash_endpoints()
    {
        for (int n = 0; n < 20 && bad_arrivals() < crashes_to_notice; ++n)
        {
            gateway->call(prompt("bad0"));
            gateway->call(prompt("50d"));
        }
        pause_for(contact_time);
    }
};

} // namespace

// Guards against prompts with one part in common that crash endpoint after
// endpoint, no two of them alike.
BOOST_FIXTURE_TEST_CASE(prompts_with_a_crashing_part_reach_no_more_endpoints,
                        crashing_part)
{
    crash_endpoints();
    const auto before = bad_arrivals();
    int served = 0;
    for (int n = 0; n < 10; ++n)
    {
        const auto refused = gateway->call(prompt("bad0"));
        BOOST_TEST(refused.status != 200);
        served += gateway->call(prompt("50d")).complete;
    }
    BOOST_TEST(bad_arrivals() - before <= max_late_arrivals);
    BOOST_TEST(served == 10);
}

// Guards against a gateway that starts after the crashes and sends the prompts
// on because it has not heard of them.
BOOST_FIXTURE_TEST_CASE(a_new_gateway_learns_of_a_crashing_part, crashing_part)
{
    crash_endpoints();
    gateway_process late("n2", "west", store.address(), {gateway->peer()});
    BOOST_TEST_REQUIRE(late.wait_until_ready());
    pause_for(contact_time);
    const auto before = bad_arrivals();
    for (int n = 0; n < 10; ++n)
        late.call(prompt("bad0"));
    BOOST_TEST(bad_arrivals() - before <= max_late_arrivals);
    BOOST_TEST(late.call(prompt("50d")).complete);
}
