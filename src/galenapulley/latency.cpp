#include "galenapulley/latency.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <mutex>
#include <string_view>

namespace galenapulley
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};
constexpr std::array<std::string_view, 3> probability_names{"0.5", "0.95",
                                                            "0.99"};
// The P-square estimator keeps five markers per quantile. Up to this number of
// samples its high quantiles are inaccurate, and exact ones are cheap.
constexpr std::size_t exact_samples = 128;
constexpr double msec_per_sec = 1000;

class series
{
public:
    void add(double sample)
    {
        totals_(sample);
        for (auto& it : quantiles_)
            it(sample);
        if (first_.size() < exact_samples)
            first_.push_back(sample);
    }

    std::uint64_t count() const { return acc::count(totals_); }
    double sum() const { return acc::sum(totals_); }
    double mean() const { return count() == 0 ? 0 : acc::mean(totals_); }

    double quantile(std::size_t n) const
    {
        if (first_.empty())
            return 0;
        if (count() > exact_samples)
            return acc::p_square_quantile(quantiles_.at(n));
        auto sorted = first_;
        std::sort(sorted.begin(), sorted.end());
        const auto rank =
            std::ceil(probabilities.at(n) * static_cast<double>(sorted.size()));
        return sorted[static_cast<std::size_t>(rank) - 1];
    }

private:
    using estimator =
        acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

    acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean>>
        totals_;
    std::array<estimator, 3> quantiles_{
        estimator(acc::quantile_probability = probabilities[0]),
        estimator(acc::quantile_probability = probabilities[1]),
        estimator(acc::quantile_probability = probabilities[2])};
    std::vector<double> first_;
};

std::string number(double value)
{
    std::array<char, 32> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%.6g", value);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string escaped(const std::string& text)
{
    std::string out;
    for (const auto c : text)
    {
        if (c == '\\' || c == '"')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

latency_summary summarize(const series& from)
{
    return {.count = from.count(),
            .mean = from.mean(),
            .p50 = from.quantile(0),
            .p95 = from.quantile(1),
            .p99 = from.quantile(2)};
}

void append_sample(std::string& out, const std::string& metric,
                   const std::string& labels, const std::string& value)
{
    out += metric;
    out += '{';
    out += labels;
    out += "} ";
    out += value;
    out += '\n';
}

void expose_series(std::string& out, const std::string& name,
                   const std::string& length_class, const series& from)
{
    const auto label = "class=\"" + escaped(length_class) + "\"";
    for (std::size_t n = 0; n < probabilities.size(); ++n)
    {
        auto labels = label + ",quantile=\"";
        labels += probability_names.at(n);
        labels += '"';
        append_sample(out, name, labels,
                      from.count() == 0
                          ? "NaN"
                          : number(from.quantile(n) / msec_per_sec));
    }
    append_sample(out, name + "_sum", label, number(from.sum() / msec_per_sec));
    append_sample(out, name + "_count", label, std::to_string(from.count()));
}

} // namespace

struct latency::impl
{
    struct entry
    {
        std::string name;
        series first_token;
        series between_tokens;
    };

    entry& at(std::size_t length_class)
    {
        return classes[std::min(length_class, classes.size() - 1)];
    }

    std::mutex mutex;
    std::vector<entry> classes;
};

latency::latency(const std::vector<std::string>& class_names)
    : impl_(std::make_unique<impl>())
{
    for (const auto& it : class_names)
        impl_->classes.push_back(
            {.name = it, .first_token = {}, .between_tokens = {}});
    if (class_names.empty())
        impl_->classes.push_back(
            {.name = "all", .first_token = {}, .between_tokens = {}});
}

latency::~latency() = default;

void latency::first_token(std::size_t length_class, msec elapsed)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->at(length_class).first_token.add(static_cast<double>(elapsed));
}

void latency::between_tokens(std::size_t length_class, msec elapsed)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->at(length_class).between_tokens.add(static_cast<double>(elapsed));
}

latency_summary latency::first_token_summary(std::size_t length_class) const
{
    const std::lock_guard lock(impl_->mutex);
    return summarize(impl_->at(length_class).first_token);
}

latency_summary latency::between_tokens_summary(std::size_t length_class) const
{
    const std::lock_guard lock(impl_->mutex);
    return summarize(impl_->at(length_class).between_tokens);
}

std::string latency::expose() const
{
    const std::lock_guard lock(impl_->mutex);
    std::string out;
    const std::string first = "galenapulley_first_token_seconds";
    out += "# HELP " + first +
           " Time to first token by length class.\n# TYPE " + first +
           " summary\n";
    for (const auto& it : impl_->classes)
        expose_series(out, first, it.name, it.first_token);
    const std::string between = "galenapulley_between_tokens_seconds";
    out += "# HELP " + between +
           " Time between tokens by length class.\n# TYPE " + between +
           " summary\n";
    for (const auto& it : impl_->classes)
        expose_series(out, between, it.name, it.between_tokens);
    return out;
}

} // namespace galenapulley
