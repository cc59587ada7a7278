#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <string>

namespace galenapulley
{

/// One incarnation of an endpoint, as it describes itself.
struct endpoint
{
    /// Names the incarnation; its answers prove it.
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Left of the cold phase when the description was written.
    msec cold_left = 0;
    /// Unix milliseconds of the start; 0 if unknown. An endpoint may start
    /// again under its former id.
    std::int64_t born = 0;
};

} // namespace galenapulley
