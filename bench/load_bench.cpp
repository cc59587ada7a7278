// Sends a workload to real nodes under each placement policy and reports times
// to first token, outcomes and the engines' counters.
#include "bench_report.hpp"
#include "bench_run.hpp"
#include "workload.hpp"

#include <cxxopts.hpp>

#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

using namespace galenapulley::bench;

namespace
{

// clang-format off
cxxopts::Options make_options()
{
    cxxopts::Options options("load_bench");
    options.add_options()
        ("workload", "workload file", cxxopts::value<std::string>())
        ("policies", "placement names", cxxopts::value<std::vector<std::string>>()
            ->default_value("random,round_robin,least_outstanding,size_interval"))
        ("seeds", "arrival lists", cxxopts::value<std::vector<std::uint64_t>>()
            ->default_value("1,2"))
        ("rate", "requests per second instead of the file's",
            cxxopts::value<double>())
        ("duration-ms", "measured model time instead of the file's",
            cxxopts::value<galenapulley::msec>())
        ("alone", "also run the short requests alone")
        ("zone", "withdraw and return a zone")
        ("probes", "abandoned requests on the idle fleet",
            cxxopts::value<std::size_t>()->default_value("0"))
        ("json", "file for the figures", cxxopts::value<std::string>());
    return options;
}
// clang-format on

void run_all(const cxxopts::ParseResult& args, const workload& load,
             bench_report& report)
{
    for (const auto seed : args["seeds"].as<std::vector<std::uint64_t>>())
    {
        for (const auto& policy :
             args["policies"].as<std::vector<std::string>>())
        {
            run_options options{.placement = policy, .seed = seed};
            if (args.count("alone") > 0)
            {
                options.short_only = true;
                report.add(bench_run(load, options).execute());
                options.short_only = false;
            }
            options.zone_leaves = args.count("zone") > 0;
            options.leave_probes = args["probes"].as<std::size_t>();
            report.add(bench_run(load, options).execute());
        }
    }
}

void run(int argc, char** argv)
{
    const auto args = make_options().parse(argc, argv);
    auto load = read_workload(args["workload"].as<std::string>());
    if (args.count("rate") > 0)
        load.requests_per_s = args["rate"].as<double>();
    if (args.count("duration-ms") > 0)
        load.duration = args["duration-ms"].as<galenapulley::msec>();
    bench_report report(load);
    run_all(args, load, report);
    std::cout << report.table() << std::flush;
    if (args.count("json") > 0)
        std::ofstream(args["json"].as<std::string>())
            << report.document().dump(1) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        run(argc, argv);
    }
    catch (const std::exception& error)
    {
        std::cerr << "load_bench: " << error.what() << '\n';
        return 1;
    }
}
