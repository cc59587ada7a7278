#include "node/admin_api.hpp"

#include "galenapulley/config_change.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/config_sync.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/node_settings.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/service_document.hpp"
#include "node/config_manager.hpp"
#include "node/http_responses.hpp"
#include "node/order_manager.hpp"
#include "node/token_hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace galenapulley
{

using nlohmann::json;

namespace
{

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> segments;
    std::size_t begin = 1;
    while (begin <= path.size())
    {
        const auto end = std::min(path.find('/', begin), path.size());
        segments.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return segments;
}

bool matches(const std::vector<std::string>& pattern,
             const std::vector<std::string>& path)
{
    return pattern.size() == path.size() &&
           std::equal(pattern.begin(), pattern.end(), path.begin(),
                      [](const std::string& a, const std::string& b)
                      { return a == b || (a == "*" && !b.empty()); });
}

absl::StatusOr<std::optional<std::int64_t>>
expected_version(const http_request& request)
{
    const auto& text = request.header("x-expected-version");
    if (text.empty())
        return std::optional<std::int64_t>();
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0)
        return make_error(error_kind::bad_request,
                          "x-expected-version: \"" + text +
                              "\" is not a version number");
    return std::optional(value);
}

/// Change ids are stored, logged and written into JSON.
bool is_change_id(const std::string& text)
{
    constexpr std::size_t max_length = 128;
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 127; });
}

/// Parses the body; returns nothing if it has other fields or types.
std::optional<engine_order> parse_order(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || body.size() != 2 || !body.contains("order") ||
        !body["order"].is_string())
        return std::nullopt;
    engine_order order{.order = body["order"].get<std::string>(), .value = {}};
    const auto known = order.order == "load_model" || order.order == "set_role";
    const auto* field = order.order == "load_model" ? "model" : "role";
    if (!known || !body.contains(field) || !body[field].is_string())
        return std::nullopt;
    order.value = body[field].get<std::string>();
    return order.value.empty() ? std::nullopt : std::optional(order);
}

} // namespace

admin_api::admin_api(dependencies deps) : deps_(std::move(deps)) {}

const std::vector<admin_api::route_entry>& admin_api::routes()
{
    static const std::vector<route_entry> table{
        {"GET", {"admin", "services"}, false, &admin_api::list_services},
        {"GET", {"admin", "services", "*"}, false, &admin_api::get_service},
        {"PUT", {"admin", "services", "*"}, false, &admin_api::put_document},
        {"DELETE",
         {"admin", "services", "*"},
         false,
         &admin_api::remove_document},
        {"POST",
         {"admin", "services", "*", "check"},
         false,
         &admin_api::check_document},
        {"POST", {"admin", "zones", "*", "*"}, true, &admin_api::change_zone},
        {"POST",
         {"admin", "machines", "*", "*"},
         true,
         &admin_api::change_machine},
        {"POST",
         {"admin", "back_ends", "*", "orders"},
         true,
         &admin_api::submit_order},
        {"GET", {"admin", "status"}, false, &admin_api::get_status},
    };
    return table;
}

admin_api::caller admin_api::identify(const http_request& request) const
{
    const auto hash = token_hash(bearer_token(request.header("authorization")));
    const auto has_token = [&](const admin_account& it)
    {
        return it.token_sha256 == hash;
    };
    const auto& settings = deps_.settings;
    caller who;
    who.is_operator = std::any_of(settings.operators.begin(),
                                  settings.operators.end(), has_token);
    const auto team =
        std::find_if(settings.teams.begin(), settings.teams.end(), has_token);
    if (team != settings.teams.end())
        who.team = team->name;
    return who;
}

void admin_api::refuse(const exchange_ptr& exchange, const absl::Status& status)
{
    deps_.counts.count(kind_of(status));
    exchange->respond(make_error_response(status));
}

