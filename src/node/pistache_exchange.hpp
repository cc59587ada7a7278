#pragma once

#include "galenapulley/clock.hpp"
#include "node/http_server.hpp"

#include <pistache/http.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace galenapulley
{

class worker_transport;

/// One HTTP request on a connection of a Pistache worker. Its state is accessed
/// on the worker thread only.
class pistache_exchange final
    : public http_exchange,
      public std::enable_shared_from_this<pistache_exchange>
{
public:
    /// Whether the connection can be used for another request.
    using completed_callback = std::function<void(bool usable)>;

    pistache_exchange(std::weak_ptr<worker_transport> worker,
                      Pistache::Http::ResponseWriter writer,
                      completed_callback completed);

    void respond(http_response response) override;
    void start_stream(http_response head) override;
    void write(std::string chunk) override;
    void finish_stream() override;
    void abort() override;
    void on_disconnect(std::function<void()> callback) override;

    /// Called on the worker thread when the connection ends.
    void connection_lost();

private:
    static constexpr std::size_t max_chunk = 64 << 10;
    /// A client that reads nothing for this long is disconnected, so that its
    /// pending response does not stay in memory.
    static constexpr msec stall_timeout = 60'000_ms;

    template <typename Task>
    void run(Task task);
    void pump(worker_transport& worker);
    void wait_for_room(worker_transport& worker);
    void resume(worker_transport& worker);
    void begin_stream();
    void write_slice();
    void set_head(const http_response& response);
    void disconnect();
    void complete(bool usable);

    /// Expired once the server has stopped.
    std::weak_ptr<worker_transport> worker_;
    std::optional<Pistache::Http::ResponseWriter> writer_;
    std::optional<Pistache::Http::ResponseStream> stream_;
    /// Status and headers of a response that are not written yet.
    std::optional<http_response> head_;
    /// Body; its first written_bytes_ bytes are written to the socket.
    std::string pending_;
    std::size_t written_bytes_ = 0;
    bool finishing_ = false;
    bool resume_scheduled_ = false;
    /// Since when the socket has had no room; 0 if it has room.
    msec stalled_since_ = 0;
    completed_callback on_completed_;
    std::function<void()> on_disconnected_;
    bool connection_lost_ = false;
};

} // namespace galenapulley
