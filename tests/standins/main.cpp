#include "standins/engine_api.hpp"
#include "standins/plain_api.hpp"
#include "standins/platform_api.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

namespace galenapulley::standins
{

namespace
{

void add_options(cxxopts::Options& options)
{
    // clang-format off
    options.add_options()
        ("kind", "engine, platform or plain", cxxopts::value<std::string>())
        ("listen", "IP:PORT", cxxopts::value<std::string>())
        ("workers", "HTTP threads",
         cxxopts::value<int>()->default_value("2"));
    options.add_options("engine")
        ("kv-tokens", "KV memory",
         cxxopts::value<std::int64_t>()->default_value("400000"))
        ("slots", "concurrent requests when warm",
         cxxopts::value<int>()->default_value("16"))
        ("cold-slots", "concurrent requests without collapse when cold",
         cxxopts::value<int>()->default_value("2"))
        ("prefill-tokens-per-s", "prefill speed of the engine",
         cxxopts::value<double>()->default_value("20000"))
        ("decode-tokens-per-s", "decode speed of one stream",
         cxxopts::value<double>()->default_value("40"))
        ("time-scale", "multiplies prefill, decode and import speed",
         cxxopts::value<double>()->default_value("1"))
        ("warm-after-s", "time under light load after which it is warm",
         cxxopts::value<double>()->default_value("10"))
        ("report-lag-ms", "age of the load report",
         cxxopts::value<msec>()->default_value("200"))
        ("checks-fencing", "refuse orders with a stale fencing number")
        ("start-cold", "start in cold state")
        ("model", "model it serves; may be repeated",
         cxxopts::value<std::vector<std::string>>()->default_value("drafter"));
    options.add_options("platform")
        ("writes-per-s", "limit on commits",
         cxxopts::value<double>()->default_value("400"))
        ("reads-per-s", "limit on reads",
         cxxopts::value<double>()->default_value("2000"))
        ("weight-bytes-per-s", "rate of the weight store, shared by all",
         cxxopts::value<double>()->default_value("1000000000"))
        ("vm-lag-ms", "delay of the VM list",
         cxxopts::value<msec>()->default_value("2000"));
    options.add_options("plain")
        ("delay-ms", "delay between executing a call and responding",
         cxxopts::value<msec>()->default_value("0"))
        ("journal", "file that preserves the counts across a crash",
         cxxopts::value<std::string>()->default_value(""));
    // clang-format on
    options.parse_positional({"kind"});
}

std::unique_ptr<standin_api> make_engine(const cxxopts::ParseResult& args,
                                         const std::string& address)
{
    constexpr double ms_per_s = 1000;
    engine_options options;
    options.kv_tokens = args["kv-tokens"].as<std::int64_t>();
    options.slots = args["slots"].as<int>();
    options.cold_slots = args["cold-slots"].as<int>();
    options.prefill_tokens_per_s = args["prefill-tokens-per-s"].as<double>();
    options.decode_tokens_per_s = args["decode-tokens-per-s"].as<double>();
    options.time_scale = args["time-scale"].as<double>();
    options.warm_after_ms =
        static_cast<msec>(args["warm-after-s"].as<double>() * ms_per_s);
    options.report_lag_ms = args["report-lag-ms"].as<msec>();
    options.checks_fencing = args["checks-fencing"].as<bool>();
    options.start_cold = args["start-cold"].as<bool>();
    options.models = args["model"].as<std::vector<std::string>>();
    return std::make_unique<engine_api>(std::move(options), address);
}

std::unique_ptr<standin_api> make_platform(const cxxopts::ParseResult& args)
{
    platform_options options;
    options.writes_per_s = args["writes-per-s"].as<double>();
    options.reads_per_s = args["reads-per-s"].as<double>();
    options.weight_bytes_per_s = args["weight-bytes-per-s"].as<double>();
    options.vm_lag_ms = args["vm-lag-ms"].as<msec>();
    return std::make_unique<platform_api>(options);
}

std::unique_ptr<standin_api> make_plain(const cxxopts::ParseResult& args)
{
    plain_options options;
    options.delay_ms = args["delay-ms"].as<msec>();
    options.journal = args["journal"].as<std::string>();
    return std::make_unique<plain_api>(std::move(options));
}

std::unique_ptr<standin_api> make_api(const cxxopts::ParseResult& args,
                                      const std::string& address)
{
    const auto kind = args["kind"].as<std::string>();
    if (kind == "engine")
        return make_engine(args, address);
    if (kind == "platform")
        return make_platform(args);
    if (kind == "plain")
        return make_plain(args);
    throw std::invalid_argument("unknown kind '" + kind +
                                "', allowed: engine, platform, plain");
}

[[noreturn]] void run(int argc, char** argv)
{
    cxxopts::Options options("galenapulley_standin");
    add_options(options);
    const auto args = options.parse(argc, argv);

    // Blocked before any thread starts, so that only sigwait sees them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    const auto listen = args["listen"].as<std::string>();
    const auto colon = listen.rfind(':');
    http_server_options server_options;
    server_options.address = listen.substr(0, colon);
    server_options.port =
        static_cast<std::uint16_t>(std::stoi(listen.substr(colon + 1)));
    server_options.workers = args["workers"].as<int>();

    const auto api = make_api(args, listen);
    http_server server(
        server_options,
        [&api](http_request request, const exchange_ptr& exchange)
        {
            try
            {
                api->handle(std::move(request), exchange);
            }
            catch (const std::exception& error)
            {
                respond_error(exchange, 400, error.what());
            }
        });
    server.start();
    std::cout << "listening " << server_options.address << ':' << server.port()
              << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    // Other threads may still use exchanges of the server, so it is not
    // destroyed. There is no state to save.
    std::_Exit(0);
}

} // namespace

} // namespace galenapulley::standins

int main(int argc, char** argv)
{
    try
    {
        galenapulley::standins::run(argc, argv);
    }
    catch (const std::exception& error)
    {
        std::cerr << "galenapulley_standin: " << error.what() << '\n';
        return 2;
    }
}
