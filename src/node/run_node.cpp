#include "node/run_node.hpp"

#include "galenapulley/node_settings.hpp"
#include "galenapulley/request_memory.hpp"
#include "node/node.hpp"

#include <spdlog/spdlog.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <pthread.h>
#include <sstream>
#include <thread>

namespace galenapulley
{

namespace
{

constexpr int exit_invalid_settings = 2;

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

int run_node(const std::string& config_path)
{
    std::ifstream file(config_path);
    std::ostringstream buf;
    buf << file.rdbuf();
    if (!file)
    {
        std::cerr << "galenapulley: cannot read " << config_path << '\n';
        return exit_invalid_settings;
    }
    auto settings = parse_node_settings(buf.str());
    if (!settings.ok())
    {
        std::cerr << "galenapulley: " << config_path << ": "
                  << settings.status().message() << '\n';
        return exit_invalid_settings;
    }
    spdlog::set_level(spdlog::level::from_str(settings->log_level));
    spdlog::flush_on(spdlog::level::info);
    return_freed_memory();

    // Signals are blocked before any thread starts, so that only the thread
    // below receives them.
    const auto signals = block_stop_signals();
    try
    {
        node self(*std::move(settings));
        std::thread(
            [&self, signals]
            {
                int number = 0;
                sigwait(&signals, &number);
                self.request_stop();
            })
            .detach();
        self.run();
    }
    catch (const std::exception& ec)
    {
        spdlog::critical("node terminated by an error: {}", ec.what());
        return 1;
    }
    return 0;
}

} // namespace galenapulley
