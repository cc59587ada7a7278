#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace galenapulley
{

/// This node's share of the room below an endpoint's rate limit. Nodes learn of
/// each other's placements after a delay; if each used all the room meanwhile,
/// nodes with waiting requests would together exceed the limit many times. So a
/// node uses its part of the room in each period, rounded at random.
class rate_share
{
public:
    explicit rate_share(std::string_view node);

    /// Whether this node may place another request. `room` is the number of
    /// requests that the endpoint still takes from the `nodes` nodes that place
    /// requests.
    bool allows(endpoint_key key, std::uint32_t room, std::size_t nodes,
                msec now) const;
    void on_placed(endpoint_key key, msec now);

    /// Longer than an announcement takes.
    static constexpr msec period = 100;

private:
    struct own_placements
    {
        msec period = 0;
        std::uint32_t count = 0;
    };

    static msec period_at(msec now) { return now / period; }
    std::uint32_t placed(endpoint_key key, msec now) const;

    std::uint64_t seed_;
    std::unordered_map<endpoint_key, own_placements> placed_;
};

} // namespace galenapulley
