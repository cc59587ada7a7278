#include "ctl/ctl.hpp"

#include "ctl/ctl_session.hpp"
#include "ctl/request_timeline.hpp"
#include "ctl/text_output.hpp"

// Addresses and file names may contain commas.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace galenapulley
{

namespace
{

using words = std::vector<std::string>;

/// One verb: its words, the names of its arguments, its help text and the
/// member function that runs it.
struct verb
{
    const char* name;
    const char* arguments;
    const char* help;
    exit_code (ctl_session::*run)(const words& args);
};

constexpr std::array verbs{
    verb{"services list", "", "List the services and their versions.",
         &ctl_session::list_services},
    verb{"services get", "NAME", "Print a service's document.",
         &ctl_session::get_service},
    verb{"services put", "FILE",
         "Put a service document in force; --expect gives the version that "
         "was edited.",
         &ctl_session::put_service},
    verb{"services check", "FILE",
         "Check a document without changing anything.",
         &ctl_session::check_service},
    verb{"services remove", "NAME", "Remove a service.",
         &ctl_session::remove_service},
    verb{"zones withdraw", "ZONE", "Give no new work to a zone.",
         &ctl_session::withdraw_zone},
    verb{"zones return", "ZONE", "Give work to a withdrawn zone again.",
         &ctl_session::return_zone},
    verb{"machines withdraw", "MACHINE", "Give no new work to a machine.",
         &ctl_session::withdraw_machine},
    verb{"machines return", "MACHINE",
         "Give work to a withdrawn machine again.",
         &ctl_session::return_machine},
    verb{"back-ends order", "NAME load_model|set_role VALUE",
         "Order a back end to load a model or to change its role.",
         &ctl_session::order_back_end},
    verb{"status", "", "Show the state of the node and what it knows.",
         &ctl_session::show_status},
    verb{"refusals", "", "Show the number of refusals by reason.",
         &ctl_session::show_refusals},
    verb{"metrics", "", "Print the node's metrics.",
         &ctl_session::show_metrics},
    verb{"gateway", "",
         "Show the state of a gateway; --node is its metrics address.",
         &ctl_session::show_gateway},
    verb{"endpoints", "",
         "Show a gateway's estimates of endpoints; --node is its metrics "
         "address.",
         &ctl_session::show_endpoints},
    verb{"accounts", "",
         "Show shares and use of client accounts at a gateway; --node is its "
         "metrics address.",
         &ctl_session::show_accounts},
    verb{"nodes", "", "List the nodes that callers may use.",
         &ctl_session::list_nodes},
};

constexpr const char* explain_verb = "explain";

words split(const std::string& text, char separator)
{
    words parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        if (!part.empty())
            parts.push_back(part);
    return parts;
}

std::string environment(const char* name)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("galenapulley ctl");
    // clang-format off
    options.add_options()
        ("node", "Address of a node, IP:PORT; repeat it for more, which are "
            "tried in order (default: GALENAPULLEY_NODES, comma-separated)",
            cxxopts::value<words>(), "ADDRESS")
        ("token-file", "File with the bearer token (default: the token in "
            "GALENAPULLEY_TOKEN)", cxxopts::value<std::string>(), "FILE")
        ("json", "Print answers as JSON")
        ("timeout-ms", "Limit for each attempt",
            cxxopts::value<msec>()->default_value("5000"), "N")
        ("expect", "put, remove: the version that was edited; 0 for a new "
            "service (default: ask for the current one)",
            cxxopts::value<std::int64_t>(), "N")
        ("change-id", "Id of the change; give the id of a change whose "
            "outcome is unknown to send it again",
            cxxopts::value<std::string>(), "ID")
        ("h,help", "Show this help");
    options.add_options("arguments")("words", "", cxxopts::value<words>());
    // clang-format on
    options.parse_positional("words");
    return options;
}

std::string usage_of(const verb& source)
{
    const std::string arguments = source.arguments;
    return source.name + (arguments.empty() ? "" : " " + arguments);
}

/// Finds the verb and removes its words from the list.
const verb* take_verb(words& list)
{
    for (const auto& it : verbs)
    {
        const auto name = split(it.name, ' ');
        if (list.size() >= name.size() &&
            std::equal(name.begin(), name.end(), list.begin()))
        {
            list.erase(list.begin(),
                       list.begin() + static_cast<std::ptrdiff_t>(name.size()));
            return &it;
        }
    }
    return nullptr;
}

void print_help(std::ostream& out, const verb* selected)
{
    if (selected != nullptr)
        out << "Usage: galenapulley ctl " << usage_of(*selected)
            << " [OPTION...]\n\n"
            << selected->help << "\n\n";
    else
    {
        out << "Usage: galenapulley ctl VERB [OPTION...]\n\nVerbs:\n";
        std::vector<words> rows;
        rows.reserve(verbs.size());
        for (const auto& it : verbs)
            rows.push_back({"  " + usage_of(it), it.help});
        rows.push_back({std::string("  ") + explain_verb + " ID [FILE...]",
                        "Tell one request's story from gateways' logs."});
        print_columns(out, rows);
        out << '\n';
    }
    auto options = make_options();
    const auto text = options.help({""});
    out << "Options:\n" << text.substr(text.find("      --node"));
    out << "\nExit codes: 0 done, 1 refused, 2 usage, 3 no node reachable, "
           "4 outcome unknown.\n";
}

std::string read_token(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("token-file") == 0)
        return environment("GALENAPULLEY_TOKEN");
    const auto file = parsed["token-file"].as<std::string>();
    std::ifstream in(file);
    std::string token;
    if (!(in >> token))
        throw std::invalid_argument("can't read a token from " + file);
    return token;
}

