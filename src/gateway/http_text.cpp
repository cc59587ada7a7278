#include "gateway/http_text.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace galenapulley
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr double ms_per_second = 1000;
constexpr std::array<std::string_view, 10> connection_headers{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "trailer",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authorization"};

void append_headers(std::string& out, const header_list& headers)
{
    for (const auto& [name, value] : headers)
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
}

/// Responses with these statuses have neither a body nor a Content-Length.
bool has_no_body(int status)
{
    return status == 204 || status == 304;
}

} // namespace

const std::string_view last_chunk = "0\r\n\r\n";

std::string response_head(int status, std::string_view reason,
                          const header_list& headers,
                          std::optional<std::size_t> length, bool keep)
{
    if (reason.empty())
    {
        const auto text =
            http::obsolete_reason(static_cast<http::status>(status));
        reason = {text.data(), text.size()};
    }
    auto out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    append_headers(out, headers);
    if (!length)
        out += "Transfer-Encoding: chunked\r\n";
    else if (!has_no_body(status))
        out += fmt::format("Content-Length: {}\r\n", *length);
    if (!keep)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

std::string chunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string seconds_text(msec n)
{
    return fmt::format("{:.3f}", static_cast<double>(n) / ms_per_second);
}

bool same_header(std::string_view a, std::string_view b)
{
    return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool is_connection_header(std::string_view name)
{
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [name](std::string_view it)
                       { return same_header(it, name); });
}

bool is_named_by_connection(const header_list& headers, std::string_view name)
{
    for (const auto& [key, value] : headers)
        if (same_header(key, "connection") &&
            http::token_list(value).exists({name.data(), name.size()}))
            return true;
    return false;
}

std::string request_text(std::string_view method, std::string_view target,
                         const header_list& headers, std::string_view body)
{
    auto out = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    append_headers(out, headers);
    const bool has_body_method = method != "GET" && method != "HEAD";
    if (!body.empty() || has_body_method)
        out += fmt::format("Content-Length: {}\r\n", body.size());
    out += "Connection: close\r\n\r\n";
    out += body;
    return out;
}

} // namespace galenapulley
