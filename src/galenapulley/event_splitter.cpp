#include "galenapulley/event_splitter.hpp"

#include <charconv>

namespace galenapulley
{

namespace
{

constexpr std::string_view id_field = "id:";

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
    kept_.append(bytes);
    const auto end = end_of_events(kept_);
    std::string whole = kept_.substr(0, end);
    kept_.erase(0, end);
    note_ids(whole);
    return whole;
}

void event_splitter::note_ids(std::string_view whole)
{
    while (!whole.empty())
    {
        const auto end = whole.find('\n');
        const auto line = whole.substr(0, end);
        if (line.substr(0, id_field.size()) == id_field)
        {
            if (const auto id = parse_id(line))
            {
                if (!first_id_)
                    first_id_ = id;
                last_id_ = id;
                ++events_;
            }
        }
        if (end == std::string_view::npos)
            return;
        whole.remove_prefix(end + 1);
    }
}

} // namespace galenapulley
