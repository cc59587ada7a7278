#include "node/request_handler.hpp"

#include "galenapulley/counters.hpp"
#include "galenapulley/error_kind.hpp"
#include "http/client_request.hpp"
#include "node/completion_request.hpp"
#include "node/control_loop.hpp"
#include "node/http_responses.hpp"
#include "node/known_tokens.hpp"
#include "node/node.hpp"
#include "node/token_hash.hpp"

#include <absl/strings/match.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr std::string_view services_path = "/services/";
constexpr std::string_view completions_path = "/v1/completions";
constexpr std::string_view call_path = "/call";

/// Components of a path /services/{service}{rest}.
struct service_path
{
    std::string service;
    std::string rest;
};

std::optional<service_path> split_service_path(const std::string& path)
{
    if (path.compare(0, services_path.size(), services_path) != 0)
        return std::nullopt;
    const auto end = path.find('/', services_path.size());
    if (end == std::string::npos)
        return std::nullopt;
    return service_path{.service = path.substr(services_path.size(),
                                               end - services_path.size()),
                        .rest = path.substr(end)};
}

bool starts_with(const std::string& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

request_handler::request_handler(control_loop& loop, counters& counts,
                                 node& target, const known_tokens& tokens)
    : loop_(loop), counts_(counts), node_(target), tokens_(tokens)
{
}

std::optional<http_response>
request_handler::check_upload(const client_request& head)
{
    const auto authorization = std::find_if(
        head.headers.begin(), head.headers.end(),
        [](const auto& it)
        { return absl::EqualsIgnoreCase(it.first, "authorization"); });
    const auto token = authorization == head.headers.end()
                           ? std::string_view()
                           : bearer_token(authorization->second);
    if (tokens_.contains(token_hash(token)))
        return std::nullopt;
    const auto status =
        tokens_.is_set()
            ? make_error(error_kind::unauthorized,
                         "the token matches no client account")
            : make_error(error_kind::no_baseline,
                         "this node has not loaded the configuration "
                         "documents yet");
    counts_.count(kind_of(status));
    return make_error_response(status);
}

void request_handler::handle(http_request request,
                             const std::shared_ptr<http_exchange>& exchange)
{
    if (request.path == "/healthz")
    {
        exchange->respond(make_json_response("{\"state\":\"ok\"}"));
        return;
    }
    const auto target = split_service_path(request.path);
    if (target && target->rest == completions_path && request.method == "POST")
    {
        handle_completion(target->service, std::move(request), exchange);
        return;
    }
    if (target && starts_with(target->rest, call_path) &&
        target->rest.size() > call_path.size() &&
        target->rest[call_path.size()] == '/')
    {
        loop_.post(
            [this, exchange, service = target->service,
             path = target->rest.substr(call_path.size()),
             request = std::move(request)]() mutable {
                node_.begin_plain_request(service, path, std::move(request),
                                          exchange);
            });
        return;
    }
    loop_.post([this, exchange, request = std::move(request)]
               { node_.handle_other(request, exchange); });
}

void request_handler::handle_completion(
    const std::string& service, http_request request,
    const std::shared_ptr<http_exchange>& exchange)
{
    auto parsed = parse_completion_request(service, std::move(request));
    if (!parsed.ok())
    {
        counts_.count(kind_of(parsed.status()));
        exchange->respond(make_error_response(parsed.status()));
        return;
    }
    loop_.post([this, exchange, parsed = std::move(*parsed)]() mutable
               { node_.begin_completion(std::move(parsed), exchange); });
}

} // namespace galenapulley
