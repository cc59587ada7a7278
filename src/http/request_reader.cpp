#include "http/request_reader.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace galenapulley
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Memory of the input that is kept between requests.
constexpr std::size_t kept_bytes = 1024;
/// HTTP/1.1, as Boost.Beast numbers it.
constexpr unsigned chunked_since_version = 11;

bool is_visible(char c)
{
    return c > ' ' && c <= '~';
}

using head_parser = http::request_parser<http::empty_body>;

/// Whether the message has no transfer coding, or only "chunked" in one header.
bool has_known_coding(const head_parser::value_type& message)
{
    const auto [begin, end] =
        message.equal_range(http::field::transfer_encoding);
    if (begin == end)
        return true;
    return std::next(begin) == end &&
           message.version() >= chunked_since_version &&
           beast::iequals(begin->value(), "chunked");
}

} // namespace

void request_reader::feed(std::string_view bytes)
{
    // Moves fewer bytes than have been taken, so that the work stays bounded.
    if (taken_ > 0 && taken_ >= in_.size() - taken_)
    {
        in_.erase(0, taken_);
        taken_ = 0;
    }
    in_ += bytes;
}

std::string_view request_reader::rest() const
{
    return std::string_view(in_).substr(taken_);
}

void request_reader::drop(std::size_t n)
{
    taken_ += n;
    if (taken_ < in_.size())
        return;
    taken_ = 0;
    in_.clear();
    if (in_.capacity() > kept_bytes)
        in_.shrink_to_fit();
}

bool request_reader::is_idle() const
{
    return state_ == read_state::idle && buffered() == 0;
}

read_state request_reader::fail(error_kind kind, std::string_view reason,
                                std::optional<client_limit> exceeded)
{
    exceeded_ = exceeded;
    failure_ = kind;
    failure_reason_ = reason;
    return read_state::failed;
}

read_state request_reader::read(const reader_limits& limits)
{
    if (state_ == read_state::idle && buffered() > 0)
        state_ = read_state::head;
    if (state_ == read_state::head && searched_ == 0)
        state_ = skip_empty_lines(limits);
    if (state_ == read_state::head)
        state_ = find_head(limits);
    if (state_ == read_state::body)
        state_ = read_body();
    return state_;
}

read_state request_reader::skip_empty_lines(const reader_limits& limits)
{
    auto bytes = rest();
    for (; bytes.starts_with("\r\n"); bytes.remove_prefix(2))
        if (++empty_lines_ > limits.empty_lines)
            return fail(error_kind::bad_request,
                        "too many empty lines before the request",
                        client_limit::empty_lines);
    drop(buffered() - bytes.size());
    // Some clients send an empty line after a body.
    return bytes.empty() ? read_state::idle : read_state::head;
}

read_state request_reader::find_head(const reader_limits& limits)
{
    const auto bytes = rest();
    if (bytes == "\r")
        return read_state::head;
    if (!is_visible(bytes.front()))
        return fail(error_kind::bad_request, "not an HTTP request");
    for (;;)
    {
        const auto end = bytes.find('\n', searched_);
        searched_ = end == bytes.npos ? bytes.size() : end + 1;
        if (searched_ > limits.header_bytes)
            return fail(error_kind::headers_too_large,
                        "the request's head is too large",
                        client_limit::head_size);
        if (end == bytes.npos)
            return read_state::head;
        const auto line = bytes.substr(line_begin_, searched_ - line_begin_);
        if (!line.ends_with("\r\n"))
            return fail(error_kind::bad_request, "invalid end of line");
        line_begin_ = searched_;
        if (line.size() == 2)
            return parse_head(bytes.substr(0, searched_), limits);
    }
}

