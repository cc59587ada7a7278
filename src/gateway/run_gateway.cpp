#include "gateway/run_gateway.hpp"

#include "galenapulley/request_memory.hpp"

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

constexpr int exit_settings = 2;

sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void watch_signals(gateway& target, const sigset_t& signals)
{
    for (;;)
    {
        int number = 0;
        sigwait(&signals, &number);
        if (number == SIGHUP)
            target.request_reload();
        else
            target.request_stop();
    }
}

} // namespace

int run_gateway(const std::string& settings_path, gateway_adapter adapter)
{
    std::ifstream file(settings_path);
    std::ostringstream buf;
    buf << file.rdbuf();
    if (!file)
    {
        std::cerr << "galenapulley: cannot read " << settings_path << '\n';
        return exit_settings;
    }
    auto settings = parse_gateway_settings(buf.str());
    if (!settings.ok())
    {
        std::cerr << "galenapulley: " << settings_path << ": "
                  << settings.status().message() << '\n';
        return exit_settings;
    }
    adapter.apply_contracts(*settings);
    return_freed_memory();
    // Signals are blocked before any thread starts; a single thread handles
    // them.
    const auto signals = block_signals();
    try
    {
        gateway self(*std::move(settings), settings_path, std::move(adapter));
        std::thread([&self, signals] { watch_signals(self, signals); })
            .detach();
        self.run();
    }
    catch (const std::exception& ec)
    {
        std::cerr << "galenapulley: gateway failed: " << ec.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace galenapulley
