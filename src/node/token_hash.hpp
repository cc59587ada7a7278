#pragma once

#include <string>
#include <string_view>

namespace galenapulley
{

/// Hex SHA-256 of a bearer token, as documents and settings list it.
std::string token_hash(std::string_view token);

/// The token of an Authorization header; empty if there is none.
std::string_view bearer_token(std::string_view authorization);

} // namespace galenapulley
