#pragma once

#include "galenapulley/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley::standins
{

struct table_row
{
    std::string key;
    std::uint64_t version = 0;
    nlohmann::json value;
};

struct table_condition
{
    std::string key;
    /// 0: the row must be absent.
    std::uint64_t version = 0;
};

struct table_write
{
    std::string key;
    /// Null deletes the row.
    nlohmann::json value;
};

struct commit_result
{
    /// Key of the first condition that does not hold.
    std::optional<std::string> conflict;
    std::map<std::string, std::uint64_t> versions;
};

/// Rows with versions and their recent history. A deleted row keeps its
/// version counter, so that a row created again gets a higher version.
class table_store
{
public:
    commit_result commit(const std::vector<table_condition>& conditions,
                         const std::vector<table_write>& writes, msec now);

    /// The row as of the time `at`.
    std::optional<table_row> row(const std::string& key, msec at) const;
    std::vector<table_row> rows(const std::string& prefix, msec at) const;

private:
    struct revision
    {
        std::uint64_t version = 0;
        nlohmann::json value;
        msec written_at = 0;
    };
    using history = std::deque<revision>;

    static const revision* revision_at(const history& revisions, msec at);
    std::uint64_t current_version(const std::string& key) const;

    std::map<std::string, history> rows_;
};

} // namespace galenapulley::standins
