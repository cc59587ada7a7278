#include "ctl/admin_client.hpp"

#include "galenapulley/error_kind.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <utility>

namespace galenapulley
{

namespace
{

using nlohmann::json;

/// The error member of a response; null if it has none.
json error_of(const http_result& result)
{
    const auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("error") ||
        !body["error"].is_object())
        return nullptr;
    return body["error"];
}

std::string text_of(const json& error, const char* name)
{
    const auto it = error.find(name);
    return it != error.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string reason_of(const std::string& node, const http_result& result)
{
    if (result.error != transfer_error::none)
        return fmt::format("{}: {}", node, result.error_text);
    const auto error = error_of(result);
    if (!error.is_object())
        return fmt::format("{}: status {}", node, result.status);
    return fmt::format("{}: {}: {} ({})", node, text_of(error, "kind"),
                       text_of(error, "message"), text_of(error, "ran"));
}

bool succeeded(const http_result& result)
{
    return result.error == transfer_error::none && result.status >= 200 &&
           result.status < 300;
}

exit_code outcome_of_change(const http_result& result)
{
    if (result.error == transfer_error::not_connected)
        return exit_code::unreachable;
    if (result.error != transfer_error::none)
        return exit_code::unknown;
    if (succeeded(result))
        return exit_code::done;
    const auto error = error_of(result);
    if (error.is_object())
        return text_of(error, "ran") == name_of(execution::not_run)
                   ? exit_code::refused
                   : exit_code::unknown;
    return result.status < 500 ? exit_code::refused : exit_code::unknown;
}

/// Whether the node can't serve the request now, while another one may.
bool is_refusal_of_node(const http_result& result)
{
    return result.status == 503;
}

admin_response make_response(const std::string& node, const http_result& result,
                             exit_code outcome)
{
    return {.outcome = outcome,
            .status = result.status,
            .body = result.body,
            .reason = outcome == exit_code::done ? std::string()
                                                 : reason_of(node, result)};
}

} // namespace

admin_client::admin_client(admin_client_options options)
    : options_(std::move(options))
{
}

admin_response admin_client::read(const std::string& path)
{
    admin_response last;
    for (const auto& node : options_.nodes)
    {
        const auto result = send(node, {.url = path});
        if (result.error != transfer_error::none)
        {
            // An error response says more than a failed connection.
            if (last.outcome == exit_code::unreachable)
                last.reason = reason_of(node, result);
            continue;
        }
        last = make_response(node, result,
                             succeeded(result) ? exit_code::done
                                               : exit_code::refused);
        if (result.status < 500)
            return last;
    }
    return last;
}

admin_response admin_client::change(const admin_change& request)
{
    constexpr int rounds = 2;
    admin_response last;
    bool may_have_run = false;
    for (int round = 0; round < rounds; ++round)
    {
        for (const auto& node : options_.nodes)
        {
            http_call call{.method = request.method,
                           .url = request.path,
                           .body = request.body};
            call.headers["x-change-id"] = request.change_id;
            if (request.expected_version)
                call.headers["x-expected-version"] =
                    std::to_string(*request.expected_version);
            const auto result = send(node, std::move(call));
            const auto outcome = outcome_of_change(result);
            if (outcome == exit_code::done)
                return make_response(node, result, outcome);
            may_have_run = may_have_run || outcome == exit_code::unknown;
            if (outcome != exit_code::unreachable ||
                last.outcome == exit_code::unreachable)
                last = make_response(
                    node, result, may_have_run ? exit_code::unknown : outcome);
            const bool try_next =
                outcome == exit_code::unreachable ||
                is_refusal_of_node(result) ||
                (outcome == exit_code::unknown && request.retryable);
            if (!try_next)
                return last;
        }
        if (!may_have_run)
            return last;
    }
    return last;
}

http_result admin_client::send(const std::string& node, http_call call)
{
    call.url = "http://" + node + call.url;
    call.timeout = options_.timeout;
    call.connect_timeout = std::min(call.connect_timeout, call.timeout);
    if (!options_.token.empty())
        call.headers["Authorization"] = "Bearer " + options_.token;
    std::promise<http_result> promise;
    client_.start(std::move(call), [&promise](http_result result)
                  { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

} // namespace galenapulley
