#pragma once

#include "galenapulley/clock.hpp"
#include "gateway/wire_format.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Status line and headers of a response. Without a length, the body follows
/// in chunked transfer encoding.
std::string response_head(int status, std::string_view reason,
                          const header_list& headers,
                          std::optional<std::size_t> length, bool keep);
/// One chunk of a chunked body.
std::string chunk(std::string_view bytes);
/// Terminator of a chunked body.
extern const std::string_view last_chunk;

/// Seconds with three decimals, for Retry-After.
std::string seconds_text(msec n);
/// Whether a header applies to a single connection and is not forwarded.
bool is_connection_header(std::string_view name);
/// Whether the Connection header lists the name, so that it is not forwarded.
bool is_named_by_connection(const header_list& headers, std::string_view name);
bool same_header(std::string_view a, std::string_view b);

/// Request line, headers and body for an endpoint.
std::string request_text(std::string_view method, std::string_view target,
                         const header_list& headers, std::string_view body);

} // namespace galenapulley