/// Throws std::invalid_argument if the options can't be used.
ctl_options read_options(const cxxopts::ParseResult& parsed)
{
    ctl_options options;
    options.client.nodes = parsed.count("node") != 0
                               ? parsed["node"].as<words>()
                               : split(environment("GALENAPULLEY_NODES"), ',');
    if (options.client.nodes.empty())
        throw std::invalid_argument(
            "no node given; use --node or GALENAPULLEY_NODES");
    options.client.token = read_token(parsed);
    options.client.timeout = parsed["timeout-ms"].as<msec>();
    if (options.client.timeout <= 0)
        throw std::invalid_argument("--timeout-ms must be above 0");
    options.json = parsed.count("json") != 0;
    if (parsed.count("expect") != 0)
        options.expected_version = parsed["expect"].as<std::int64_t>();
    if (parsed.count("change-id") != 0)
        options.change_id = parsed["change-id"].as<std::string>();
    return options;
}

/// `explain ID [FILE...]` reads logs and needs no node.
exit_code explain(const words& args, std::ostream& out, std::ostream& err)
{
    if (args.empty())
        throw std::invalid_argument(
            "usage: galenapulley ctl explain ID [FILE...]");
    request_timeline timeline(args.front());
    if (args.size() == 1)
        timeline.read(std::cin);
    for (std::size_t n = 1; n < args.size(); ++n)
    {
        std::ifstream in(args[n]);
        if (!in)
            throw std::invalid_argument("can't read " + args[n]);
        timeline.read(in);
    }
    if (timeline.print(out))
        return exit_code::done;
    err << "no line about request " << args.front() << '\n';
    return exit_code::refused;
}

exit_code run_verb(const cxxopts::ParseResult& parsed, std::ostream& out,
                   std::ostream& err)
{
    auto list =
        parsed.count("words") != 0 ? parsed["words"].as<words>() : words();
    if (!list.empty() && list.front() == explain_verb &&
        parsed.count("help") == 0)
        return explain({list.begin() + 1, list.end()}, out, err);
    const auto* const selected = take_verb(list);
    if (parsed.count("help") != 0)
    {
        print_help(out, selected);
        return exit_code::done;
    }
    if (selected == nullptr)
        throw std::invalid_argument(
            list.empty() ? "no verb given" : "unknown verb: " + list.front());
    if (list.size() != split(selected->arguments, ' ').size())
        throw std::invalid_argument("usage: galenapulley ctl " +
                                    usage_of(*selected));
    ctl_session session(read_options(parsed), out, err);
    return (session.*selected->run)(list);
}

} // namespace

exit_code run_ctl(const std::vector<std::string>& args, std::ostream& out,
                  std::ostream& err)
{
    std::vector<const char*> argv{"galenapulley ctl"};
    for (const auto& it : args)
        argv.push_back(it.c_str());
    try
    {
        auto options = make_options();
        const auto parsed =
            options.parse(static_cast<int>(argv.size()), argv.data());
        return run_verb(parsed, out, err);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        err << error.what() << '\n';
    }
    catch (const std::invalid_argument& error)
    {
        err << error.what() << '\n';
    }
    err << "Try galenapulley ctl --help.\n";
    return exit_code::usage;
}

} // namespace galenapulley
