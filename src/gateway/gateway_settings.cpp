#include "gateway/gateway_settings.hpp"

#include "galenapulley/json_reader.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <optional>

namespace galenapulley
{

namespace
{

constexpr std::string_view document_kind = "gateway settings";
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning",
                                                     "error"};
constexpr double ms_per_second = 1000;

std::optional<bool> optional_flag(object_reader& reader, const char* key)
{
    if (!reader.has(key))
        return std::nullopt;
    return reader.flag(key);
}

gateway_settings::client_settings read_clients(object_reader& reader)
{
    constexpr double most = 1'000'000;
    const auto count = [&](const char* key, double least, double preset)
    {
        return static_cast<std::uint64_t>(
            reader.decimal(key, least, most, preset));
    };
    gateway_settings::client_settings out;
    out.connections = count("client_connections", 0, 0);
    out.address_connections = count("client_connections_per_address", 0, 0);
    out.input_kb = count("client_input_kb", 20, 64);
    out.input_total_kb = count("client_input_total_kb", 0, 0);
    out.empty_lines = count("client_empty_lines", 1, 8);
    out.unread_kb = count("client_unread_kb", 0, 0);
    out.unread_timeout = static_cast<msec>(
        reader.decimal("client_unread_ms", 500, 60'000, 8000));
    return out;
}

} // namespace

std::uint32_t capacity_of(const gateway_settings& settings)
{
    constexpr double millicores_per_core = 1000;
    return static_cast<std::uint32_t>(millicores_per_core *
                                      settings.processor_share *
                                      settings.processor_speed);
}

absl::StatusOr<gateway_settings> parse_gateway_settings(std::string_view text)
{
    const auto json = parse_json(text, document_kind);
    if (!json.ok())
        return json.status();
    validation_errors errors;
    object_reader reader(*json, "", errors);
    gateway_settings out;
    out.node = reader.text("node", name_rule);
    out.region = reader.text("region", name_rule, std::string("default"));
    out.failure_domain = reader.text("failure_domain", name_rule);
    out.traffic = reader.text("traffic", address_rule);
    out.ready = reader.text("ready", address_rule);
    out.directory = reader.text("directory", address_rule);
    out.peer = reader.text("peer", address_rule);
    if (reader.has("metrics"))
        out.metrics = reader.text("metrics", address_rule);
    out.store = reader.text("store", address_rule);
    out.seeds = reader.names("seeds", address_rule, false);
    // Deployments may compute these numbers, so fractions are accepted.
    out.stop_grace = static_cast<msec>(
        ms_per_second * reader.decimal("stop_grace_s", 1, 600, 8));
    out.directory_ttl = reader.number("directory_ttl_ms", 100, 60'000, 2000);
    out.retry_base = static_cast<std::uint32_t>(
        reader.decimal("retry_base", 0, 1'000'000, 100));
    out.retry_ratio = reader.decimal("retry_ratio", 0, 10, 0.1);
    out.memory_release = static_cast<msec>(
        reader.decimal("memory_return_ms", 500, 60'000, 4000));
    out.memory_mb = static_cast<std::uint64_t>(
        reader.decimal("memory_mb", 16, 1'000'000, 128));
    out.processor_share = reader.decimal("processor_share", 0.001, 1024, 1);
    out.processor_speed = reader.decimal("processor_speed", 0.001, 1024, 1);
    out.decisions = {
        .admission_forecast = optional_flag(reader, "admission_forecast"),
        .account_shares = optional_flag(reader, "account_shares"),
        .endpoint_estimates = optional_flag(reader, "endpoint_estimates")};
    out.clients = read_clients(reader);
    out.peer_connections = static_cast<std::uint64_t>(
        reader.decimal("peer_connections", 0, 1'000'000, 0));
    out.contracts = reader.names("contracts", name_rule, false);
    out.is_bootstrap = reader.flag("bootstrap", false);
    out.log_level = reader.choice("log_level", log_levels, std::string("info"));
    reader.finish();
    if (!errors.empty())
        return errors.status(document_kind);
    return out;
}

} // namespace galenapulley
