#include "standins/table_store.hpp"

namespace galenapulley::standins
{

namespace
{

/// How long replaced revisions are kept; limits the age of stale reads.
constexpr msec history_ms = 60'000;

} // namespace

commit_result
table_store::commit(const std::vector<table_condition>& conditions,
                    const std::vector<table_write>& writes, msec now)
{
    commit_result result;
    for (const auto& it : conditions)
    {
        if (current_version(it.key) != it.version)
        {
            result.conflict = it.key;
            return result;
        }
    }
    for (const auto& it : writes)
    {
        auto& revisions = rows_[it.key];
        const auto version =
            revisions.empty() ? 1 : revisions.back().version + 1;
        revisions.push_back({version, it.value, now});
        while (revisions.size() > 1 &&
               revisions[1].written_at < now - history_ms)
            revisions.pop_front();
        result.versions[it.key] = version;
    }
    return result;
}

std::optional<table_row> table_store::row(const std::string& key, msec at) const
{
    const auto it = rows_.find(key);
    if (it == rows_.end())
        return {};
    const auto* found = revision_at(it->second, at);
    if (found == nullptr || found->value.is_null())
        return {};
    return table_row{key, found->version, found->value};
}

std::vector<table_row> table_store::rows(const std::string& prefix,
                                         msec at) const
{
    std::vector<table_row> found;
    for (auto it = rows_.lower_bound(prefix);
         it != rows_.end() && it->first.starts_with(prefix); ++it)
    {
        if (auto entry = row(it->first, at))
            found.push_back(std::move(*entry));
    }
    return found;
}

const table_store::revision* table_store::revision_at(const history& revisions,
                                                      msec at)
{
    const revision* found = nullptr;
    for (const auto& it : revisions)
    {
        if (it.written_at <= at)
            found = &it;
    }
    return found;
}

std::uint64_t table_store::current_version(const std::string& key) const
{
    const auto it = rows_.find(key);
    if (it == rows_.end() || it->second.empty() ||
        it->second.back().value.is_null())
        return 0;
    return it->second.back().version;
}

} // namespace galenapulley::standins
