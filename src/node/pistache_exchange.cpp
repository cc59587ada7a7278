#include "node/pistache_exchange.hpp"

#include "node/worker_transport.hpp"

#include <pistache/peer.h>

#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <ostream>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

/// A response header. Pistache 0.0.5 doesn't send headers added as raw headers.
class response_header final : public Http::Header::Header
{
public:
    response_header(std::string name, std::string value)
        : name_(std::move(name)), value_(std::move(value))
    {
    }

    const char* name() const override { return name_.c_str(); }
    void write(std::ostream& stream) const override { stream << value_; }
    std::uint64_t hash() const override
    {
        return Http::Header::detail::hash(name());
    }

private:
    std::string name_;
    std::string value_;
};

/// Bytes that a socket with an empty send buffer accepts in one write, whatever
/// the size of its buffer.
constexpr std::size_t slice_bytes = 2 << 10;

/// Whether the client's socket accepts the headers and this many bytes of body
/// in one write.
bool socket_has_room(const Http::ResponseWriter& writer, std::size_t bytes)
{
    // The kernel charges up to twice the size of the data to the buffer, and
    // more for small segments.
    constexpr std::size_t overhead_factor = 2;
    constexpr std::size_t head_bytes = 4 << 10;
    const auto peer = writer.getPeer();
    if (!peer)
        return true;
    std::array<std::uint32_t, SK_MEMINFO_VARS> info{};
    socklen_t size = sizeof(info);
    if (getsockopt(peer->fd(), SOL_SOCKET, SO_MEMINFO, info.data(), &size) != 0)
        return true;
    const std::size_t queued = info[SK_MEMINFO_WMEM_QUEUED];
    if (queued == 0 && bytes <= slice_bytes)
        return true;
    return queued + overhead_factor * bytes + head_bytes <=
           info[SK_MEMINFO_SNDBUF];
}

} // namespace

pistache_exchange::pistache_exchange(std::weak_ptr<worker_transport> worker,
                                     Http::ResponseWriter writer,
                                     completed_callback completed)
    : worker_(std::move(worker))
    , writer_(std::move(writer))
    , on_completed_(std::move(completed))
{
}

template <typename Task>
void pistache_exchange::run(Task task)
{
    const auto worker = worker_.lock();
    if (!worker)
        return;
    // The task runs on the worker, which therefore outlives it.
    worker->post(
        [self = shared_from_this(), task = std::move(task),
         target = worker.get()]() mutable
        {
            // The client may have disconnected while the task was queued.
            if (!self->writer_ || !self->writer_->getPeer())
                return;
            task(*target);
        });
}

void pistache_exchange::respond(http_response response)
{
    run(
        [this, response = std::move(response)](worker_transport& worker) mutable
        {
            if (head_ || stream_)
                return;
            if (!socket_has_room(*writer_, response.body.size()))
            {
                pending_ = std::move(response.body);
                head_ = std::move(response);
                finishing_ = true;
                pump(worker);
                return;
            }
            set_head(response);
            writer_->send(Http::Code(response.status), response.body);
            // A queued write refers to the connection by its file descriptor,
            // which may belong to another client by the time it is sent.
            worker.flush();
            complete(true);
        });
}

void pistache_exchange::start_stream(http_response head)
{
    run(
        [this, head = std::move(head)](worker_transport& worker) mutable
        {
            if (head_ || stream_)
                return;
            head_ = std::move(head);
            pump(worker);
        });
}

void pistache_exchange::write(std::string chunk)
{
    run(
        [this, chunk = std::move(chunk)](worker_transport& worker)
        {
            if ((!head_ && !stream_) || finishing_)
                return;
            pending_ += chunk;
            pump(worker);
        });
}

void pistache_exchange::finish_stream()
{
    run(
        [this](worker_transport& worker)
        {
            if (!head_ && !stream_)
                return;
            finishing_ = true;
            pump(worker);
        });
}

void pistache_exchange::abort()
{
    run([this](worker_transport&) { disconnect(); });
}

void pistache_exchange::on_disconnect(std::function<void()> callback)
{
    const auto worker = worker_.lock();
    if (!worker)
        return;
    worker->post(
        [self = shared_from_this(), callback = std::move(callback)]
        {
            if (self->connection_lost_)
                callback();
            else if (self->writer_)
                self->on_disconnected_ = callback;
        });
}

void pistache_exchange::connection_lost()
{
    connection_lost_ = true;
    stream_.reset();
    writer_.reset();
    on_completed_ = nullptr;
    if (auto callback = std::exchange(on_disconnected_, nullptr))
        callback();
}

// Writes as much as the socket accepts without blocking and keeps the rest for
// later. Pistache's flush() would spin until the client reads, blocking all
// other connections of the worker.
void pistache_exchange::pump(worker_transport& worker)
{
    if (resume_scheduled_)
        return;
    while (head_ || !pending_.empty() || finishing_)
    {
        if (!socket_has_room(*writer_, slice_bytes))
        {
            wait_for_room(worker);
            return;
        }
        stalled_since_ = 0;
        if (head_)
            begin_stream();
        else if (!pending_.empty())
            write_slice();
        else
        {
            stream_->ends();
            worker.flush();
            complete(true);
            return;
        }
    }
}

void pistache_exchange::wait_for_room(worker_transport& worker)
{
    const auto now = boot_time_clock().now();
    if (stalled_since_ == 0)
        stalled_since_ = now;
    if (now - stalled_since_ > stall_timeout)
    {
        disconnect();
        return;
    }
    resume_scheduled_ = true;
    worker.post_delayed([self = shared_from_this(), &worker]
                        { self->resume(worker); });
}

void pistache_exchange::resume(worker_transport& worker)
{
    resume_scheduled_ = false;
    if (writer_ && writer_->getPeer())
        pump(worker);
}

void pistache_exchange::begin_stream()
{
    set_head(*head_);
    stream_.emplace(writer_->stream(Http::Code(head_->status), max_chunk));
    stream_->flush();
    head_.reset();
}

void pistache_exchange::write_slice()
{
    const auto n = std::min(slice_bytes, pending_.size() - written_bytes_);
    stream_->write(pending_.data() + written_bytes_,
                   static_cast<std::streamsize>(n));
    stream_->flush();
    written_bytes_ += n;
    if (written_bytes_ == pending_.size())
    {
        pending_.clear();
        written_bytes_ = 0;
    }
}

void pistache_exchange::set_head(const http_response& response)
{
    auto& headers = writer_->headers();
    headers.add(std::make_shared<response_header>("Content-Type",
                                                  response.content_type));
    for (const auto& it : response.headers)
        headers.add(std::make_shared<response_header>(it.first, it.second));
}

void pistache_exchange::disconnect()
{
    const auto peer = writer_->getPeer();
    complete(false);
    if (peer)
        ::shutdown(peer->fd(), SHUT_RDWR);
}

void pistache_exchange::complete(bool usable)
{
    stream_.reset();
    writer_.reset();
    on_disconnected_ = nullptr;
    if (auto callback = std::exchange(on_completed_, nullptr))
        callback(usable);
}

} // namespace galenapulley
