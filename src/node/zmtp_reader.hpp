#pragma once

#include "galenapulley/memory_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Reads what a ZeroMQ DEALER socket sends: the greeting and the handshake of
/// ZMTP 3 without security, and then messages of one frame each. Keeps one
/// message at most, within a budget; what is too large or has several frames is
/// dropped as it arrives.
class zmtp_reader
{
public:
    enum class event
    {
        /// All bytes have been read.
        none,
        /// The greeting is complete; the peer waits for the handshake.
        greeted,
        /// A message is complete.
        message,
        /// A message was dropped.
        dropped,
        /// The peer doesn't speak the protocol, or sends without end.
        violation
    };

    /// `max_message`: the largest message that is kept.
    zmtp_reader(memory_budget& messages, std::size_t max_message)
        : messages_(messages), max_message_(max_message)
    {
    }

    /// Reads on at the front of `bytes` up to the next event, and removes what
    /// it has read.
    event advance(std::string_view& bytes);
    /// Takes the complete message.
    std::string take();
    /// Whether a message, or the handshake, is incomplete.
    bool is_incomplete() const;
    /// Bytes of the incomplete message that are kept.
    std::size_t received() const { return body_.size(); }
    /// Memory that it has.
    std::size_t reserved() const { return memory_.size(); }

    /// What this side sends at the beginning of a connection, and as its part
    /// of the handshake.
    static std::string greeting();
    static std::string handshake();

private:
    enum class state
    {
        greeting,
        frame_head,
        command,
        message,
        dropped_frame
    };

    /// Moves bytes to head_ until it has so many; true once it has.
    bool fill_head(std::string_view& bytes, std::size_t size);
    event read_greeting(std::string_view& bytes);
    event read_frame_head(std::string_view& bytes);
    event begin_frame();
    event read_command(std::string_view& bytes);
    event read_message(std::string_view& bytes);
    event drop_frame(std::string_view& bytes);
    event end_dropped_frame();
    void end_frame();

    memory_budget& messages_;
    std::size_t max_message_;
    state state_ = state::greeting;
    /// The greeting, or a frame's flags and length.
    std::string head_;
    std::uint64_t frame_left_ = 0;
    bool has_more_frames_ = false;
    bool is_greeted_ = false;
    bool is_ready_ = false;
    /// The current message has several frames.
    bool has_frames_ = false;
    std::uint64_t dropped_bytes_ = 0;
    std::string body_;
    memory_share memory_;
};

} // namespace galenapulley
