#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

/// Cuts a stream of server-sent events into whole events, so that a stream
/// that breaks within an event can go on at another endpoint.
class event_splitter
{
public:
    /// Appends bytes and returns the whole events among all bytes kept.
    std::string feed(std::string_view bytes);
    /// The id of the last whole event; absent before the first.
    const std::optional<std::uint64_t>& last_id() const { return last_id_; }
    /// The id of the first whole event.
    const std::optional<std::uint64_t>& first_id() const { return first_id_; }
    /// Bytes of an event that has not ended.
    bool has_partial() const { return !kept_.empty(); }
    /// Whole events so far.
    std::uint64_t events() const { return events_; }

private:
    void note_ids(std::string_view whole);

    std::string kept_;
    std::optional<std::uint64_t> first_id_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
};

} // namespace galenapulley
