#pragma once

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

struct cluster_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

/// A node's replica of one table: all rows as of one version of the store. The
/// version never decreases, in whatever order responses arrive.
class cluster_rows
{
public:
    /// Version up to which the replica is complete; 0 before the first read.
    std::uint64_t version() const { return version_; }
    /// Version of the newest known change, deletions included. Unlike
    /// version(), it converges to the same value on all replicas with the same
    /// rows.
    std::uint64_t last_change() const { return last_change_; }
    const std::map<std::string, cluster_row>& rows() const { return rows_; }

    /// Replaces all rows, unless `version` is older than the replica. Returns
    /// whether it did.
    bool replace(std::vector<cluster_row> rows, std::uint64_t version);
    /// Records the version of a change known from elsewhere; versions older
    /// than last_change() have no effect.
    void record_change(std::uint64_t version);
    /// Applies the changes between the versions `after` and `version`. Returns
    /// false, without any effect, if the replica is older than `after`.
    bool apply(const std::vector<cluster_row>& changes, std::uint64_t after,
               std::uint64_t version);

private:
    std::map<std::string, cluster_row> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t last_change_ = 0;
};

} // namespace galenapulley
