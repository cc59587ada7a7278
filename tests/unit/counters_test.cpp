#include "galenapulley/counters.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace galenapulley;

// Guards against lost increments of concurrent threads.
BOOST_AUTO_TEST_CASE(increments_of_all_threads_count)
{
    counters all;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n)
        threads.emplace_back(
            [&all]
            {
                for (int k = 0; k < 50'000; ++k)
                    all.count(error_kind::overloaded);
            });
    for (auto& it : threads)
        it.join();
    BOOST_TEST(all.value(error_kind::overloaded) == 200'000U);
    BOOST_TEST(all.value(error_kind::isolated) == 0U);
}

// Guards against a label at the wrong index, a missing HELP or TYPE line, and
// label values that are not escaped.
BOOST_AUTO_TEST_CASE(exposition_has_every_counter)
{
    counters all;
    all.count(retry_reason::permit_refused);
    all.count(permit_outcome::unused);
    all.count(state_change::config_applied);
    all.add("x_total", "An \\ example.", "path", {"a\"b\n"}).increment(0, 3);
    const auto text = all.expose();
    const auto has = [&](const std::string& line)
    {
        return text.find(line + "\n") != std::string::npos;
    };
    BOOST_TEST(has("# TYPE galenapulley_refusals_total counter"));
    BOOST_TEST(has("galenapulley_refusals_total{kind=\"internal\"} 0"));
    BOOST_TEST(has("galenapulley_retries_total{reason=\"permit_refused\"} 1"));
    BOOST_TEST(has("galenapulley_permit_releases_total{outcome=\"unused\"} 1"));
    BOOST_TEST(
        has("galenapulley_state_changes_total{change=\"config_applied\"} 1"));
    BOOST_TEST(has("# HELP x_total An \\\\ example."));
    BOOST_TEST(has("x_total{path=\"a\\\"b\\n\"} 3"));
}
