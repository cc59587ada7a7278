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

nlohmann::json answer_json(const recorded_answer& answer)
{
    // A body may contain any bytes, a JSON string only valid UTF-8.
    return {{"status", answer.status},
            {"content_type", answer.content_type},
            {"body", absl::Base64Escape(answer.body)},
            {"too_large", answer.too_large},
            {"body_hash", answer.body_hash}};
}

std::optional<recorded_answer> parse_answer(const nlohmann::json& row)
{
    recorded_answer answer{.status = row.at("status"),
                           .content_type = row.at("content_type"),
                           .body = {},
                           .too_large = row.at("too_large"),
                           .body_hash = row.at("body_hash")};
    if (!absl::Base64Unescape(row.at("body").get<std::string>(), &answer.body))
        return std::nullopt;
    return answer;
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
        row["answer"] = answer_json(record.answer);
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
                             .answer = {}};
        if (*state != action_state::done)
            return record;
        auto answer = parse_answer(row.at("answer"));
        if (!answer)
            return std::nullopt;
        record.answer = std::move(*answer);
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

recorded_answer limit_answer(recorded_answer answer)
{
    answer.body_hash = XXH3_64bits(answer.body.data(), answer.body.size());
    if (answer.body.size() <= max_recorded_body_bytes)
        return answer;
    answer.too_large = true;
    answer.body.clear();
    return answer;
}

} // namespace galenapulley
