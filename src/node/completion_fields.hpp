#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace galenapulley
{

/// Parses the fields of a completion request's body, which are all scalars.
/// Fails at the first field that is unknown or has a nested value, so that the
/// memory that is needed doesn't exceed a small multiple of the body's size.
absl::StatusOr<nlohmann::json> parse_completion_fields(std::string_view body);

} // namespace galenapulley
