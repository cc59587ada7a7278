#pragma once

#include "galenapulley/fleet.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace galenapulley
{

/// Parses and validates a fleet document; errors as for parse_service.
absl::StatusOr<fleet> parse_fleet(std::string_view text);

std::string format_fleet(const fleet& value);

} // namespace galenapulley
