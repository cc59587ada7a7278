#pragma once

#include "galenapulley/error_kind.hpp"
#include "node/http_server.hpp"

#include <optional>

namespace galenapulley
{

/// HTTP response for a failed status. `ran` overrides the error kind's default.
http_response make_error_response(const absl::Status& status,
                                  std::optional<execution> ran = std::nullopt);

http_response make_json_response(std::string body, int status = 200);

} // namespace galenapulley
