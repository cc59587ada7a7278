// Load benchmark: sends a workload to real nodes under each placement policy
// and reports times to first token, outcomes and the engines' counters.
#include "bench_report.hpp"
#include "bench_run.hpp"
#include "workload.hpp"

#include <cxxopts.hpp>

#include <barrier>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <fstream>
#include <future>
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

/// Runs the configurations concurrently, so that other load on the machine
/// affects all of them alike.
void run_group(const std::vector<run_options>& group, const workload& load,
               bench_report& report)
{
    std::vector<std::future<run_result>> results;
    results.reserve(group.size());
    std::barrier<> all_started(static_cast<std::ptrdiff_t>(group.size()));
    for (const auto& it : group)
        results.push_back(
            std::async(std::launch::async,
                       [&load, &it, &all_started]
                       {
                           bool arrived = false;
                           try
                           {
                               return bench_run(load, it).execute(
                                   [&]
                                   {
                                       arrived = true;
                                       all_started.arrive_and_wait();
                                   });
                           }
                           catch (...)
                           {
                               if (!arrived)
                                   all_started.arrive_and_drop();
                               throw;
                           }
                       }));
    for (auto& it : results)
        report.add(it.get());
}

void run_all(const cxxopts::ParseResult& args, const workload& load,
             bench_report& report)
{
    const auto policies = args["policies"].as<std::vector<std::string>>();
    for (const auto seed : args["seeds"].as<std::vector<std::uint64_t>>())
    {
        std::vector<run_options> alone;
        std::vector<run_options> mixed;
        for (const auto& policy : policies)
        {
            alone.push_back(
                {.placement = policy, .seed = seed, .short_only = true});
            mixed.push_back(
                {.placement = policy,
                 .seed = seed,
                 .withdraw_zone = args.count("zone") > 0,
                 .abandon_probes = args["probes"].as<std::size_t>()});
        }
        if (args.count("alone") > 0)
            run_group(alone, load, report);
        run_group(mixed, load, report);
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
