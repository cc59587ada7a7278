#include "galenapulley/node_settings.hpp"

#include "galenapulley/json_reader.hpp"

#include <array>

namespace galenapulley
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 6> log_levels{"trace", "debug", "info",
                                                     "warn",  "error", "off"};

constexpr std::uint32_t max_workers = 64;
constexpr std::uint32_t max_lease_ms = 600'000;
constexpr std::uint32_t max_poll_ms = 60'000;
constexpr std::uint32_t max_drain_ms = 3'600'000;
constexpr std::uint32_t max_view_age_ms = 60'000;
/// The least memory in which the largest body is served.
constexpr std::uint32_t min_memory_mb = 160;
constexpr std::uint32_t max_memory_mb = 1'000'000;
constexpr std::uint32_t max_connections = 1'000'000;

admin_account read_account(object_reader& in)
{
    return {.name = in.text("name", name_rule),
            .token_sha256 = in.text("token_sha256", sha256_rule)};
}

std::uint32_t read_ms(object_reader& in, const char* key, std::uint32_t low,
                      std::uint32_t high, msec fallback)
{
    return in.number(key, low, high, static_cast<std::uint32_t>(fallback));
}

void check(object_reader& in, const node_settings& it)
{
    // The lease survives one failed renewal.
    if (it.lease_renew * 2 > it.lease_ttl)
        in.errors().add("lease_renew_ms", it.lease_renew,
                        "at most half of lease_ttl_ms");
    if (!it.listen.empty() && it.listen == it.peer)
        in.errors().add("peer", it.peer, "an address other than listen");
    std::set<std::string> tokens;
    for (const auto* list : {&it.teams, &it.operators})
        for (const auto& account : *list)
            if (!account.token_sha256.empty() &&
                !tokens.insert(account.token_sha256).second)
                in.errors().add(list == &it.teams ? "teams" : "operators",
                                account.name,
                                "a token that no other account has");
}

json list_of(const std::vector<admin_account>& accounts)
{
    auto list = json::array();
    for (const auto& it : accounts)
        list.push_back({{"name", it.name}, {"token_sha256", it.token_sha256}});
    return list;
}

node_settings read_settings(object_reader& in)
{
    node_settings it;
    it.node = in.text("node", name_rule);
    it.zone = in.text("zone", name_rule);
    it.machine = in.text("machine", name_rule);
    it.listen = in.text("listen", address_rule);
    it.peer = in.text("peer", address_rule);
    it.platform = in.text("platform", address_rule);
    it.seeds = in.names("seeds", address_rule, false);
    it.workers = in.number("workers", 1, max_workers, it.workers);
    it.teams = in.objects<admin_account>("teams", true, read_account);
    it.operators = in.objects<admin_account>("operators", true, read_account);
    it.lease_ttl = read_ms(in, "lease_ttl_ms", 1, max_lease_ms, it.lease_ttl);
    it.lease_renew =
        read_ms(in, "lease_renew_ms", 1, max_lease_ms, it.lease_renew);
    it.log_level = in.choice("log_level", log_levels, it.log_level);
    it.engine_poll =
        read_ms(in, "engine_poll_ms", 10, max_poll_ms, it.engine_poll);
    it.drain = read_ms(in, "drain_ms", 0, max_drain_ms, it.drain);
    it.view_max_age =
        read_ms(in, "view_max_age_ms", 100, max_view_age_ms, it.view_max_age);
    it.memory_mb =
        in.number("memory_mb", min_memory_mb, max_memory_mb, it.memory_mb);
    it.client_connections = in.number("client_connections", 0, max_connections,
                                      it.client_connections);
    it.client_connections_per_address =
        in.number("client_connections_per_address", 0, max_connections,
                  it.client_connections_per_address);
    return it;
}

} // namespace

absl::StatusOr<node_settings> parse_node_settings(std::string_view text)
{
    const auto parsed = parse_json(text, "settings");
    if (!parsed.ok())
        return parsed.status();
    validation_errors errors;
    object_reader in(*parsed, "", errors);
    auto it = read_settings(in);
    in.finish();
    check(in, it);
    if (!errors.empty())
        return errors.status("settings");
    return it;
}

std::string format_node_settings(const node_settings& value)
{
    const json out{{"node", value.node},
                   {"zone", value.zone},
                   {"machine", value.machine},
                   {"listen", value.listen},
                   {"peer", value.peer},
                   {"platform", value.platform},
                   {"seeds", value.seeds},
                   {"workers", value.workers},
                   {"teams", list_of(value.teams)},
                   {"operators", list_of(value.operators)},
                   {"lease_ttl_ms", value.lease_ttl},
                   {"lease_renew_ms", value.lease_renew},
                   {"log_level", value.log_level},
                   {"engine_poll_ms", value.engine_poll},
                   {"drain_ms", value.drain},
                   {"view_max_age_ms", value.view_max_age},
                   {"memory_mb", value.memory_mb},
                   {"client_connections", value.client_connections},
                   {"client_connections_per_address",
                    value.client_connections_per_address}};
    return out.dump();
}

} // namespace galenapulley
