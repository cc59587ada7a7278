#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/stream_check.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace galenapulley
{

class http_exchange;
class latency;

/// Validates the events of an engine's stream and forwards them to the client.
/// on_data() runs on the HTTP client's thread, all else on the control thread.
class stream_relay
{
public:
    struct options
    {
        std::string id;
        std::string model;
        /// Whether the client asked for a streamed response.
        bool streaming = false;
        std::size_t length_class = 0;
        msec started = 0;
    };

    stream_relay(options about, std::shared_ptr<http_exchange> exchange,
                 latency& latencies, const clock& time);

    /// Begins an attempt. If events were received before, the stream continues
    /// at next_index().
    void begin_attempt(const std::string& attempt_id);
    void on_data(int status, const std::string& chunk);
    void end_of_input();

    stream_state state() const;
    std::uint64_t next_index() const;
    std::string reason() const;
    /// Whether the client has been sent a part of the response.
    bool has_sent() const { return sent_; }
    /// Discards what was received, so that another engine can start over. Only
    /// valid while has_sent() is false.
    void restart();

    msec last_data_at() const { return last_data_; }
    /// 0 before the first token.
    msec first_token_at() const { return first_token_; }

    /// Completes the response to the client.
    void finish();
    /// Ends a stream in progress with an error event.
    void fail(const std::string& error_json);

private:
    void forward(const stream_event& event);
    void record_token(msec now);
    std::string event_json(const std::string& text,
                           const std::string* finish) const;

    options options_;
    std::shared_ptr<http_exchange> exchange_;
    latency& latencies_;
    const clock& clock_;
    mutable std::mutex mutex_;
    std::unique_ptr<stream_check> check_;
    std::string text_;
    std::string finish_ = "stop";
    std::string out_;
    msec last_token_ = 0;
    std::atomic<bool> sent_{false};
    std::atomic<msec> last_data_{0};
    std::atomic<msec> first_token_{0};
};

} // namespace galenapulley
