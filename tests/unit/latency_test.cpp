#include "galenapulley/latency.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace galenapulley;

// Guards against inaccurate quantiles for few samples, where the estimator has
// not converged.
BOOST_AUTO_TEST_CASE(few_samples_are_exact)
{
    latency all({"short", "long"});
    for (msec n = 1; n <= 100; ++n)
        all.first_token(0, n);
    const auto summary = all.first_token_summary(0);
    BOOST_TEST(summary.count == 100U);
    BOOST_TEST(summary.mean == 50.5);
    BOOST_TEST(summary.p50 == 50);
    BOOST_TEST(summary.p95 == 95);
    BOOST_TEST(summary.p99 == 99);
    BOOST_TEST(all.first_token_summary(1).count == 0U);
    BOOST_TEST(all.between_tokens_summary(0).count == 0U);
}

// Guards against an estimator fed with the wrong probability.
BOOST_AUTO_TEST_CASE(many_samples_are_close)
{
    latency all({"short"});
    std::mt19937 random(20261204);
    for (int n = 0; n < 50'000; ++n)
        all.between_tokens(7, static_cast<msec>(random() % 1000));
    const auto summary = all.between_tokens_summary(0);
    BOOST_TEST(summary.p50 == 500, boost::test_tools::tolerance(0.02));
    BOOST_TEST(summary.p95 == 950, boost::test_tools::tolerance(0.02));
    BOOST_TEST(summary.p99 == 990, boost::test_tools::tolerance(0.02));
}

// Guards against a summary in milliseconds under a name in seconds, and
// against series without HELP and TYPE lines.
BOOST_AUTO_TEST_CASE(exposition_is_in_seconds)
{
    latency all({"short"});
    all.first_token(0, 1500);
    const auto text = all.expose();
    const auto has = [&](const std::string& line)
    {
        return text.find(line + "\n") != std::string::npos;
    };
    const std::string name = "galenapulley_first_token_seconds";
    BOOST_TEST(has("# TYPE " + name + " summary"));
    BOOST_TEST(has(name + "{class=\"short\",quantile=\"0.95\"} 1.5"));
    BOOST_TEST(has(name + "_sum{class=\"short\"} 1.5"));
    BOOST_TEST(has(name + "_count{class=\"short\"} 1"));
    BOOST_TEST(has("galenapulley_between_tokens_seconds_count{class=\"short\"} "
                   "0"));
}
