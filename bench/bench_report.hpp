#pragma once

#include "bench_run.hpp"
#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace galenapulley::bench
{

/// Results of all runs, as a JSON document and as a table.
class bench_report
{
public:
    explicit bench_report(const workload& load);

    void add(const run_result& result);
    const nlohmann::json& document() const { return document_; }
    std::string table() const;

private:
    nlohmann::json classes_of(const run_result& result) const;
    nlohmann::json phases_of(const run_result& result) const;
    nlohmann::json totals_of(const std::vector<request_record>& list) const;
    double short_alone_p95(const nlohmann::json& run) const;
    std::string class_rows(const nlohmann::json& run) const;
    std::string phase_rows(const nlohmann::json& run) const;

    const workload& load_;
    nlohmann::json document_;
};

} // namespace galenapulley::bench
