#include "galenapulley/service.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace galenapulley
{

namespace
{

constexpr std::size_t bytes_per_token = 5;

template <typename Items, typename Predicate>
auto find_in(const Items& items, Predicate predicate) -> const
    typename Items::value_type*
{
    const auto it = std::find_if(items.begin(), items.end(), predicate);
    return it == items.end() ? nullptr : &*it;
}

} // namespace

const customer* service::find_customer(const std::string& customer_name) const
{
    return find_in(customers, [&](const customer& it)
                   { return it.name == customer_name; });
}

const customer* service::find_customer_by_token(const std::string& sha256) const
{
    return find_in(customers, [&](const customer& it)
                   { return it.token_sha256 == sha256; });
}

const back_end* service::find_back_end(const std::string& back_end_name) const
{
    return find_in(back_ends, [&](const back_end& it)
                   { return it.name == back_end_name; });
}

const plain_route* service::find_route(const std::string& method,
                                       const std::string& path) const
{
    return find_in(routes, [&](const plain_route& it)
                   { return it.method == method && it.path == path; });
}

std::size_t service::class_for(std::uint32_t prompt_tokens) const
{
    std::size_t n = 0;
    while (n + 1 < classes.size() && prompt_tokens > classes[n].up_to_tokens)
        ++n;
    return n;
}

std::string service::shard_of(const back_end& target) const
{
    const auto number = shards_per_zone <= 1 ? 0
                                             : XXH3_64bits(target.name.data(),
                                                           target.name.size()) %
                                                   shards_per_zone;
    return name + "/" + target.zone + "/" + std::to_string(number);
}

std::vector<std::string> service::shards() const
{
    std::set<std::string> ids;
    for (const auto& it : back_ends)
        ids.insert(shard_of(it));
    return {ids.begin(), ids.end()};
}

std::uint32_t estimate_tokens(std::size_t prompt_bytes)
{
    return static_cast<std::uint32_t>((prompt_bytes + bytes_per_token - 1) /
                                      bytes_per_token);
}

std::string service_of_shard(const std::string& shard)
{
    return shard.substr(0, shard.find('/'));
}

std::string zone_of_shard(const std::string& shard)
{
    const auto begin = shard.find('/');
    const auto end = shard.rfind('/');
    if (begin == std::string::npos || end <= begin)
        return {};
    return shard.substr(begin + 1, end - begin - 1);
}

} // namespace galenapulley
