#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenapulley
{

/// Tables of the platform's store that are replicated to every node.
enum class cluster_table
{
    operations,
    endpoints
};

constexpr int cluster_table_count = 2;

constexpr std::size_t index_of(cluster_table table)
{
    return static_cast<std::size_t>(table);
}

/// A point in the store's history. A store that is restored from a backup
/// starts a new era, in which it continues with the version of the backup: it
/// gives out numbers again that other changes had in the era before.
struct store_version
{
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    bool operator==(const store_version&) const = default;
    /// An era outranks any number.
    std::strong_ordering operator<=>(const store_version& other) const
    {
        return era != other.era ? era <=> other.era : number <=> other.number;
    }
};

/// A row's version belongs to the era of the batch or replica that has it.
struct cluster_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

/// A node's replica of one table: all rows as of one version of the store. The
/// version never decreases, in whatever order responses arrive; a new era
/// counts as an increase.
class cluster_rows
{
public:
    /// Version up to which the replica is complete; number 0 before the first
    /// read.
    store_version version() const { return version_; }
    bool is_read() const { return version_.number > 0; }
    /// Version of the newest known change, deletions included. Unlike
    /// version(), it converges to the same value on all replicas with the same
    /// rows.
    store_version last_change() const { return last_change_; }
    const std::map<std::string, cluster_row>& rows() const { return rows_; }

    /// Replaces all rows, unless `version` is older than the replica. Returns
    /// whether it did.
    bool replace(std::vector<cluster_row> rows, store_version version);
    /// Records the version of a change known from elsewhere; versions older
    /// than last_change() or of another era have no effect.
    void record_change(store_version version);
    /// Applies the changes between the version with the number `after` in the
    /// same era and `version`. Returns false, without any effect, if the
    /// replica is older than that or belongs to another era.
    bool apply(const std::vector<cluster_row>& changes, std::uint64_t after,
               store_version version);

private:
    std::map<std::string, cluster_row> rows_;
    store_version version_;
    store_version last_change_;
};

} // namespace galenapulley
