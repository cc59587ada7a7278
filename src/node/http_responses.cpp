#include "node/http_responses.hpp"

#include <utility>

namespace galenapulley
{

http_response make_error_response(const absl::Status& status,
                                  std::optional<execution> ran)
{
    const auto& defaults = error_response_for(kind_of(status));
    http_response out{.status = defaults.http_status,
                      .body = error_body(status, ran)};
    if (defaults.retry_after > 0)
        out.headers["Retry-After"] =
            std::to_string((defaults.retry_after + 999) / 1000);
    return out;
}

http_response make_json_response(std::string body, int status)
{
    return {.status = status, .body = std::move(body)};
}

} // namespace galenapulley
