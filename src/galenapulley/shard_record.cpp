#include "galenapulley/shard_record.hpp"

#include "galenapulley/service.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace galenapulley
{

std::string shard_key(const std::string& shard)
{
    return "shards/" + shard;
}

std::string format_shard(const shard_record& record)
{
    auto lapsed = nlohmann::json::array();
    for (const auto& it : record.lapsed)
        lapsed.push_back({{"node", it.node},
                          {"incarnation", it.incarnation},
                          {"machine", it.machine}});
    const nlohmann::json row{{"node", record.node},
                             {"incarnation", record.incarnation},
                             {"epoch", record.epoch},
                             {"lapsed", lapsed}};
    return row.dump();
}

std::optional<shard_record> parse_shard(const std::string& value)
{
    try
    {
        const auto row = nlohmann::json::parse(value);
        shard_record record{.node = row.at("node"),
                            .incarnation = row.at("incarnation"),
                            .epoch = row.at("epoch"),
                            .lapsed = {}};
        for (const auto& it : row.at("lapsed"))
            record.lapsed.push_back({.node = it.at("node"),
                                     .incarnation = it.at("incarnation"),
                                     .machine = it.at("machine")});
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

std::uint32_t shard_allowance(std::uint32_t limit, std::uint32_t lapsed_owners,
                              bool held)
{
    // Halving with rounding up stays at 0 or 1 once it gets there.
    for (std::uint32_t n = 0; n < lapsed_owners && limit > 1; ++n)
        limit -= limit / 2;
    return held ? limit : limit / 2;
}

std::vector<std::string> rank_candidates(const std::string& shard,
                                         const std::vector<known_node>& nodes)
{
    const auto zone = zone_of_shard(shard);
    std::vector<std::tuple<bool, std::uint64_t, std::string>> order;
    for (const auto& it : nodes)
    {
        if (it.leaving)
            continue;
        const auto text = shard + "\n" + it.node;
        order.emplace_back(it.zone != zone,
                           ~XXH3_64bits(text.data(), text.size()), it.node);
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto& it : order)
        names.push_back(std::move(std::get<2>(it)));
    return names;
}

} // namespace galenapulley
