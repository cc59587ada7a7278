#include "galenapulley/config_document.hpp"

#include "galenapulley/error_kind.hpp"

#include "peer.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenapulley
{

namespace
{

// A sender retries a change within minutes; even the busiest document changes
// only a few times in that period.
constexpr std::size_t max_earlier_changes = 16;

} // namespace

bool stored_document::contains_change(const std::string& change_id) const
{
    return document.change_id == change_id ||
           std::find(earlier_change_ids.begin(), earlier_change_ids.end(),
                     change_id) != earlier_change_ids.end();
}

void head_record::set_newest(const document_change& change)
{
    const auto it = std::find_if(changes.begin(), changes.end(),
                                 [&](const document_change& entry)
                                 { return entry.name == change.name; });
    if (it == changes.end())
        changes.push_back(change);
    else
        *it = change;
}

std::string encode_head(const head_record& head)
{
    auto list = nlohmann::json::array();
    for (const auto& it : head.changes)
        list.push_back({{"name", it.name}, {"change_id", it.change_id}});
    return nlohmann::json{{"changes", list}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<head_record> decode_head(const table_row& row)
{
    head_record head;
    if (row.version == 0)
        return head;
    const auto value = nlohmann::json::parse(row.value, nullptr, false);
    if (!value.is_object() || !value.contains("changes"))
        return std::nullopt;
    try
    {
        for (const auto& it : value.at("changes"))
            head.changes.push_back(
                {.name = it.at("name").get<std::string>(),
                 .change_id = it.at("change_id").get<std::string>()});
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
    return head;
}

std::string service_row(std::string_view service_name)
{
    return std::string(services_prefix) + std::string(service_name);
}

std::string encode_row(const stored_document& previous,
                       const std::string& change_id, const std::string& body)
{
    std::vector<std::string> earlier;
    if (previous.document.version != 0)
        earlier.push_back(previous.document.change_id);
    earlier.insert(earlier.end(), previous.earlier_change_ids.begin(),
                   previous.earlier_change_ids.end());
    earlier.resize(std::min(earlier.size(), max_earlier_changes));
    const nlohmann::json value{{"change_id", change_id},
                               {"body", body},
                               {"earlier_change_ids", earlier}};
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<stored_document> decode_row(const table_row& row)
{
    stored_document out;
    out.document.name = row.key;
    out.document.version = row.version;
    if (row.version == 0)
        return out;
    try
    {
        const auto value = nlohmann::json::parse(row.value);
        out.document.change_id = value.at("change_id").get<std::string>();
        out.document.body = value.at("body").get<std::string>();
        out.earlier_change_ids =
            value.value("earlier_change_ids", std::vector<std::string>());
    }
    catch (const nlohmann::json::exception& e)
    {
        return make_error(error_kind::internal,
                          "row " + row.key + " can't be decoded: " + e.what());
    }
    return out;
}

wire::document to_wire(const config_document& document)
{
    wire::document message;
    message.set_name(document.name);
    message.set_version(document.version);
    message.set_change_id(document.change_id);
    message.set_body(document.body);
    return message;
}

config_document from_wire(const wire::document& message)
{
    return {.name = message.name(),
            .version = message.version(),
            .change_id = message.change_id(),
            .body = message.body()};
}

} // namespace galenapulley
