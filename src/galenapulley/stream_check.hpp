#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

enum class stream_state
{
    reading,
    /// All text events, the finish event and the end marker were received.
    complete,
    /// Events are missing: the stream is to be resumed from next_index().
    needs_resume,
    /// The stream belongs to another attempt or contradicts earlier events.
    inconsistent
};

/// A validated event to forward to the client.
struct stream_event
{
    bool is_finish = false;
    /// Index of a text event; number of text events for the finish event.
    std::uint64_t index = 0;
    std::string text;
    /// Finish reason; empty for a text event.
    std::string finish;
};

/// Parses the event stream of an engine and checks its order and completeness.
class stream_check
{
public:
    explicit stream_check(std::string attempt_id);

    /// Parses the next bytes and returns the events that they complete. The
    /// finish event is held back until the end marker.
    std::vector<stream_event> feed(std::string_view bytes);
    /// Reports that the connection was closed.
    void end_of_input();
    /// Expects a stream resumed at next_index() under a new attempt id.
    void resume(std::string attempt_id);

    stream_state state() const { return state_; }
    std::uint64_t next_index() const { return hashes_.size(); }
    /// Reason for the state needs_resume or inconsistent.
    std::string_view reason() const { return reason_; }

private:
    void parse_line(std::string_view line, std::vector<stream_event>& events);
    void dispatch(std::vector<stream_event>& events);
    void handle_end_marker(std::vector<stream_event>& events);
    void handle_event(std::vector<stream_event>& events);
    void handle_text(std::uint64_t index, std::string text,
                     std::vector<stream_event>& events);
    void handle_finish(std::uint64_t count, std::string reason);
    void fail(stream_state state, std::string_view reason);

    std::string attempt_id_;
    stream_state state_ = stream_state::reading;
    std::string_view reason_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
    bool after_cr_ = false;
    /// Hash of the text of each event, to tell a duplicate from a
    /// contradiction.
    std::vector<std::uint64_t> hashes_;
    std::optional<stream_event> finish_;
};

} // namespace galenapulley
