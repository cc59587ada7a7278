#include "gateway/one_gateway.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// The memory limit of the gateway's settings, and what the process may take
/// beside bodies that are kept.
constexpr std::size_t memory_limit = std::size_t{128} << 20;
constexpr int flooded_clients = 400;
/// Time in which the gateway reads what clients have sent.
constexpr msec reading_time = 3000;

const std::vector<endless_part> kept_parts{
    endless_part::body, endless_part::long_body, endless_part::chunked_body,
    endless_part::event, endless_part::header_line};

/// How much of the gateway's log a failed check shows.
constexpr std::size_t log_tail = 4000;

std::string text_of(const std::map<int, int>& counts)
{
    std::string out;
    for (const auto& [status, n] : counts)
        out += std::to_string(status) + ": " + std::to_string(n) + ' ';
    return out;
}

/// Serves all clients at the same time, each without end.
void flood_from(endpoint_standin& endpoint, endless_part part)
{
    endpoint.set({.slots = flooded_clients, .endless = part});
    endpoint.register_entry();
}

} // namespace

// Guards against a process that runs out of memory because bodies count only
// once they have arrived whole.
BOOST_AUTO_TEST_CASE(uploads_in_progress_are_bounded)
{
    constexpr std::size_t body_bytes = std::size_t{4} << 20;
    constexpr int uploads = 60;
    auto configuration = nlohmann::json::parse(sample_configuration(1));
    configuration["Limits"]["MaxBodyBytes"] = body_bytes;
    const one_gateway fleet(configuration.dump());
    const auto whole =
        sample_request("POST", "/n/x", "t", std::string(body_bytes, 'x'));
    const auto most = whole.substr(0, whole.size() * 3 / 4);
    std::vector<std::unique_ptr<wire_client>> clients;
    for (int n = 0; n < uploads; ++n)
    {
        clients.push_back(
            std::make_unique<wire_client>(fleet.gateway->traffic()));
        clients.back()->send(most);
    }
    pause_for(reading_time);
    const auto peak = fleet.gateway->process().peak_memory();
    BOOST_TEST_MESSAGE("peak memory " << peak);
    BOOST_TEST(peak < memory_limit);
    // Small requests are served meanwhile, and a large one afterwards.
    BOOST_TEST(status_of(*fleet.gateway, "/i/x") == 200);
    clients.clear();
    BOOST_TEST(
        eventually([&] { return fleet.gateway->call(whole).status == 200; }));
    BOOST_TEST(fleet.runs() <= 2U);
}

// Guards against a process that runs out of memory, and ends the requests of
// all clients, because it keeps what endpoints send without end.
BOOST_DATA_TEST_CASE_F(one_gateway, floods_to_many_clients_are_bounded,
                       boost::unit_test::data::make(kept_parts), part)
{
    flood_from(east, part);
    flood_from(west, part);
    pause_for(500);
    std::vector<std::unique_ptr<wire_client>> clients;
    for (int n = 0; n < flooded_clients; ++n)
    {
        clients.push_back(std::make_unique<wire_client>(gateway->traffic()));
        const auto id = std::to_string(n);
        clients.back()->send(sample_request("POST", "/n/" + id, "t" + id));
    }
    int answered = 0;
    for (const auto& it : clients)
        answered += it->receive().status >= 429 ? 1 : 0;
    BOOST_TEST(answered == flooded_clients);
    const auto peak = gateway->process().peak_memory();
    BOOST_TEST_MESSAGE("peak memory " << peak);
    BOOST_TEST(peak < memory_limit);
    set_both({});
    BOOST_TEST(eventually([&] { return status_of(*gateway, "/i/x") == 200; }));
    BOOST_TEST(gateway->metrics().find("galenapulley_body_bytes 0\n") !=
               std::string::npos);
}

// Guards against sound requests that fail while one endpoint of two sends
// without end: all clients use the same path, so that they share a quarantine,
// too.
BOOST_DATA_TEST_CASE_F(one_gateway, sound_requests_are_served_beside_floods,
                       boost::unit_test::data::make(kept_parts), part)
{
    constexpr int callers = 8;
    constexpr int calls = 25;
    flood_from(east, part);
    std::mutex mutex;
    std::map<int, int> reads;
    std::map<int, int> writes;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int n = 0; n < callers; ++n)
        threads.emplace_back(
            [&, n]
            {
                for (int k = 0; k < calls; ++k)
                {
                    const auto id = std::to_string(n) + "-" + std::to_string(k);
                    const int read = status_of(*gateway, "/i/x");
                    const int written =
                        gateway->call(sample_request("POST", "/n/x", id))
                            .status;
                    const std::lock_guard lock(mutex);
                    ++reads[read];
                    ++writes[written];
                }
            });
    for (auto& it : threads)
        it.join();
    const auto log = gateway->log();
    const auto tail = log.substr(log.size() - std::min(log.size(), log_tail));
    BOOST_TEST_CONTEXT("reads " << text_of(reads) << "\nwrites "
                                << text_of(writes) << "\n"
                                << tail)
    {
        BOOST_TEST(reads[200] == callers * calls);
        BOOST_TEST(writes[200] + writes[502] == callers * calls);
        BOOST_TEST(east.received().size() > 0U);
    }
}
