#include "node/answers.hpp"

#include <utility>

namespace galenapulley
{

http_answer error_answer_for(const absl::Status& status,
                             std::optional<execution> ran)
{
    const auto& answer = answer_for(kind_of(status));
    http_answer out{.status = answer.http_status,
                    .body = error_body(status, ran)};
    if (answer.retry_after > 0)
        out.headers["Retry-After"] =
            std::to_string((answer.retry_after + 999) / 1000);
    return out;
}

http_answer json_answer(std::string body, int status)
{
    return {.status = status, .body = std::move(body)};
}

} // namespace galenapulley
