#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace galenapulley
{

struct accounted_body;
struct http_request;

/// A client's completion request, validated as far as possible without the
/// service document.
struct completion_request
{
    std::string service;
    std::string token_sha256;
    std::string model;
    std::string prompt;
    /// The prompt as a JSON string. Serialised on the HTTP worker thread,
    /// because escaping 1 MB would block the control thread for milliseconds.
    std::string prompt_json;
    std::uint32_t prompt_tokens = 0;
    /// 0 if the client did not set it.
    std::uint32_t max_tokens = 0;
    bool stream = false;
    /// The client's time limit for the complete response.
    std::optional<msec> deadline;
    /// Hash of the first 4 KiB of the prompt, for cache affinity.
    std::uint64_t prefix_hash = 0;
    std::uint64_t prompt_hash = 0;
    /// Accounts for the memory of the prompt.
    std::shared_ptr<const accounted_body> body_memory{};
};

/// Parses the body of POST /services/{service}/v1/completions.
absl::StatusOr<completion_request>
parse_completion_request(const std::string& service, http_request request);

/// Value of the x-deadline-ms header; an error if it is not a positive number.
absl::StatusOr<std::optional<msec>> parse_deadline(const http_request& request);

} // namespace galenapulley
