#include "galenapulley/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace galenapulley
{

namespace
{

constexpr std::string_view id_field = "id:";
/// Length of the longest blank line with the line end before it.
constexpr std::size_t max_terminator_bytes = 4;

/// Offset after the last blank line, which ends an event; 0 if there is none.
std::size_t end_of_events(std::string_view text)
{
    const auto lf = text.rfind("\n\n");
    const auto crlf = text.rfind("\r\n\r\n");
    const auto lf_end = lf == std::string_view::npos ? 0 : lf + 2;
    const auto crlf_end = crlf == std::string_view::npos ? 0 : crlf + 4;
    return lf_end > crlf_end ? lf_end : crlf_end;
}

std::optional<std::uint64_t> parse_id(std::string_view line)
{
    line.remove_prefix(id_field.size());
    while (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec != std::errc())
        return std::nullopt;
    return id;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    // What is buffered holds no end of an event, except for a part of one. To
    // search it again would take quadratic time for bytes without end.
    const auto from =
        buffer_.size() - std::min(buffer_.size(), max_terminator_bytes - 1);
    buffer_.append(bytes);
    const auto found = end_of_events(std::string_view(buffer_).substr(from));
    const auto end = found == 0 ? 0 : from + found;
    std::string complete = buffer_.substr(0, end);
    buffer_.erase(0, end);
    record_ids(complete);
    return complete;
}

void event_splitter::record_ids(std::string_view complete)
{
    while (!complete.empty())
    {
        const auto end = complete.find('\n');
        const auto line = complete.substr(0, end);
        if (line.substr(0, id_field.size()) == id_field)
        {
            if (const auto id = parse_id(line))
            {
                if (!first_id_)
                    first_id_ = id;
                last_id_ = id;
                ++event_count_;
            }
        }
        if (end == std::string_view::npos)
            return;
        complete.remove_prefix(end + 1);
    }
}

} // namespace galenapulley
