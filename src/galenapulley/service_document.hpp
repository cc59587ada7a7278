#pragma once

#include "galenapulley/service.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Parses and checks a service document. A failure is `invalid_document` and
/// names up to 10 faults by field path, value and what is allowed.
absl::StatusOr<service> parse_service(std::string_view text);

/// Service document of a service, with every optional field written out.
std::string format_service(const service& value);

/// Length classes of a document that lists none.
std::vector<length_class> default_classes(std::uint32_t max_prompt_tokens);

} // namespace galenapulley
