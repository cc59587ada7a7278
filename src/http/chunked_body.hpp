#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Decodes a body in chunked transfer encoding, in any portions. It keeps no
/// bytes but an incomplete line of bounded length. Chunk extensions and trailer
/// fields are dropped.
class chunked_body
{
public:
    enum class state
    {
        size_line,
        data,
        data_end,
        trailer,
        complete,
        /// The bytes are no chunked body.
        malformed,
        /// A line, or all trailer fields together, exceeds its limit.
        too_long
    };

    /// Limit of the line with the size and the extensions of a chunk.
    static constexpr std::size_t max_size_line = 256;

    explicit chunked_body(std::size_t trailer_bytes)
        : trailer_left_(trailer_bytes)
    {
    }

    /// Reads on at the front of `bytes` up to the next data, or up to the end
    /// of the body, and removes what it has read.
    state advance(std::string_view& bytes);
    /// Bytes of the current chunk that have yet to arrive.
    std::uint64_t chunk_left() const { return chunk_left_; }
    /// Takes data of the current chunk off the front of `bytes`.
    std::string_view take_data(std::string_view& bytes);

private:
    /// Takes bytes up to the end of the line. Returns the line without its CRLF
    /// once it is complete; it is valid until line_ or `bytes` change.
    std::optional<std::string_view> read_line(std::string_view& bytes,
                                              std::size_t limit);
    void on_size_line(std::string_view line);
    void on_trailer_line(std::string_view line);

    state state_ = state::size_line;
    /// The beginning of a line whose end has not arrived.
    std::string line_;
    std::uint64_t chunk_left_ = 0;
    std::size_t trailer_left_;
};

} // namespace galenapulley
