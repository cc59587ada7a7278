#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Splits a byte stream into complete server-sent events. Only complete events
/// are forwarded, so a stream that breaks inside an event can be resumed at
/// another endpoint.
class event_splitter
{
public:
    /// Appends bytes and returns the events that are complete now.
    std::string feed(std::string_view bytes);
    /// Id of the last complete event; absent before the first one.
    const std::optional<std::uint64_t>& last_id() const { return last_id_; }
    /// Id of the first complete event.
    const std::optional<std::uint64_t>& first_id() const { return first_id_; }
    /// Whether an incomplete event is buffered.
    bool has_partial() const { return !buffer_.empty(); }
    std::size_t partial_bytes() const { return buffer_.size(); }
    /// Whether the incomplete event is too long to be one, as bytes without
    /// end are.
    bool is_oversized() const { return buffer_.size() > max_event_bytes; }
    /// Number of complete events with an id.
    std::uint64_t event_count() const { return event_count_; }

    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

private:
    void record_ids(std::string_view complete);

    std::string buffer_;
    std::optional<std::uint64_t> first_id_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t event_count_ = 0;
};

} // namespace galenapulley
