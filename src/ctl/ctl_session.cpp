#include "ctl/ctl_session.hpp"

#include "ctl/text_output.hpp"
#include "node/platform_call.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <ostream>
#include <random>
#include <utility>

namespace galenapulley
{

namespace
{

using json = nlohmann::ordered_json;

const std::string services_path = "/admin/services";
const std::string status_path = "/admin/status";
const std::string gateway_status_path = "/status";
const std::string gateway_endpoints_path = "/endpoints";
const std::string gateway_accounts_path = "/accounts";

std::string new_change_id()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(),
                       random());
}

std::string path_of(const std::string& collection, const std::string& name,
                    const std::string& action = "")
{
    return collection + "/" + percent_encoded(name) +
           (action.empty() ? "" : "/" + action);
}

} // namespace

ctl_session::ctl_session(ctl_options options, std::ostream& out,
                         std::ostream& err)
    : options_(std::move(options))
    , client_(options_.client)
    , out_(out)
    , err_(err)
{
    if (options_.change_id.empty())
        options_.change_id = new_change_id();
}

exit_code ctl_session::list_services(const arguments& /*args*/)
{
    return show(services_path);
}

exit_code ctl_session::get_service(const arguments& args)
{
    const auto response = client_.read(path_of(services_path, args[0]));
    const auto body = json::parse(response.body, nullptr, false);
    if (response.outcome != exit_code::done || options_.json ||
        !body.is_object() || !body.contains("document"))
        return print_response(response);
    // Print only the document, so that it can be edited and put again.
    out_ << body["document"].dump(2) << '\n';
    return exit_code::done;
}

exit_code ctl_session::put_service(const arguments& args)
{
    const auto source = load_document(args[0]);
    if (!source)
        return exit_code::usage;
    return change_service({.method = "PUT",
                           .path = path_of(services_path, source->name),
                           .body = source->text});
}

exit_code ctl_session::check_service(const arguments& args)
{
    const auto source = load_document(args[0]);
    if (!source)
        return exit_code::usage;
    return send_change({.path = path_of(services_path, source->name, "check"),
                        .body = source->text});
}

exit_code ctl_session::remove_service(const arguments& args)
{
    return change_service(
        {.method = "DELETE", .path = path_of(services_path, args[0])});
}

exit_code ctl_session::withdraw_zone(const arguments& args)
{
    return send_change({.path = path_of("/admin/zones", args[0], "withdraw")});
}

exit_code ctl_session::return_zone(const arguments& args)
{
    return send_change({.path = path_of("/admin/zones", args[0], "return")});
}

exit_code ctl_session::withdraw_machine(const arguments& args)
{
    return send_change(
        {.path = path_of("/admin/machines", args[0], "withdraw")});
}

exit_code ctl_session::return_machine(const arguments& args)
{
    return send_change({.path = path_of("/admin/machines", args[0], "return")});
}

exit_code ctl_session::order_back_end(const arguments& args)
{
    const auto& order = args[1];
    if (order != "load_model" && order != "set_role")
    {
        err_ << "order must be load_model or set_role, not " << order << '\n';
        return exit_code::usage;
    }
    const json body{{"order", order},
                    {order == "load_model" ? "model" : "role", args[2]}};
    // Orders aren't recorded by change id, so a retry could undo a newer order.
    return send_change({.path = path_of("/admin/back_ends", args[0], "orders"),
                        .body = body.dump(),
                        .retryable = false});
}

exit_code ctl_session::show_status(const arguments& /*args*/)
{
    return show(status_path);
}

exit_code ctl_session::show_refusals(const arguments& /*args*/)
{
    auto response = client_.read(status_path);
    if (response.outcome != exit_code::done)
        return print_failure(response);
    const auto body = json::parse(response.body, nullptr, false);
    response.body = body.is_object() && body.contains("refusals")
                        ? body["refusals"].dump()
                        : "{}";
    return print_response(response);
}

exit_code ctl_session::show_metrics(const arguments& /*args*/)
{
    const auto response = client_.read("/metrics");
    if (response.outcome != exit_code::done)
        return print_failure(response);
    out_ << response.body;
    return exit_code::done;
}

exit_code ctl_session::show_gateway(const arguments& /*args*/)
{
    return show(gateway_status_path);
}

exit_code ctl_session::show_endpoints(const arguments& /*args*/)
{
    return show(gateway_endpoints_path);
}

exit_code ctl_session::show_accounts(const arguments& /*args*/)
{
    return show(gateway_accounts_path);
}

exit_code ctl_session::list_nodes(const arguments& /*args*/)
{
    return show("/v1/nodes");
}

std::optional<ctl_session::document>
ctl_session::load_document(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
    {
        err_ << "can't read " << file << '\n';
        return std::nullopt;
    }
    std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("service") ||
        !body["service"].is_string())
    {
        err_ << file << ": not a JSON object with the field \"service\"\n";
        return std::nullopt;
    }
    return document{body["service"].get<std::string>(), std::move(text)};
}

std::optional<std::int64_t>
ctl_session::resolve_expected_version(const std::string& path,
                                      exit_code& failure)
{
    if (options_.expected_version)
        return options_.expected_version;
    const auto response = client_.read(path);
    if (response.status == 404)
        return 0;
    const auto body = json::parse(response.body, nullptr, false);
    if (response.outcome == exit_code::done && body.is_object() &&
        body.contains("version") && body["version"].is_number_integer())
        return body["version"].get<std::int64_t>();
    failure = print_failure(response);
    if (failure == exit_code::done)
    {
        err_ << path << ": the response has no version\n";
        failure = exit_code::refused;
    }
    return std::nullopt;
}

exit_code ctl_session::change_service(admin_change request)
{
    auto failure = exit_code::done;
    request.expected_version = resolve_expected_version(request.path, failure);
    if (!request.expected_version)
        return failure;
    return send_change(std::move(request));
}

exit_code ctl_session::show(const std::string& path)
{
    return print_response(client_.read(path));
}

exit_code ctl_session::send_change(admin_change request)
{
    request.change_id = options_.change_id;
    const auto response = client_.change(request);
    const auto code = print_response(response);
    if (code == exit_code::unknown)
        err_ << "The change may have taken effect. --change-id "
             << request.change_id << " retries the same change.\n";
    return code;
}

exit_code ctl_session::print_response(const admin_response& response)
{
    if (response.outcome != exit_code::done)
        return print_failure(response);
    const auto body = json::parse(response.body, nullptr, false);
    if (body.is_discarded())
        out_ << response.body << (response.body.empty() ? "" : "\n");
    else if (options_.json)
        out_ << body.dump() << '\n';
    else
        print_text(out_, body);
    return exit_code::done;
}

exit_code ctl_session::print_failure(const admin_response& response)
{
    switch (response.outcome)
    {
    case exit_code::done:
    case exit_code::usage:
        return response.outcome;
    case exit_code::refused:
        err_ << "refused: ";
        break;
    case exit_code::unreachable:
        err_ << "no node reachable: ";
        break;
    case exit_code::unknown:
        err_ << "outcome unknown: ";
        break;
    }
    err_ << response.reason << '\n';
    if (options_.json && !response.body.empty())
        out_ << response.body << '\n';
    return response.outcome;
}

} // namespace galenapulley
