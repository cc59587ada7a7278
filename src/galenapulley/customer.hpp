#pragma once

#include <cstdint>
#include <string>

namespace galenapulley
{

/// A client account of a service.
struct customer
{
    std::string name;
    /// Hex SHA-256 of its bearer token.
    std::string token_sha256;
    /// Relative share of the service while customers compete for it.
    std::uint32_t weight = 1;
    std::uint32_t max_in_flight = 50;
};

} // namespace galenapulley
