#pragma once

#include "node/http_client.hpp"

#include <absl/status/status.h>

#include <string>

namespace galenapulley
{

/// GET request to the platform that may use a pooled connection.
http_call platform_get(const std::string& url, msec timeout);

/// Percent-encodes all characters other than RFC 3986's unreserved ones.
std::string percent_encoded(const std::string& text);

/// Error store_unavailable with the cause of the failed call.
absl::Status platform_failure(const std::string& url,
                              const http_result& result);

} // namespace galenapulley
