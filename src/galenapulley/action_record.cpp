#include "galenapulley/action_record.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <cctype>
#include <string_view>

namespace galenapulley
{

namespace
{

constexpr std::array<std::string_view, 3> state_names{"started", "done",
                                                      "not_run"};

void append_escaped(std::string& out, const std::string& part)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (const auto c : part)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.')
        {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
}

nlohmann::json response_json(const recorded_response& response)
{
    // A body may contain any bytes, a JSON string only valid UTF-8.
    return {{"status", response.status},
            {"content_type", response.content_type},
            {"body", absl::Base64Escape(response.body)},
            {"too_large", response.too_large},
            {"body_hash", response.body_hash}};
}

std::optional<recorded_response> parse_response(const nlohmann::json& row)
{
    recorded_response response{.status = row.at("status"),
                               .content_type = row.at("content_type"),
                               .body = {},
                               .too_large = row.at("too_large"),
                               .body_hash = row.at("body_hash")};
    if (!absl::Base64Unescape(row.at("body").get<std::string>(),
                              &response.body))
        return std::nullopt;
    return response;
}

std::optional<action_state> state_from(const std::string& name)
{
    for (std::size_t n = 0; n < state_names.size(); ++n)
        if (state_names.at(n) == name)
            return static_cast<action_state>(n);
    return std::nullopt;
}

} // namespace

std::string row_key(const action_key& key)
{
    std::string out = "actions/";
    append_escaped(out, key.service);
    out += '/';
    append_escaped(out, key.customer);
    out += '/';
    append_escaped(out, key.idempotency_key);
    return out;
}

std::string format_action(const action_record& record)
{
    nlohmann::json row{
        {"state", state_names.at(static_cast<std::size_t>(record.state))},
        {"attempt", record.attempt_id},
        {"body_hash", record.body_hash},
        {"node", record.node},
        {"incarnation", record.incarnation}};
    if (record.state == action_state::done)
        row["answer"] = response_json(record.response);
    return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<action_record> parse_action(const std::string& value)
{
    try
    {
        const auto row = nlohmann::json::parse(value);
        const auto state = state_from(row.at("state"));
        if (!state)
            return std::nullopt;
        action_record record{.state = *state,
                             .attempt_id = row.at("attempt"),
                             .body_hash = row.at("body_hash"),
                             .node = row.at("node"),
                             .incarnation = row.at("incarnation"),
                             .response = {}};
        if (*state != action_state::done)
            return record;
        auto response = parse_response(row.at("answer"));
        if (!response)
            return std::nullopt;
        record.response = std::move(*response);
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

recorded_response limit_response(recorded_response response)
{
    response.body_hash =
        XXH3_64bits(response.body.data(), response.body.size());
    if (response.body.size() <= max_recorded_body_bytes)
        return response;
    response.too_large = true;
    response.body.clear();
    return response;
}

} // namespace galenapulley
