#include "platform_adapter.hpp"

#include "ctl/ctl.hpp"
#include "ctl/exit_code.hpp"
#include "gateway/run_gateway.hpp"
#include "node/run_node.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

using namespace galenapulley;

namespace
{

constexpr const char* usage = "Usage:\n"
                              "  galenapulley node --config FILE\n"
                              "  galenapulley gateway [--config FILE]\n"
                              "  galenapulley ctl VERB [OPTION...]\n"
                              "  galenapulley --help | --version\n";

int exit_value(exit_code code)
{
    return static_cast<int>(code);
}

int usage_error(const std::string& message)
{
    std::cerr << message << '\n' << usage;
    return exit_value(exit_code::usage);
}

int run_node_command(int argc, char** argv)
{
    cxxopts::Options options("galenapulley node");
    // clang-format off
    options.add_options()
        ("config", "Settings file (JSON)", cxxopts::value<std::string>(),
            "FILE")
        ("h,help", "Show this help");
    // clang-format on
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return exit_value(exit_code::done);
    }
    if (parsed.count("config") == 0 || !parsed.unmatched().empty())
        return usage_error("node needs --config FILE and nothing else");
    return run_node(parsed["config"].as<std::string>());
}

/// Environment variable in which the platform passes the path of the settings
/// file.
constexpr const char* settings_variable = "GALENAPULLEY_SETTINGS";

int run_gateway_command(int argc, char** argv)
{
    cxxopts::Options options("galenapulley gateway");
    // clang-format off
    options.add_options()
        ("config", "Settings file (JSON); by default the file that "
            "GALENAPULLEY_SETTINGS names", cxxopts::value<std::string>(),
            "FILE")
        ("h,help", "Show this help");
    // clang-format on
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return exit_value(exit_code::done);
    }
    const char* const default_file = std::getenv(settings_variable);
    if (!parsed.unmatched().empty() ||
        (parsed.count("config") == 0 && default_file == nullptr))
        return usage_error("gateway needs --config FILE and nothing else");
    return run_gateway(parsed.count("config") != 0
                           ? parsed["config"].as<std::string>()
                           : std::string(default_file),
                       platform::make_adapter());
}

int run_command(int argc, char** argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "node")
        return run_node_command(argc - 1, argv + 1);
    if (command == "gateway")
        return run_gateway_command(argc - 1, argv + 1);
    if (command == "ctl")
    {
        const std::vector<std::string> args(argv + 2, argv + argc);
        return exit_value(run_ctl(args, std::cout, std::cerr));
    }
    if (command == "--help" || command == "-h")
        std::cout << usage;
    else if (command == "--version")
        std::cout << "galenapulley " GALENAPULLEY_VERSION "\n";
    else
        return usage_error(command.empty() ? "no command given"
                                           : "unknown command: " + command);
    return exit_value(exit_code::done);
}

} // namespace

int main(int argc, char** argv)
{
    // Writing to a connection that its peer closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return run_command(argc, argv);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return usage_error(error.what());
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
