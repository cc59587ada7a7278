#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace galenapulley
{

/// Tells whether this node is partitioned from the endpoints: connections to
/// several of them have failed, and none that was begun later has succeeded. An
/// endpoint that is merely silent still accepts connections. Whether the
/// endpoints are down for all nodes is for the peers' reports to tell.
class partition_detector
{
public:
    /// Whether the node became partitioned or ceased to be.
    enum class change
    {
        none,
        began,
        ended
    };

    /// A connection that was begun at `began_at` has been made. `endpoints` is
    /// the number of endpoints that are known.
    change on_connected(endpoint_key key, msec began_at, std::size_t endpoints);
    /// A connection couldn't be made.
    change on_unreachable(endpoint_key key, msec began_at, msec now,
                          std::size_t endpoints);

    bool is_partitioned() const { return partitioned_at_.has_value(); }
    /// When the node became partitioned.
    std::optional<msec> partitioned_at() const { return partitioned_at_; }
    /// When the latest connection that was made began.
    std::optional<msec> last_contact() const { return last_contact_; }

    /// Endpoints to which connections fail before a node is partitioned.
    static constexpr std::size_t failed_endpoints = 3;
    /// Endpoints to which connections succeed before it no longer is.
    static constexpr std::size_t regained_endpoints = 2;
    /// Older failures don't count.
    static constexpr msec failure_window = 5000;

private:
    /// When the failed connections to each endpoint began, since the latest
    /// success.
    std::map<endpoint_key, msec> failed_;
    /// Endpoints that were reached during the partition, without a failure in
    /// between.
    std::set<endpoint_key> regained_;
    std::optional<msec> partitioned_at_;
    std::optional<msec> last_contact_;
};

} // namespace galenapulley
