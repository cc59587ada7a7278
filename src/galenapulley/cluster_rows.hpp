#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenapulley
{

/// Tables of the platform's store that every node follows.
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

/// A node's copy of one table: all rows as of one version of the store.
/// Copies only move forward, whatever order answers arrive in.
class cluster_rows
{
public:
    /// Version up to which the copy is complete; 0 before the first read.
    std::uint64_t version() const { return version_; }
    /// Version of the newest change that is known, deletions included. Copies
    /// with the same rows may differ in version(), but not in this for long.
    std::uint64_t changed() const { return changed_; }
    const std::map<std::string, cluster_row>& rows() const { return rows_; }

    /// Replaces the copy if `version` is not older than it.
    bool replace(std::vector<cluster_row> rows, std::uint64_t version);
    /// A copy that is complete up to `version` has no changes after that one.
    void set_changed(std::uint64_t changed);
    /// Applies changes that follow version `after`. Returns false, and changes
    /// nothing, if the copy is older than `after`.
    bool apply(const std::vector<cluster_row>& changes, std::uint64_t after,
               std::uint64_t version);

private:
    std::map<std::string, cluster_row> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t changed_ = 0;
};

} // namespace galenapulley
