#include "galenapulley/routing_table.hpp"

#include <array>
#include <utility>

namespace galenapulley
{

std::string_view name_of(request_kind kind)
{
    constexpr std::array<std::string_view, 3> names{
        "idempotent", "non_idempotent", "streaming"};
    return names.at(static_cast<std::size_t>(kind));
}

routing_table::routing_table(std::uint64_t version, std::vector<route> routes,
                             std::vector<service_profile> services,
                             std::vector<client_account> accounts,
                             client_limits limits)
    : version_(version)
    , routes_(std::move(routes))
    , accounts_(std::move(accounts))
    , limits_(limits)
{
    for (std::size_t n = 0; n < routes_.size(); ++n)
        hosts_[routes_[n].host][routes_[n].prefix] = n;
    for (auto& it : services)
        services_.emplace(it.name, std::move(it));
    for (std::size_t n = 0; n < accounts_.size(); ++n)
        for (const auto& key : accounts_[n].keys)
            keys_[key] = n;
}

const route* routing_table::find(std::string_view host,
                                 std::string_view path) const
{
    const auto host_it = hosts_.find(std::string(host));
    if (host_it == hosts_.end())
        return nullptr;
    const auto& prefixes = host_it->second;
    // Prefixes end with a slash, so only prefixes up to a slash of the path can
    // match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        const auto it = prefixes.find(std::string(path.substr(0, end + 1)));
        if (it != prefixes.end())
            return &routes_[it->second];
    }
    return nullptr;
}

const client_account* routing_table::account_of(const std::string& key) const
{
    const auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : &accounts_[it->second];
}

const service_profile* routing_table::service(const std::string& name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

const std::string& routing_table::pick_service(const route& value,
                                               std::uint64_t request_hash)
{
    std::uint64_t total = 0;
    for (const auto& it : value.services)
        total += it.weight;
    auto point = total == 0 ? 0 : request_hash % total;
    for (const auto& it : value.services)
    {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return value.services.front().service;
}

} // namespace galenapulley
