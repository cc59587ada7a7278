#include "galenapulley/stream_check.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <utility>

namespace galenapulley
{

namespace
{

constexpr std::size_t max_event_bytes = 1'048'576;
constexpr std::string_view end_marker = "[DONE]";
constexpr std::string_view data_field = "data:";

std::optional<std::uint64_t> number_in(const nlohmann::json& event,
                                       const char* name)
{
    const auto it = event.find(name);
    if (it == event.end() || !it->is_number_unsigned())
        return std::nullopt;
    return it->get<std::uint64_t>();
}

std::optional<std::string> text_in(const nlohmann::json& event,
                                   const char* name)
{
    const auto it = event.find(name);
    if (it == event.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

} // namespace

stream_check::stream_check(std::string attempt_id)
    : attempt_id_(std::move(attempt_id))
{
}

std::vector<stream_event> stream_check::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    while (!bytes.empty() && state_ == stream_state::reading)
    {
        if (std::exchange(after_cr_, false) && bytes.front() == '\n')
        {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        const auto part = bytes.substr(0, end);
        if (line_.size() + data_.size() + part.size() > max_event_bytes)
        {
            fail(stream_state::inconsistent, "event exceeds the size limit");
            break;
        }
        line_ += part;
        if (end == std::string_view::npos)
            break;
        after_cr_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        parse_line(std::exchange(line_, {}), events);
    }
    return events;
}

void stream_check::end_of_input()
{
    if (state_ == stream_state::reading)
        fail(stream_state::needs_resume,
             "connection closed before the end marker");
}

void stream_check::resume(std::string attempt_id)
{
    if (state_ != stream_state::needs_resume)
        return;
    attempt_id_ = std::move(attempt_id);
    state_ = stream_state::reading;
    reason_ = {};
    line_.clear();
    data_.clear();
    has_data_ = false;
    after_cr_ = false;
    finish_.reset();
}

void stream_check::parse_line(std::string_view line,
                              std::vector<stream_event>& events)
{
    if (line.empty())
    {
        if (std::exchange(has_data_, false))
            dispatch(events);
        data_.clear();
        return;
    }
    // Comments and other fields are not forwarded.
    if (line.substr(0, data_field.size()) != data_field)
        return;
    line.remove_prefix(data_field.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    if (std::exchange(has_data_, true))
        data_ += '\n';
    data_ += line;
}

void stream_check::dispatch(std::vector<stream_event>& events)
{
    if (data_ == end_marker)
        handle_end_marker(events);
    else
        handle_event(events);
}

void stream_check::handle_end_marker(std::vector<stream_event>& events)
{
    if (!finish_)
    {
        fail(stream_state::needs_resume, "end marker without finish event");
        return;
    }
    events.push_back(std::move(*finish_));
    finish_.reset();
    state_ = stream_state::complete;
}

void stream_check::handle_event(std::vector<stream_event>& events)
{
    const auto event = nlohmann::json::parse(data_, nullptr, false);
    if (!event.is_object())
    {
        fail(stream_state::needs_resume, "event is not a JSON object");
        return;
    }
    const auto id = text_in(event, "id");
    if (!id || *id != attempt_id_)
    {
        fail(stream_state::inconsistent, "event of another attempt id");
        return;
    }
    const auto index = number_in(event, "index");
    const auto count = number_in(event, "count");
    auto text = text_in(event, "text");
    auto finish = text_in(event, "finish");
    if (finish && count)
        handle_finish(*count, std::move(*finish));
    else if (index && text)
        handle_text(*index, std::move(*text), events);
    else
        fail(stream_state::needs_resume, "event lacks a required field");
}

void stream_check::handle_text(std::uint64_t index, std::string text,
                               std::vector<stream_event>& events)
{
    const auto hash = XXH3_64bits(text.data(), text.size());
    if (index < next_index())
    {
        if (hashes_[index] != hash)
            fail(stream_state::inconsistent,
                 "duplicate index with different text");
        return;
    }
    if (finish_)
    {
        fail(stream_state::inconsistent, "text after the finish event");
        return;
    }
    if (index > next_index())
    {
        fail(stream_state::needs_resume, "gap in the event indices");
        return;
    }
    hashes_.push_back(hash);
    events.push_back({.is_finish = false,
                      .index = index,
                      .text = std::move(text),
                      .finish = {}});
}

void stream_check::handle_finish(std::uint64_t count, std::string reason)
{
    if (count > next_index())
        fail(stream_state::needs_resume,
             "events before the finish event are missing");
    else if (count < next_index())
        fail(stream_state::inconsistent,
             "finish count below the number of events");
    else
        finish_ = stream_event{.is_finish = true,
                               .index = count,
                               .text = {},
                               .finish = std::move(reason)};
}

void stream_check::fail(stream_state state, std::string_view reason)
{
    state_ = state;
    reason_ = reason;
}

} // namespace galenapulley