bool admin_api::refuse_without_baseline(const exchange_ptr& exchange)
{
    if (deps_.sync.has_baseline())
        return false;
    refuse(exchange,
           make_error(error_kind::no_baseline, "this node has not loaded the "
                                               "configuration documents yet"));
    return true;
}

void admin_api::handle(const http_request& request,
                       const exchange_ptr& exchange)
{
    const auto path = split_path(request.path);
    const auto who = identify(request);
    if (!who.is_operator && who.team.empty())
    {
        refuse(exchange, make_error(error_kind::unauthorized,
                                    "the token matches no team or operator"));
        return;
    }
    for (const auto& it : routes())
    {
        if (request.method != it.method || !matches(it.path, path))
            continue;
        if (it.operators_only && !who.is_operator)
            refuse(exchange, make_error(error_kind::forbidden,
                                        "this call is for operators"));
        else
            (this->*it.handle)(request, path, who, exchange);
        return;
    }
    refuse(exchange,
           make_error(error_kind::unknown_route,
                      "no route " + request.method + " " + request.path));
}

void admin_api::list_services(const http_request& /*request*/,
                              const path_segments& /*path*/, const caller& who,
                              const exchange_ptr& exchange)
{
    if (refuse_without_baseline(exchange))
        return;
    json list = json::array();
    for (const auto& it : deps_.registry.services())
    {
        if (!who.is_operator && it->team != who.team)
            continue;
        list.push_back(
            {{"name", it->name},
             {"team", it->team},
             {"version", deps_.registry.version_of(service_row(it->name))},
             {"back_ends", it->back_ends.size()},
             {"customers", it->customers.size()}});
    }
    exchange->respond(make_json_response(json{{"services", list}}.dump()));
}

absl::Status admin_api::may_edit(const caller& who,
                                 const std::string& service_name,
                                 const std::string* body) const
{
    const auto current = deps_.registry.find_service(service_name);
    if (!who.is_operator && current && current->team != who.team)
        return make_error(error_kind::forbidden,
                          "service " + service_name +
                              " belongs to another team");
    if (body == nullptr)
        return absl::OkStatus();
    const auto parsed = parse_service(*body);
    if (!parsed.ok())
        return parsed.status();
    if (parsed->name != service_name)
        return make_error(error_kind::invalid_document,
                          "service: \"" + parsed->name + "\" must be \"" +
                              service_name + "\" as in the path");
    if (!who.is_operator && parsed->team != who.team)
        return make_error(error_kind::forbidden,
                          "team: \"" + parsed->team +
                              "\" is not the team of the token");
    return absl::OkStatus();
}

void admin_api::get_service(const http_request& /*request*/,
                            const path_segments& path, const caller& who,
                            const exchange_ptr& exchange)
{
    if (refuse_without_baseline(exchange))
        return;
    const auto& name = path[2];
    const auto* document = deps_.registry.find(service_row(name));
    if (document == nullptr || document->deleted())
    {
        refuse(exchange, make_error(error_kind::unknown_service,
                                    "unknown service " + name));
        return;
    }
    if (const auto status = may_edit(who, name, nullptr); !status.ok())
    {
        refuse(exchange, status);
        return;
    }
    exchange->respond(make_json_response(json{
        {"name", name},
        {"version", document->version},
        {"document", json::parse(document->body, nullptr,
                                 false)}}.dump()));
}

void admin_api::put_document(const http_request& request,
                             const path_segments& path, const caller& who,
                             const exchange_ptr& exchange)
{
    const auto& name = path[2];
    if (const auto status = may_edit(who, name, &request.body); !status.ok())
    {
        refuse(exchange, status);
        return;
    }
    const auto expected = expected_version(request);
    if (!expected.ok())
        refuse(exchange, expected.status());
    else
        execute(std::make_shared<put_service>(name, request.body, *expected,
                                              who.is_operator ? "" : who.team),
                request, exchange);
}

