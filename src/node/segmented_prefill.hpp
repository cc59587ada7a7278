#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

struct http_result;
struct session_context;

/// One engine's segment of a prompt that is split over several engines.
struct prompt_segment
{
    std::string back_end;
    std::string address;
    std::string text;
    /// KV memory to reserve, in tokens.
    std::uint32_t tokens = 0;
};

/// Splits a prompt into one segment per engine, in order, according to the
/// engines' KV shares in tokens. The last engine gets the rest, and reserves
/// the memory for the output as well.
std::vector<std::string> split_prompt(std::string_view prompt,
                                      const std::vector<std::uint32_t>& shares);

/// Reserves KV memory on all engines of a request, prefills the segments one
/// after the other and links each to the one before. The caller of start() must
/// call release().
class segmented_prefill : public std::enable_shared_from_this<segmented_prefill>
{
public:
    struct failure
    {
        std::string back_end;
        std::string address;
        /// The connection broke during prefill, so the engine may have
        /// crashed.
        bool broke_in_prefill = false;
    };
    /// `failure` is set only if the status is an error.
    using done_callback = std::function<void(absl::Status, failure)>;

    segmented_prefill(const session_context& context, std::string id,
                      std::vector<prompt_segment> segments,
                      std::size_t priority, msec deadline);

    void start(done_callback done);
    /// Releases all reservations and ends without a further callback.
    void release();

    const std::string& id() const { return id_; }
    const std::vector<prompt_segment>& segments() const { return segments_; }

private:
    void reserve(std::size_t n);
    void on_reserved(std::size_t n, const http_result& result);
    void prefill(std::size_t n);
    void on_prefilled(std::size_t n, const http_result& result);
    void fail(std::size_t n, const http_result& result, const char* step);
    void call(std::size_t n, const char* path, const std::string& body,
              msec timeout, std::function<void(const http_result&)> done);
    msec time_left() const;

    const session_context& context_;
    std::string id_;
    std::vector<prompt_segment> segments_;
    /// Sent to the engines; 0 is the highest.
    std::size_t priority_;
    msec deadline_;
    done_callback done_;
    std::size_t reserved_ = 0;
    bool released_ = false;
    std::uint64_t call_id_ = 0;
};

} // namespace galenapulley