read_state request_reader::parse_head(std::string_view head,
                                      const reader_limits& limits)
{
    head_parser parser;
    // The body is read here, without a copy of the bytes in between.
    parser.skip(true);
    parser.eager(true);
    parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    boost::system::error_code ec;
    parser.put({head.data(), head.size()}, ec);
    if (ec || !parser.is_done())
        return fail(error_kind::bad_request, "invalid request head");
    const auto& message = parser.get();
    if (!has_known_coding(message))
        return fail(error_kind::bad_request, "unsupported transfer coding");
    request_ = {};
    request_.method = std::string(message.method_string());
    request_.target = std::string(message.target());
    request_.http_version = message.version();
    request_.keep_alive = message.keep_alive();
    for (const auto& it : message)
    {
        if (it.name() == http::field::host)
            request_.host = std::string(it.value());
        request_.headers.emplace_back(std::string(it.name_string()),
                                      std::string(it.value()));
    }
    request_.body_memory =
        memory_share(bodies_, parser.chunked() ? body_kind::chunked_upload
                                               : body_kind::sized_upload);
    max_body_ = limits.body_bytes;
    length_ = parser.content_length().value_or(0);
    if (length_ > max_body_)
        return fail(error_kind::body_too_large, "the body is too large",
                    client_limit::body_size);
    if (parser.chunked())
        chunks_.emplace(limits.header_bytes);
    else if (!reserve_whole())
        return refuse_body();
    expects_continue_ =
        (chunks_ || length_ > 0) &&
        beast::iequals(message[http::field::expect], "100-continue");
    drop(head.size());
    return read_state::body;
}

read_state request_reader::read_body()
{
    return chunks_ ? read_chunked_body() : read_sized_body();
}

read_state request_reader::read_sized_body()
{
    const auto bytes = rest().substr(0, length_ - request_.body.size());
    const auto result = append(bytes);
    drop(bytes.size());
    if (result == read_state::body && request_.body.size() == length_)
        return read_state::complete;
    return result;
}

read_state request_reader::read_chunked_body()
{
    auto bytes = rest();
    for (;;)
    {
        const auto at = chunks_->advance(bytes);
        if (at == chunked_body::state::malformed)
            return fail(error_kind::bad_request, "invalid chunked body");
        if (at == chunked_body::state::too_long)
            return fail(error_kind::headers_too_large,
                        "chunk extensions or trailer fields are too large",
                        client_limit::head_size);
        if (at == chunked_body::state::data &&
            chunks_->chunk_left() > max_body_ - request_.body.size())
            return fail(error_kind::body_too_large, "the body is too large",
                        client_limit::body_size);
        if (at == chunked_body::state::data && !bytes.empty())
        {
            if (append(chunks_->take_data(bytes)) == read_state::failed)
                return read_state::failed;
            continue;
        }
        drop(buffered() - bytes.size());
        return at == chunked_body::state::complete ? read_state::complete
                                                   : read_state::body;
    }
}

read_state request_reader::append(std::string_view bytes)
{
    if (chunks_ && !grow(request_.body.size() + bytes.size()))
        return refuse_body();
    request_.body += bytes;
    return read_state::body;
}

read_state request_reader::refuse_body()
{
    return fail(error_kind::overloaded, "no memory for the request's body",
                client_limit::body_memory);
}

bool request_reader::reserve_whole()
{
    const auto bytes = static_cast<std::size_t>(length_);
    if (!request_.body_memory.resize(bytes))
        return false;
    request_.body.reserve(bytes);
    return true;
}

bool request_reader::grow(std::size_t bytes)
{
    auto& body = request_.body;
    if (bytes <= request_.body_memory.size())
        return true;
    auto room = std::min(max_body_, 2 * bytes);
    if (!request_.body_memory.resize(room))
    {
        room = bytes;
        if (!request_.body_memory.resize(room))
            return false;
    }
    body.reserve(room);
    return true;
}

void request_reader::discard()
{
    // Assigning an empty string would keep the body's memory.
    std::string().swap(request_.body);
    request_ = {};
    drop(buffered());
    state_ = read_state::failed;
}

std::optional<std::uint64_t> request_reader::body_length() const
{
    return chunks_ ? std::nullopt : std::optional(length_);
}

client_request request_reader::take()
{
    state_ = read_state::idle;
    searched_ = 0;
    line_begin_ = 0;
    empty_lines_ = 0;
    chunks_.reset();
    expects_continue_ = false;
    return std::exchange(request_, {});
}

} // namespace galenapulley
