#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenapulley
{

/// Count, mean and quantiles of one series, in milliseconds.
struct latency_summary
{
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Time to first token and time between tokens per length class. Thread-safe.
class latency
{
public:
    /// Names of the length classes, by index.
    explicit latency(const std::vector<std::string>& class_names);
    ~latency();

    latency(const latency&) = delete;
    latency& operator=(const latency&) = delete;

    /// An index above the last class counts for the last class.
    void first_token(std::size_t length_class, msec elapsed);
    void between_tokens(std::size_t length_class, msec elapsed);

    latency_summary first_token_summary(std::size_t length_class) const;
    latency_summary between_tokens_summary(std::size_t length_class) const;

    /// Both series in the metrics text format, in seconds.
    std::string expose() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace galenapulley
