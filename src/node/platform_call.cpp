#include "node/platform_call.hpp"

#include "galenapulley/error_kind.hpp"

#include <fmt/format.h>

#include <cctype>
#include <string_view>

namespace galenapulley
{

http_call platform_get(const std::string& url, msec timeout)
{
    return {.url = url, .timeout = timeout, .reuse_connection = true};
}

std::string percent_encoded(const std::string& text)
{
    static constexpr std::string_view unreserved = "-._~";
    std::string out;
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 ||
            unreserved.find(c) != std::string_view::npos)
            out += c;
        else
            out += fmt::format("%{:02X}", byte);
    }
    return out;
}

absl::Status platform_failure(const std::string& url, const http_result& result)
{
    const auto reason = result.error == transfer_error::none
                            ? fmt::format("status {}", result.status)
                            : result.error_text;
    return make_error(error_kind::store_unavailable,
                      fmt::format("{}: {}", url, reason));
}

} // namespace galenapulley
