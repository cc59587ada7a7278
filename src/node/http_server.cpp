#include "node/http_server.hpp"

#include "galenapulley/error_kind.hpp"
#include "node/worker_transport.hpp"

#include <pistache/http.h>
#include <pistache/listener.h>
#include <pistache/peer.h>

#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <exception>
#include <optional>
#include <ostream>
#include <unordered_map>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

/// Callers of a lost node reconnect to others all at once.
constexpr int accept_backlog = 1024;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string percent_decode(const std::string& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        const bool escaped = text[n] == '%' && n + 2 < text.size() &&
                             std::isxdigit(text[n + 1]) != 0 &&
                             std::isxdigit(text[n + 2]) != 0;
        if (escaped)
        {
            out += static_cast<char>(
                std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        }
        else
            out += text[n] == '+' ? ' ' : text[n];
    }
    return out;
}

http_request to_request(const Http::Request& source)
{
    http_request request;
    request.method = Http::methodString(source.method());
    request.path = source.resource();
    request.query = source.query().as_str();
    if (!request.query.empty() && request.query.front() == '?')
        request.query.erase(0, 1);
    for (const auto& it : source.headers().rawList())
        request.headers[to_lower(it.first)] = it.second.value();
    request.body = source.body();
    return request;
}

/// A header of an answer. Pistache 0.0.5 doesn't send those added as raw.
class answer_header final : public Http::Header::Header
{
public:
    answer_header(std::string name, std::string value)
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

/// An empty socket takes so much at once, however small its buffer is.
constexpr std::size_t slice_bytes = 2 << 10;

/// Whether the caller's socket takes so many bytes of body and a head at once.
bool socket_has_room(const Http::ResponseWriter& writer, std::size_t bytes)
{
    // The kernel accounts up to twice the size of the data, and more for small
    // segments.
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

/// State of one exchange; touched on the worker thread only.
class pistache_exchange final
    : public http_exchange,
      public std::enable_shared_from_this<pistache_exchange>
{
public:
    pistache_exchange(std::weak_ptr<worker_transport> worker,
                      Http::ResponseWriter writer,
                      std::function<void()> completed)
        : worker_(std::move(worker))
        , writer_(std::move(writer))
        , completed_(std::move(completed))
    {
    }

    void respond(http_answer answer) override
    {
        run(
            [this, answer = std::move(answer)](worker_transport& worker) mutable
            {
                if (head_ || stream_)
                    return;
                if (!socket_has_room(*writer_, answer.body.size()))
                {
                    pending_ = std::move(answer.body);
                    head_ = std::move(answer);
                    finishing_ = true;
                    pump(worker);
                    return;
                }
                set_head(answer);
                writer_->send(Http::Code(answer.status), answer.body);
                // A queued write would go to the bare descriptor, which may
                // belong to another caller by then.
                worker.flush();
                complete();
            });
    }

    void start_stream(http_answer head) override
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

    void write(std::string chunk) override
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

    void finish_stream() override
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

    void abort() override
    {
        run(
            [this](worker_transport&)
            {
                const auto peer = writer_->getPeer();
                complete();
                if (peer)
                    ::shutdown(peer->fd(), SHUT_RDWR);
            });
    }

    void on_disconnect(std::function<void()> callback) override
    {
        const auto worker = worker_.lock();
        if (!worker)
            return;
        worker->post(
            [self = shared_from_this(), callback = std::move(callback)]
            {
                if (self->gone_)
                    callback();
                else if (self->writer_)
                    self->disconnected_ = callback;
            });
    }

    /// Called on the worker thread when the connection ends.
    void connection_lost()
    {
        gone_ = true;
        stream_.reset();
        writer_.reset();
        completed_ = nullptr;
        if (auto callback = std::exchange(disconnected_, nullptr))
            callback();
    }

private:
    static constexpr std::size_t max_chunk = 64 << 10;

    /// Writes what the socket takes at once and keeps the rest for later.
    /// Pistache's flush() spins until the caller reads, and stops every other
    /// connection of the worker meanwhile.
    void pump(worker_transport& worker)
    {
        if (retry_scheduled_)
            return;
        while (head_ || !pending_.empty() || finishing_)
        {
            if (!socket_has_room(*writer_, slice_bytes))
            {
                retry_scheduled_ = true;
                worker.retry_later([self = shared_from_this(), &worker]
                                   { self->retry(worker); });
                return;
            }
            if (head_)
                begin_stream();
            else if (!pending_.empty())
                write_slice();
            else
            {
                stream_->ends();
                worker.flush();
                complete();
                return;
            }
        }
    }

    void retry(worker_transport& worker)
    {
        retry_scheduled_ = false;
        if (writer_ && writer_->getPeer())
            pump(worker);
    }

    void begin_stream()
    {
        set_head(*head_);
        stream_.emplace(writer_->stream(Http::Code(head_->status), max_chunk));
        stream_->flush();
        head_.reset();
    }

    void write_slice()
    {
        const auto n = std::min(slice_bytes, pending_.size() - written_);
        stream_->write(pending_.data() + written_,
                       static_cast<std::streamsize>(n));
        stream_->flush();
        written_ += n;
        if (written_ == pending_.size())
        {
            pending_.clear();
            written_ = 0;
        }
    }

    template <typename Task>
    void run(Task task)
    {
        const auto worker = worker_.lock();
        if (!worker)
            return;
        // The task runs inside the worker, so the reference stays valid.
        worker->post(
            [self = shared_from_this(), task = std::move(task),
             target = worker.get()]() mutable
            {
                // The peer may have left while the task was queued.
                if (!self->writer_ || !self->writer_->getPeer())
                    return;
                task(*target);
            });
    }

    void set_head(const http_answer& answer)
    {
        auto& headers = writer_->headers();
        headers.add(std::make_shared<answer_header>("Content-Type",
                                                    answer.content_type));
        for (const auto& it : answer.headers)
            headers.add(std::make_shared<answer_header>(it.first, it.second));
    }

    void complete()
    {
        stream_.reset();
        writer_.reset();
        disconnected_ = nullptr;
        if (auto callback = std::exchange(completed_, nullptr))
            callback();
    }

    /// Expired once the server has stopped.
    std::weak_ptr<worker_transport> worker_;
    std::optional<Http::ResponseWriter> writer_;
    std::optional<Http::ResponseStream> stream_;
    /// Head of a stream that is not written yet.
    std::optional<http_answer> head_;
    /// Body that the socket has not taken yet, from written_ on.
    std::string pending_;
    std::size_t written_ = 0;
    bool finishing_ = false;
    bool retry_scheduled_ = false;
    std::function<void()> completed_;
    std::function<void()> disconnected_;
    bool gone_ = false;
};

/// Pistache clones the handler for each worker, so members are per worker.
class exchange_handler final : public Http::Handler
{
    HTTP_PROTOTYPE(exchange_handler)

public:
    explicit exchange_handler(http_server::handler_type handler)
        : handler_(std::move(handler))
    {
    }

private:
    void onRequest(const Http::Request& request,
                   Http::ResponseWriter writer) override
    {
        auto* worker = dynamic_cast<worker_transport*>(transport());
        const auto peer = writer.getPeer();
        const auto id = peer->getID();
        if (exchanges_.count(id) != 0)
        {
            // Answers to pipelined requests could be paired wrongly.
            ::shutdown(peer->fd(), SHUT_RDWR);
            return;
        }
        auto exchange = std::make_shared<pistache_exchange>(
            worker->weak_from_this(), std::move(writer),
            [this, id] { exchanges_.erase(id); });
        exchanges_.emplace(id, exchange);
        // Pistache would answer an exception itself, beside the exchange.
        try
        {
            handler_(to_request(request), exchange);
        }
        catch (const std::exception& error)
        {
            const auto status = make_error(error_kind::internal, error.what());
            exchange->respond(
                {.status = answer_for(error_kind::internal).http_status,
                 .body = error_body(status)});
        }
    }

    void onDisconnection(const std::shared_ptr<Tcp::Peer>& peer) override
    {
        const auto it = exchanges_.find(peer->getID());
        if (it == exchanges_.end())
            return;
        const auto exchange = it->second;
        exchanges_.erase(it);
        exchange->connection_lost();
    }

    http_server::handler_type handler_;
    std::unordered_map<std::size_t, std::shared_ptr<pistache_exchange>>
        exchanges_;
};

} // namespace

const std::string& http_request::header(const std::string& name) const
{
    static const std::string none;
    const auto it = headers.find(name);
    return it == headers.end() ? none : it->second;
}

std::string http_request::query_value(const std::string& name) const
{
    std::size_t begin = 0;
    while (begin < query.size())
    {
        const auto end = std::min(query.find('&', begin), query.size());
        const auto pair = query.substr(begin, end - begin);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string::npos
                       ? std::string()
                       : percent_decode(pair.substr(equals + 1));
        begin = end + 1;
    }
    return {};
}

http_server::http_server(const http_server_options& options,
                         handler_type handler)
    : options_(options), handler_(std::move(handler))
{
}

http_server::~http_server()
{
    stop();
}

void http_server::start()
{
    auto handler = std::make_shared<exchange_handler>(handler_);
    handler->setMaxRequestSize(options_.max_request_bytes);
    handler->setMaxResponseSize(options_.max_request_bytes);
    // A huge prompt over a slow link takes longer than Pistache's defaults.
    handler->setHeaderTimeout(std::chrono::seconds(60));
    handler->setBodyTimeout(std::chrono::seconds(60));

    listener_ = std::make_unique<Tcp::Listener>(
        Address(options_.address, Port(options_.port)));
    Flags<Tcp::Options> flags(Tcp::Options::ReuseAddr);
    flags.setFlag(Tcp::Options::NoDelay);
    listener_->init(static_cast<std::size_t>(options_.workers), flags, "",
                    accept_backlog);
    listener_->setTransportFactory(
        [handler]
        {
            return std::make_shared<worker_transport>(
                std::static_pointer_cast<Tcp::Handler>(handler));
        });
    listener_->setHandler(handler);
    listener_->bind();
    listener_->runThreaded();
}

void http_server::stop()
{
    if (!listener_)
        return;
    listener_->shutdown();
    listener_.reset();
}

std::uint16_t http_server::port() const
{
    return listener_ ? static_cast<std::uint16_t>(listener_->getPort()) : 0;
}

} // namespace galenapulley
