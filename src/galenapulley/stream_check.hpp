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
    /// All events, the finish event and the end mark arrived.
    complete,
    /// Something is missing: resume from next_index().
    needs_resume,
    /// It belongs to another attempt or contradicts what was read before.
    wrong_stream
};

/// A checked event to forward to the caller.
struct stream_event
{
    bool is_finish = false;
    /// Index of a text event; number of text events for the finish event.
    std::uint64_t index = 0;
    std::string text;
    /// Reason of the finish event.
    std::string finish;
};

/// Checks the order and completeness of an engine's event stream.
class stream_check
{
public:
    explicit stream_check(std::string attempt_id);

    /// Takes the next bytes and returns the events they complete. The finish
    /// event is returned only together with the end mark.
    std::vector<stream_event> feed(std::string_view bytes);
    /// The connection ended.
    void end_of_input();
    /// A resumed stream from next_index() follows, under this attempt id.
    void resume(std::string attempt_id);

    stream_state state() const { return state_; }
    std::uint64_t next_index() const { return hashes_.size(); }
    /// Why the state is needs_resume or wrong_stream.
    std::string_view reason() const { return reason_; }

private:
    void take_line(std::string_view line, std::vector<stream_event>& events);
    void dispatch(std::vector<stream_event>& events);
    void take_end_mark(std::vector<stream_event>& events);
    void take_event(std::vector<stream_event>& events);
    void take_text(std::uint64_t index, std::string text,
                   std::vector<stream_event>& events);
    void take_finish(std::uint64_t count, std::string reason);
    void fail(stream_state state, std::string_view reason);

    std::string attempt_id_;
    stream_state state_ = stream_state::reading;
    std::string_view reason_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
    bool after_cr_ = false;
    /// Hash of each text taken, to tell a repeat from a contradiction.
    std::vector<std::uint64_t> hashes_;
    std::optional<stream_event> finish_;
};

} // namespace galenapulley
