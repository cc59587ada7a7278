#pragma once

#include "galenapulley/clients/client_limit.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/memory_budget.hpp"
#include "http/chunked_body.hpp"
#include "http/client_request.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// How far the current request has been read.
enum class read_state
{
    /// No byte of it has arrived.
    idle,
    head,
    body,
    complete,
    /// It can't be read; the connection has to be closed.
    failed
};

/// Bounds of what a client may send as one request.
struct reader_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} << 20;
    /// Empty lines before a request, which RFC 7230 (3.5) lets servers ignore.
    std::size_t empty_lines = 8;
};

/// Reads requests from bytes that are fed to it, however they are divided. It
/// owns the bytes that no request has taken yet; nothing else writes to them.
/// The work per byte is bounded. A body whose announced length finds no memory
/// is refused before any of its bytes is read.
class request_reader
{
public:
    /// Accounts for bodies in `bodies` while they arrive.
    explicit request_reader(memory_budget& bodies) : bodies_(bodies) {}

    void feed(std::string_view bytes);
    /// Reads on in the current request with the bytes at hand.
    read_state read(const reader_limits& limits);
    /// Takes the complete request; the next one begins behind it.
    client_request take();
    /// Drops all bytes at hand; nothing more is read.
    void discard();
    /// The request whose body is being read; its body is incomplete.
    const client_request& current() const { return request_; }
    /// Length of that body; nothing if it is chunked.
    std::optional<std::uint64_t> body_length() const;

    /// Whether no byte of another request is at hand.
    bool is_idle() const;
    /// Bytes that no request has taken yet.
    std::size_t buffered() const { return in_.size() - taken_; }
    /// Memory of the input buffer, which may exceed buffered().
    std::size_t memory() const { return in_.capacity(); }
    /// Whether the client waits for an interim response before it sends the
    /// body.
    bool expects_continue() const { return expects_continue_; }
    /// Why reading failed.
    error_kind failure() const { return failure_; }
    std::string_view failure_reason() const { return failure_reason_; }
    /// The limit that was exceeded, if any was.
    std::optional<client_limit> exceeded() const { return exceeded_; }

private:
    std::string_view rest() const;
    void drop(std::size_t n);
    read_state fail(error_kind kind, std::string_view reason,
                    std::optional<client_limit> exceeded = std::nullopt);
    read_state skip_empty_lines(const reader_limits& limits);
    /// Looks for the end of the head in the bytes that it has not seen yet.
    read_state find_head(const reader_limits& limits);
    read_state parse_head(std::string_view head, const reader_limits& limits);
    read_state read_body();
    read_state read_sized_body();
    read_state read_chunked_body();
    read_state append(std::string_view bytes);
    read_state refuse_body();
    /// Makes room for the whole body; false if the memory doesn't allow it.
    bool reserve_whole();
    /// Makes room for more bytes of a chunked body; false if the memory doesn't
    /// allow it.
    bool grow(std::size_t bytes);

    memory_budget& bodies_;
    std::string in_;
    /// Bytes at the front of in_ that have been read, also of this request.
    std::size_t taken_ = 0;
    /// Bytes of the head that have been searched for its end.
    std::size_t searched_ = 0;
    std::size_t line_begin_ = 0;
    std::size_t empty_lines_ = 0;
    read_state state_ = read_state::idle;
    client_request request_;
    /// Bytes that the body has, if it isn't chunked.
    std::uint64_t length_ = 0;
    std::size_t max_body_ = 0;
    std::optional<chunked_body> chunks_;
    bool expects_continue_ = false;
    error_kind failure_ = error_kind::bad_request;
    std::string_view failure_reason_;
    std::optional<client_limit> exceeded_;
};

} // namespace galenapulley
