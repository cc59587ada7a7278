#include "node/zmtp_reader.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

// RFC 23/ZMTP 3.0.
constexpr std::size_t greeting_bytes = 64;
constexpr std::size_t signature_end = 9;
constexpr std::size_t version_at = 10;
constexpr std::size_t mechanism_at = 12;
constexpr std::size_t mechanism_bytes = 20;
constexpr char signature_first = '\xff';
constexpr char signature_last = '\x7f';
constexpr unsigned char least_version = 3;
constexpr std::string_view no_security("NULL\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
                                       mechanism_bytes);
constexpr unsigned flag_more = 1;
constexpr unsigned flag_long = 2;
constexpr unsigned flag_command = 4;
constexpr std::size_t short_head_bytes = 2;
constexpr std::size_t long_head_bytes = 9;

/// Commands carry a few short properties.
constexpr std::size_t max_command_bytes = 4096;
/// What is dropped of one message before the connection is closed.
constexpr std::uint64_t max_dropped_bytes = std::uint64_t{16} << 20;

} // namespace

std::string zmtp_reader::greeting()
{
    std::string out(greeting_bytes, '\0');
    out.front() = signature_first;
    out[signature_end] = signature_last;
    out[version_at] = static_cast<char>(least_version);
    out.replace(mechanism_at, mechanism_bytes, no_security);
    return out;
}

std::string zmtp_reader::handshake()
{
    constexpr std::string_view ready("\5READY\13Socket-Type\0\0\0\6ROUTER", 28);
    std::string out(1, static_cast<char>(flag_command));
    out += static_cast<char>(ready.size());
    return out.append(ready);
}

zmtp_reader::event zmtp_reader::advance(std::string_view& bytes)
{
    auto result = event::none;
    // A frame without content ends without further bytes.
    while (
        result == event::none &&
        (!bytes.empty() || (state_ != state::greeting &&
                            state_ != state::frame_head && frame_left_ == 0)))
    {
        switch (state_)
        {
        case state::greeting:
            result = read_greeting(bytes);
            break;
        case state::frame_head:
            result = read_frame_head(bytes);
            break;
        case state::command:
            result = read_command(bytes);
            break;
        case state::message:
            result = read_message(bytes);
            break;
        case state::dropped_frame:
            result = drop_frame(bytes);
            break;
        }
    }
    return result;
}

bool zmtp_reader::fill_head(std::string_view& bytes, std::size_t size)
{
    const auto n = std::min(bytes.size(), size - std::min(size, head_.size()));
    head_ += bytes.substr(0, n);
    bytes.remove_prefix(n);
    return head_.size() >= size;
}

zmtp_reader::event zmtp_reader::read_greeting(std::string_view& bytes)
{
    const bool complete = fill_head(bytes, greeting_bytes);
    const bool valid =
        head_.front() == signature_first &&
        (head_.size() <= signature_end ||
         head_[signature_end] == signature_last) &&
        (head_.size() <= version_at ||
         static_cast<unsigned char>(head_[version_at]) >= least_version);
    if (!valid)
        return event::violation;
    if (!complete)
        return event::none;
    if (head_.compare(mechanism_at, mechanism_bytes, no_security) != 0)
        return event::violation;
    is_greeted_ = true;
    end_frame();
    return event::greeted;
}

zmtp_reader::event zmtp_reader::read_frame_head(std::string_view& bytes)
{
    if (!fill_head(bytes, 1))
        return event::none;
    const bool is_long =
        (static_cast<unsigned char>(head_.front()) & flag_long) != 0;
    if (!fill_head(bytes, is_long ? long_head_bytes : short_head_bytes))
        return event::none;
    frame_left_ = 0;
    for (const char it : head_.substr(1))
        frame_left_ = frame_left_ << 8U | static_cast<unsigned char>(it);
    return begin_frame();
}

zmtp_reader::event zmtp_reader::begin_frame()
{
    const auto flags = static_cast<unsigned char>(head_.front());
    if ((flags & flag_command) != 0)
    {
        if (frame_left_ > max_command_bytes)
            return event::violation;
        state_ = state::command;
        return event::none;
    }
    if (!is_ready_)
        return event::violation;
    has_more_frames_ = (flags & flag_more) != 0;
    has_frames_ = has_frames_ || has_more_frames_;
    dropped_bytes_ += has_frames_ ? head_.size() : 0;
    memory_ = memory_share(messages_, body_kind::message);
    const bool is_kept = !has_frames_ && frame_left_ <= max_message_ &&
                         memory_.resize(static_cast<std::size_t>(frame_left_));
    if (is_kept)
        body_.reserve(static_cast<std::size_t>(frame_left_));
    else
        dropped_bytes_ += frame_left_;
    state_ = is_kept ? state::message : state::dropped_frame;
    return dropped_bytes_ > max_dropped_bytes ? event::violation : event::none;
}

zmtp_reader::event zmtp_reader::read_command(std::string_view& bytes)
{
    const auto n = static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes.size(), frame_left_));
    bytes.remove_prefix(n);
    frame_left_ -= n;
    if (frame_left_ == 0)
    {
        // The first command is the peer's part of the handshake.
        is_ready_ = true;
        end_frame();
    }
    return event::none;
}

zmtp_reader::event zmtp_reader::read_message(std::string_view& bytes)
{
    const auto n = static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes.size(), frame_left_));
    body_ += bytes.substr(0, n);
    bytes.remove_prefix(n);
    frame_left_ -= n;
    if (frame_left_ > 0)
        return event::none;
    end_frame();
    return event::message;
}

zmtp_reader::event zmtp_reader::drop_frame(std::string_view& bytes)
{
    const auto n = static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes.size(), frame_left_));
    bytes.remove_prefix(n);
    frame_left_ -= n;
    return frame_left_ == 0 ? end_dropped_frame() : event::none;
}

zmtp_reader::event zmtp_reader::end_dropped_frame()
{
    end_frame();
    if (has_more_frames_)
        return event::none;
    has_frames_ = false;
    dropped_bytes_ = 0;
    return event::dropped;
}

void zmtp_reader::end_frame()
{
    head_.clear();
    state_ = state::frame_head;
}

std::string zmtp_reader::take()
{
    memory_ = memory_share();
    return std::exchange(body_, {});
}

bool zmtp_reader::is_incomplete() const
{
    return !is_ready_ || state_ != state::frame_head || !head_.empty() ||
           has_frames_;
}

} // namespace galenapulley