void admin_api::remove_document(const http_request& request,
                                const path_segments& path, const caller& who,
                                const exchange_ptr& exchange)
{
    const auto& name = path[2];
    const auto expected = expected_version(request);
    if (const auto status = may_edit(who, name, nullptr); !status.ok())
        refuse(exchange, status);
    else if (!expected.ok())
        refuse(exchange, expected.status());
    else
        execute(std::make_shared<remove_service>(
                    name, *expected, who.is_operator ? "" : who.team),
                request, exchange);
}

void admin_api::check_document(const http_request& request,
                               const path_segments& path, const caller& who,
                               const exchange_ptr& exchange)
{
    if (const auto status = may_edit(who, path[2], &request.body); !status.ok())
        refuse(exchange, status);
    else
        exchange->respond(make_json_response(json{{"state", "valid"}}.dump()));
}

void admin_api::change_zone(const http_request& request,
                            const path_segments& path, const caller& /*who*/,
                            const exchange_ptr& exchange)
{
    const auto& zone = path[2];
    if (path[3] == "withdraw")
        execute(std::make_shared<withdraw_zone>(zone), request, exchange);
    else if (path[3] == "return")
        execute(std::make_shared<return_zone>(zone), request, exchange);
    else
        refuse(exchange, make_error(error_kind::unknown_route,
                                    path[3] + ": must be withdraw or return"));
}

void admin_api::change_machine(const http_request& request,
                               const path_segments& path, const caller& /*who*/,
                               const exchange_ptr& exchange)
{
    const auto& machine = path[2];
    if (path[3] == "withdraw")
        execute(std::make_shared<withdraw_machine>(machine), request, exchange);
    else if (path[3] == "return")
        execute(std::make_shared<return_machine>(machine), request, exchange);
    else
        refuse(exchange, make_error(error_kind::unknown_route,
                                    path[3] + ": must be withdraw or return"));
}

void admin_api::submit_order(const http_request& request,
                             const path_segments& path, const caller& /*who*/,
                             const exchange_ptr& exchange)
{
    const auto order = parse_order(request.body);
    if (!order)
    {
        refuse(exchange,
               make_error(error_kind::bad_request,
                          "body: must be {\"order\":\"load_model\",\"model\":"
                          "NAME} or {\"order\":\"set_role\",\"role\":NAME}"));
        return;
    }
    for (const auto& it : deps_.registry.services())
    {
        const auto* target = it->find_back_end(path[2]);
        if (target == nullptr)
            continue;
        deps_.orders.submit(
            *target, *order,
            [this, exchange, name = path[2]](const absl::Status& status,
                                             std::int64_t fence)
            {
                if (status.ok())
                    exchange->respond(make_json_response(
                        json{{"back_end", name}, {"fence", fence}}.dump()));
                else
                    refuse(exchange, status);
            });
        return;
    }
    refuse(exchange,
           make_error(error_kind::no_back_end, "no back end " + path[2]));
}

void admin_api::get_status(const http_request& /*request*/,
                           const path_segments& /*path*/, const caller& /*who*/,
                           const exchange_ptr& exchange)
{
    exchange->respond(make_json_response(deps_.status()));
}

void admin_api::execute(const std::shared_ptr<const config_change>& change,
                        const http_request& request,
                        const exchange_ptr& exchange)
{
    auto change_id = request.header("x-change-id");
    if (!is_change_id(change_id))
    {
        refuse(exchange,
               make_error(error_kind::bad_request,
                          "x-change-id: must be 1 to 128 printable characters "
                          "without spaces; it identifies retries"));
        return;
    }
    deps_.config.execute(
        change, change_id,
        [this, exchange,
         change_id](const absl::StatusOr<change_outcome>& result)
        {
            if (!result.ok())
            {
                refuse(exchange, result.status());
                return;
            }
            exchange->respond(make_json_response(json{
                {"name", result->document.name},
                {"version", result->document.version},
                {"change_id", change_id},
                {"state", result->accepted ? "accepted" : "committed"},
                {"holders", result->holders}}.dump()));
        });
}

} // namespace galenapulley
