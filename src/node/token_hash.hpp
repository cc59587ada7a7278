#pragma once

#include <string>
#include <string_view>

namespace galenapulley
{

/// Hex SHA-256 of a bearer token, as listed in documents and settings.
std::string token_hash(std::string_view token);

/// Bearer token of an Authorization header; empty if there is none.
std::string_view bearer_token(std::string_view authorization);

} // namespace galenapulley
