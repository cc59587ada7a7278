#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// A row of the platform's table service. Version 0 means that it is absent.
struct table_row
{
    std::string key;
    std::int64_t version = 0;
    std::string value;
};

/// A condition of a transaction: the row still has this version.
struct row_condition
{
    std::string key;
    std::int64_t version = 0;
};

/// A write of a transaction; without a value it deletes the row.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

struct table_transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

enum class commit_state
{
    committed,
    /// A condition failed; nothing was written.
    conflict,
    /// Rejected by the rate limit, without any effect.
    refused,
    /// There was no response, or an error; the commit may have taken effect.
    unknown
};

struct commit_result
{
    commit_state state = commit_state::unknown;
    /// The key whose condition failed.
    std::string conflict;
    /// New versions of the rows written, by key.
    std::map<std::string, std::int64_t> versions;
};

/// Client of the platform's transactional table service. Each callback runs
/// exactly once, as each call has a timeout, on the thread that owns the caller
/// (the control thread in a node) and never inside the call.
class table_service
{
public:
    using read_callback = std::function<void(absl::StatusOr<table_row>)>;
    using scan_callback =
        std::function<void(absl::StatusOr<std::vector<table_row>>)>;
    using commit_callback = std::function<void(commit_result)>;

    virtual ~table_service() = default;

    /// Returns a row with version 0 if there is none.
    virtual void read(const std::string& key, msec timeout,
                      read_callback done) = 0;
    virtual void scan(const std::string& prefix, msec timeout,
                      scan_callback done) = 0;
    virtual void commit(const table_transaction& transaction, msec timeout,
                        commit_callback done) = 0;
};

} // namespace galenapulley
