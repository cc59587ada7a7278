#include "galenapulley/cluster_rows.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

bool cluster_rows::replace(std::vector<cluster_row> rows, std::uint64_t version)
{
    if (version < version_ || version == 0)
        return false;
    const auto before = std::exchange(rows_, {});
    for (auto& it : rows)
    {
        record_change(it.version);
        if (!it.deleted)
            rows_.insert_or_assign(it.key, std::move(it));
    }
    // Rows are missing, so some were deleted; the versions of the deletions
    // are unknown.
    if (std::any_of(before.begin(), before.end(),
                    [this](const auto& it)
                    { return !rows_.contains(it.first); }))
        record_change(version);
    version_ = version;
    return true;
}

void cluster_rows::record_change(std::uint64_t version)
{
    last_change_ = std::max(last_change_, version);
}

bool cluster_rows::apply(const std::vector<cluster_row>& changes,
                         std::uint64_t after, std::uint64_t version)
{
    if (version_ == 0 || version_ < after)
        return false;
    for (const auto& it : changes)
    {
        record_change(it.version);
        const auto known = rows_.find(it.key);
        if (it.version <= version_ ||
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
