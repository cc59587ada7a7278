#pragma once

#include "node/http_client.hpp"

#include <absl/status/status.h>

#include <string>

namespace galenapulley
{

/// A GET to the platform, on a kept connection if there is one.
http_call platform_read(const std::string& url, msec timeout);

/// The text with all but unreserved characters percent-encoded.
std::string percent_encoded(const std::string& text);

/// store_unavailable with what went wrong in the call.
absl::Status platform_failure(const std::string& url,
                              const http_result& result);

} // namespace galenapulley
