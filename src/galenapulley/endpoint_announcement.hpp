#pragma once

#include "galenapulley/clock.hpp"

#include <optional>

namespace galenapulley
{

/// What the head of an endpoint's response says of the endpoint itself.
struct endpoint_announcement
{
    /// Requests per second that it takes from all nodes together; absent if it
    /// names no limit.
    std::optional<double> rate_limit{};
    /// Time for which it wants no requests from this node; absent if it names
    /// none.
    std::optional<msec> retry_after{};
    /// It leaves: it ends what runs and wants no new requests.
    bool leaving = false;
};

} // namespace galenapulley
