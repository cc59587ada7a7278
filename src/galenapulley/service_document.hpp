#pragma once

#include "galenapulley/service.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Parses and validates a service document. Fails with `invalid_document` and
/// lists up to 10 errors with field path, value and allowed values.
absl::StatusOr<service> parse_service(std::string_view text);

/// Formats a service document with all optional fields.
std::string format_service(const service& value);

/// Length classes for a document that specifies none.
std::vector<length_class> default_classes(std::uint32_t max_prompt_tokens);

} // namespace galenapulley
