#include "http/chunked_body.hpp"

#include <algorithm>
#include <charconv>

namespace galenapulley
{

namespace
{

constexpr int hexadecimal = 16;

/// Whether the text has no control characters but tabs.
bool is_field_text(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char deleted = 0x7f;
    return std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           const auto it = static_cast<unsigned char>(c);
                           return c == '\t' ||
                                  (it >= first_printable && it != deleted);
                       });
}

} // namespace

std::optional<std::string_view> chunked_body::read_line(std::string_view& bytes,
                                                        std::size_t limit)
{
    constexpr std::string_view line_end = "\r\n";
    const auto at = bytes.find('\n');
    const auto part = bytes.substr(0, at == bytes.npos ? at : at + 1);
    if (line_.size() + part.size() > limit)
    {
        state_ = state::too_long;
        return std::nullopt;
    }
    bytes.remove_prefix(part.size());
    auto line = part;
    // A line that arrives whole is not copied.
    const bool is_whole = part.ends_with('\n');
    if (!is_whole || !line_.empty())
    {
        line_ += part;
        line = line_;
    }
    if (!is_whole)
        return std::nullopt;
    if (line.ends_with(line_end))
        line.remove_suffix(line_end.size());
    else
        state_ = state::malformed;
    if (!is_field_text(line))
        state_ = state::malformed;
    return state_ == state::malformed ? std::nullopt : std::optional(line);
}

void chunked_body::on_size_line(std::string_view line)
{
    const char* const end = line.data() + line.size();
    const auto parsed =
        std::from_chars(line.data(), end, chunk_left_, hexadecimal);
    const std::string_view rest(parsed.ptr,
                                static_cast<std::size_t>(end - parsed.ptr));
    const auto extension = rest.find_first_not_of(" \t");
    const bool valid =
        parsed.ec == std::errc() &&
        (rest.empty() || (extension != rest.npos && rest[extension] == ';'));
    line_.clear();
    state_ = !valid             ? state::malformed
             : chunk_left_ == 0 ? state::trailer
                                : state::data;
}

void chunked_body::on_trailer_line(std::string_view line)
{
    constexpr std::size_t line_end = 2;
    if (line.empty())
        state_ = state::complete;
    else if (line.find(':') == line.npos)
        state_ = state::malformed;
    trailer_left_ -= line.size() + line_end;
    line_.clear();
}

chunked_body::state chunked_body::advance(std::string_view& bytes)
{
    while (!bytes.empty())
    {
        if (state_ == state::size_line)
        {
            if (const auto line = read_line(bytes, max_size_line))
                on_size_line(*line);
        }
        else if (state_ == state::data_end)
        {
            if (read_line(bytes, 2))
            {
                line_.clear();
                state_ = state::size_line;
            }
            else if (state_ == state::too_long)
                state_ = state::malformed;
        }
        else if (state_ == state::trailer)
        {
            if (const auto line = read_line(bytes, trailer_left_))
                on_trailer_line(*line);
        }
        else
            break;
    }
    return state_;
}

std::string_view chunked_body::take_data(std::string_view& bytes)
{
    const auto n = static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes.size(), chunk_left_));
    const auto out = bytes.substr(0, n);
    bytes.remove_prefix(n);
    chunk_left_ -= n;
    if (chunk_left_ == 0)
        state_ = state::data_end;
    return out;
}

} // namespace galenapulley
