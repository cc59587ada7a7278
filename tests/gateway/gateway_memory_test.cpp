#include "gateway/one_gateway.hpp"

#include <nlohmann/json.hpp>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::uint64_t engine_tokens = 1000;
/// A prompt of 1,500 tokens, more than one engine's memory.
const std::string large = "Galenapulley-Token-Usage: 1500,20\r\n";
/// Longest time until memory is released after its request has ended.
constexpr msec release_limit = 500;

struct two_engines : one_gateway
{
    two_engines() : one_gateway(sample_configuration(1, "", engine_tokens)) {}

    std::uint64_t reserved() const
    {
        return east.reserved_tokens() + west.reserved_tokens();
    }

    std::size_t orders(const std::string& operation) const
    {
        return east.orders(operation) + west.orders(operation);
    }

    const endpoint_standin& primary() const
    {
        return east.received().empty() ? west : east;
    }

    const endpoint_standin& helper_engine() const
    {
        return east.received().empty() ? east : west;
    }

    wire_response call(const std::string& attempt)
    {
        return gateway->call(
            sample_request("POST", "/s/x", attempt, "", large));
    }
};

/// Configuration with engines that prefill 900 tokens in 3.6 s.
std::string slow_engines()
{
    auto out =
        nlohmann::json::parse(sample_configuration(1, "", engine_tokens));
    out["Services"][0]["Engine"]["read_per_s"] = 250;
    return out.dump();
}

struct two_slow_engines : one_gateway
{
    two_slow_engines() : one_gateway(slow_engines()) {}
};

} // namespace

// Guards against a long prefill that is taken for a stalled endpoint: a retry
// would start the prefill again elsewhere and take as long again.
BOOST_FIXTURE_TEST_CASE(an_engine_with_a_long_prefill_is_waited_for,
                        two_slow_engines)
{
    set_both({.events = 3, .first_event_pause = 2000});
    const auto response = gateway->call(sample_request(
        "POST", "/s/x", "t1", "", "Galenapulley-Token-Usage: 900,20\r\n"));
    BOOST_TEST(response.complete);
    BOOST_TEST(arrivals() == 1U);
}

// Guards against responses to orders that have no end: the prompt waits for
// them, or the gateway keeps them.
BOOST_FIXTURE_TEST_CASE(endless_responses_to_orders_are_cut, two_engines)
{
    constexpr std::size_t max_memory = std::size_t{64} << 20;
    for (const auto part :
         {endless_part::head, endless_part::header_line, endless_part::not_http,
          endless_part::interim, endless_part::body})
    {
        set_both({.events = 3, .endless_orders = part});
        const boot_time_clock time;
        const auto begin = time.now();
        const auto response = call("t1");
        BOOST_TEST(response.status >= 200);
        BOOST_TEST(time.now() - begin < 3500);
        BOOST_TEST(gateway->process().peak_memory() < max_memory);
        set_both({.events = 3});
        BOOST_TEST(eventually([&] { return call("t2").status == 200; }));
    }
}

// Guards against memory that stays reserved after its request has ended.
BOOST_FIXTURE_TEST_CASE(memory_is_reserved_used_and_released, two_engines)
{
    set_both({.events = 3});
    const auto response = call("t1");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST_REQUIRE(orders("reserve") == 1U);
    const auto order = helper_engine().orders().front();
    BOOST_TEST(order.operation == "reserve");
    BOOST_TEST(order.tokens <= engine_tokens);
    BOOST_TEST(1500 - order.tokens + 20 <= engine_tokens);
    BOOST_TEST(primary().received().front().header("Galenapulley-Helpers") ==
               helper_engine().address() + '/' + order.reservation);
    BOOST_TEST(eventually([this] { return reserved() == 0; }, release_limit));
    BOOST_TEST(orders("release") == 1U);
}

// Guards against a stream that is cut off because its reservation has expired.
BOOST_FIXTURE_TEST_CASE(memory_is_renewed_while_its_request_runs, two_engines)
{
    set_both({.events = 3, .event_pause = 800});
    const auto response = call("t1");
    BOOST_TEST(response.complete);
    const auto all = helper_engine().orders();
    BOOST_TEST(orders("reserve") >= 2U);
    for (const auto& it : all)
    {
        BOOST_TEST(it.reservation == all.front().reservation);
        BOOST_TEST((it.operation == "release" || it.ttl < 4000));
    }
}

BOOST_FIXTURE_TEST_CASE(memory_is_released_when_the_client_disconnects,
                        two_engines)
{
    set_both({.silent = true});
    wire_client client(gateway->traffic());
    client.send(sample_request("POST", "/s/x", "t1", "", large));
    BOOST_TEST_REQUIRE(eventually([&] { return arrivals() == 1; }));
    BOOST_TEST(reserved() > 0U);
    client.close();
    BOOST_TEST(eventually([this] { return reserved() == 0; }, release_limit));
}

// Guards against a request that is sent without its reservation: the engine
// would evict the memory of other requests.
BOOST_FIXTURE_TEST_CASE(without_memory_nothing_is_sent, two_engines)
{
    set_both({.events = 3, .refuses_memory = true});
    const auto response = call("t1");
    BOOST_TEST((response.status == 429 || response.status == 503));
    BOOST_TEST(arrivals() == 0U);
}

// Guards against a reservation that nobody releases: an order without a
// response may take effect seconds later, after the first release.
BOOST_FIXTURE_TEST_CASE(an_order_without_response_is_released_repeatedly,
                        two_engines)
{
    set_both({.events = 3, .ignores_orders = true});
    const auto response = call("t1");
    BOOST_TEST((response.status == 429 || response.status == 503));
    BOOST_TEST(arrivals() == 0U);
    BOOST_TEST(eventually([this] { return orders("release") >= 3; }, 6000));
    set_both({});
    const auto before = orders("release");
    BOOST_TEST(
        eventually([&] { return orders("release") > before + 1; }, 6000));
    BOOST_TEST(reserved() == 0U);
}
