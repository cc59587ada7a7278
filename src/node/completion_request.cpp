#include "node/completion_request.hpp"

#include "galenapulley/error_kind.hpp"
#include "galenapulley/service.hpp"
#include "node/completion_fields.hpp"
#include "node/http_server.hpp"
#include "node/token_hash.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace galenapulley
{

namespace
{

/// Prompts with this many leading bytes in common can share cached KV memory.
constexpr std::size_t prefix_bytes = 4096;

} // namespace

absl::StatusOr<std::optional<msec>> parse_deadline(const http_request& request)
{
    const auto& text = request.header("x-deadline-ms");
    if (text.empty())
        return std::optional<msec>();
    msec value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0)
        return make_error(error_kind::bad_request,
                          "x-deadline-ms: \"" + text +
                              "\" is not a positive number of milliseconds");
    return std::optional<msec>(value);
}

absl::StatusOr<completion_request>
parse_completion_request(const std::string& service, http_request request)
{
    auto fields = parse_completion_fields(request.body);
    if (!fields.ok())
        return fields.status();
    auto deadline = parse_deadline(request);
    if (!deadline.ok())
        return deadline.status();
    // Frees the text before the prompt is escaped again.
    std::string().swap(request.body);

    auto& body = *fields;
    completion_request out;
    out.service = service;
    out.body_memory = std::move(request.body_memory);
    out.token_sha256 =
        token_hash(bearer_token(request.header("authorization")));
    out.model = body["model"].get<std::string>();
    out.prompt_json = body["prompt"].dump();
    out.prompt = std::move(body["prompt"].get_ref<std::string&>());
    out.prompt_tokens = estimate_tokens(out.prompt.size());
    out.max_tokens = body.value("max_tokens", 0U);
    out.stream = body.value("stream", false);
    out.deadline = *deadline;
    out.prefix_hash = XXH3_64bits(out.prompt.data(),
                                  std::min(out.prompt.size(), prefix_bytes));
    out.prompt_hash = XXH3_64bits(out.prompt.data(), out.prompt.size());
    return out;
}

} // namespace galenapulley
