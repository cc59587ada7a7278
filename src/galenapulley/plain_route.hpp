#pragma once

#include "galenapulley/clock.hpp"

#include <string>

namespace galenapulley
{

/// A route of a plain service.
struct plain_route
{
    std::string method;
    std::string path;
    bool idempotent = true;
    msec timeout = 5000;
};

} // namespace galenapulley
