#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/cluster_rows.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/routing_table.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenapulley
{

/// Rows returned by a request to the store.
struct row_batch
{
    std::vector<cluster_row> rows{};
    /// The store's newest version at the time of the response.
    std::uint64_t version = 0;
    /// The store no longer has the requested history.
    bool history_lost = false;
    /// How often the store had been restored from a backup; absent if it
    /// doesn't say.
    std::optional<std::uint64_t> era{};
};

/// Client of the platform's store. Each callback runs once, on the control
/// thread.
class row_store
{
public:
    using batch_callback = std::function<void(absl::StatusOr<row_batch>)>;
    using done_callback = std::function<void(absl::Status)>;

    virtual ~row_store() = default;

    /// All rows of a table. Fails if the store takes longer than `timeout` for
    /// a page of them.
    virtual void read(cluster_table table, msec timeout,
                      batch_callback done) = 0;
    /// Changes after a version that there are now; fails after `timeout`.
    virtual void poll(cluster_table table, std::uint64_t after, msec timeout,
                      batch_callback done) = 0;
    /// Changes after a version; waits up to `wait` until there is one. A table
    /// has at most one open watch.
    virtual void watch(cluster_table table, std::uint64_t after, msec wait,
                       batch_callback done) = 0;
    /// Ends the open watch of the table, whose callback gets an error.
    virtual void end_watch(cluster_table table) = 0;
    /// Peer addresses of the nodes registered in the store.
    virtual void read_nodes(
        std::function<void(absl::StatusOr<std::vector<std::string>>)> done) = 0;
    /// Registers this node's peer address in the store.
    virtual void write_node(const std::string& node,
                            const std::string& peer_address,
                            done_callback done) = 0;
};

/// Decodes the rows of the tables.
class row_codec
{
public:
    virtual ~row_codec() = default;

    /// The row that holds the configuration; null if there is none.
    virtual const cluster_row*
    configuration_row(const cluster_rows& operations) const = 0;
    /// The configuration in force; null if there is none yet.
    virtual absl::StatusOr<std::shared_ptr<const routing_table>>
    read_routing(const cluster_rows& operations) const = 0;
    /// Failure domains that operators have withdrawn.
    virtual std::set<std::string>
    read_withdrawn(const cluster_rows& operations) const = 0;
    /// Entries that can't be decoded are skipped and counted in `invalid`.
    virtual std::vector<endpoint>
    read_endpoints(const cluster_rows& endpoints,
                   std::size_t& invalid) const = 0;
};

} // namespace galenapulley
