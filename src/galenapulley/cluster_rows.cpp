#include "galenapulley/cluster_rows.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

bool cluster_rows::replace(std::vector<cluster_row> rows, store_version version)
{
    if (version < version_ || version.number == 0)
        return false;
    const bool is_new_era = version.era > version_.era;
    if (is_new_era)
        last_change_ = {.era = version.era};
    version_ = version;
    const auto before = std::exchange(rows_, {});
    for (auto& it : rows)
    {
        record_change({.era = version.era, .number = it.version});
        if (!it.deleted)
            rows_.insert_or_assign(it.key, std::move(it));
    }
    // Rows are missing, so some were deleted; the versions of the deletions
    // are unknown.
    if (!is_new_era && std::any_of(before.begin(), before.end(),
                                   [this](const auto& it)
                                   { return !rows_.contains(it.first); }))
        record_change(version);
    return true;
}

void cluster_rows::record_change(store_version version)
{
    if (version.era == version_.era)
        last_change_ = std::max(last_change_, version);
}

bool cluster_rows::apply(const std::vector<cluster_row>& changes,
                         std::uint64_t after, store_version version)
{
    if (!is_read() || version.era != version_.era || version_.number < after)
        return false;
    for (const auto& it : changes)
    {
        record_change({.era = version.era, .number = it.version});
        const auto known = rows_.find(it.key);
        if (it.version <= version_.number ||
            (known != rows_.end() && known->second.version >= it.version))
            continue;
        if (it.deleted)
            rows_.erase(it.key);
        else
            rows_.insert_or_assign(it.key, it);
    }
    version_ = std::max(version_, version);
    return true;
}

} // namespace galenapulley
