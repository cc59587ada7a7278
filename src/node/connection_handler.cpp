#include "node/connection_handler.hpp"

#include "galenapulley/error_kind.hpp"
#include "node/accounted_body.hpp"
#include "node/http_responses.hpp"
#include "node/pistache_exchange.hpp"

#include <absl/strings/match.h>
#include <pistache/http_headers.h>

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <exception>
#include <string_view>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;
/// Empty lines before a request, which some clients send behind a body.
constexpr std::size_t max_empty_lines = 8;
/// Bytes that a client may send ahead while its request is served.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
/// Bytes that are dropped of a request that was refused before the connection
/// is closed. A client that still sends may lose the response when it is.
constexpr std::size_t max_dropped_bytes = std::size_t{1} << 20;
constexpr msec rejection_time = 500;
/// Uploading a huge prompt over a slow link takes long.
constexpr msec head_timeout = 60'000;
constexpr msec body_timeout = 60'000;
/// Of a connection; the kernel's own limit is megabytes.
constexpr int received_bytes = 128 * 1024;
/// HTTP/1.0, as the reader numbers it.
constexpr unsigned http_1_0 = 10;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_request to_request(client_request source,
                        const std::shared_ptr<memory_budget>& budget)
{
    http_request out;
    out.method = std::move(source.method);
    const auto path = source.path();
    out.path = std::string(path);
    if (path.size() < source.target.size())
        out.query = source.target.substr(path.size() + 1);
    // The first of several lines with the same name counts.
    for (auto& [name, value] : source.headers)
        out.headers.emplace(to_lower(std::move(name)), std::move(value));
    out.body = std::move(source.body);
    out.body_memory = std::make_shared<accounted_body>(accounted_body{
        .budget = budget, .share = std::move(source.body_memory)});
    return out;
}

/// Limits of one of several workers.
client_table_options divide(client_table_options all, int workers)
{
    const auto n = static_cast<std::size_t>(std::max(workers, 1));
    all.connections = std::max<std::size_t>(all.connections / n, 1);
    all.connections_per_address =
        std::max<std::size_t>(all.connections_per_address / n, 1);
    return all;
}

void close_both_ways(const std::shared_ptr<Tcp::Peer>& peer)
{
    if (peer)
        ::shutdown(peer->fd(), SHUT_RDWR);
}

} // namespace

/// What a response's first lines say beside its status.
struct connection_handler::response_form
{
    Http::Version version = Http::Version::Http11;
    Http::ConnectionControl connection = Http::ConnectionControl::Close;

    /// Clients that don't ask to keep their connection are told to open another
    /// one for their next request, so that a stopping node loses none.
    static response_form of(const client_request& request)
    {
        const bool asked = std::any_of(
            request.headers.begin(), request.headers.end(),
            [](const auto& it)
            { return absl::EqualsIgnoreCase(it.first, "connection"); });
        response_form out;
        if (request.http_version == http_1_0)
            out.version = Http::Version::Http10;
        if (asked && request.keep_alive)
            out.connection = Http::ConnectionControl::KeepAlive;
        return out;
    }
};

struct connection_handler::connection
{
    connection(const std::shared_ptr<Tcp::Peer>& from, memory_budget& bodies)
        : id(from->getID()), peer(from), reader(bodies)
    {
    }

    std::size_t id;
    std::weak_ptr<Tcp::Peer> peer;
    request_reader reader;
    /// The request being served, or refused.
    std::shared_ptr<pistache_exchange> exchange{};
    /// Set while the body of a request arrives.
    std::optional<upload_progress> upload{};
    /// When the part of the request that arrives has to be complete.
    std::optional<msec> due_at{};
    /// What arrives is dropped.
    bool rejected = false;
    std::size_t dropped_bytes = 0;
    std::optional<msec> close_at{};
};

connection_handler::connection_handler(
    std::shared_ptr<const server_state> server)
    : server_(std::move(server))
    , table_(divide(server_->options.connections, server_->options.workers))
{
    setMaxResponseSize(server_->options.max_body_bytes);
}

connection_handler::connection_handler(const connection_handler& other)
    : Http::Handler(other)
    , timed_handler(other)
    , server_(other.server_)
    , table_(divide(server_->options.connections, server_->options.workers))
{
}

connection_handler::~connection_handler() = default;

worker_transport& connection_handler::worker()
{
    return dynamic_cast<worker_transport&>(*transport());
}

connection_handler::connection* connection_handler::find(std::size_t id) const
{
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second.get();
}

void connection_handler::set_stage(const connection& it,
                                   client_table::stage value)
{
    table_.set_stage(it.id, value, clock_.now());
}

void connection_handler::onConnection(const peer_ptr& peer)
{
    ::setsockopt(peer->fd(), SOL_SOCKET, SO_RCVBUF, &received_bytes,
                 sizeof received_bytes);
    const auto id = peer->getID();
    const auto verdict = table_.open(id, peer->address().host(), clock_.now());
    if (verdict.replaced)
        if (const auto* const it = find(verdict.replaced->id))
            close_both_ways(it->peer.lock());
    const auto entry =
        connections_
            .emplace(id, std::make_unique<connection>(peer, *server_->bodies))
            .first;
    if (verdict.refused)
        refuse(*entry->second, error_kind::overloaded, "too many connections");
}

void connection_handler::onDisconnection(const peer_ptr& peer)
{
    const auto it = connections_.find(peer->getID());
    if (it == connections_.end())
        return;
    table_.close(it->first);
    const auto exchange = std::move(it->second->exchange);
    connections_.erase(it);
    if (exchange)
        exchange->connection_lost();
}

void connection_handler::onRequest(const Http::Request& /*request*/,
                                   Http::ResponseWriter /*writer*/)
{
}

void connection_handler::onInput(const char* buf, std::size_t n,
                                 const peer_ptr& peer)
{
    auto* const it = find(peer->getID());
    if (it == nullptr)
        return;
    if (it->rejected)
    {
        it->dropped_bytes += n;
        if (it->dropped_bytes > max_dropped_bytes)
            close_both_ways(peer);
        return;
    }
    it->reader.feed({buf, n});
    if (!it->exchange)
        read(*it);
    else if (it->reader.buffered() > max_pipelined_bytes)
        close_both_ways(peer);
}

void connection_handler::read(connection& it)
{
    const auto state =
        it.reader.read({.header_bytes = max_head_bytes,
                        .body_bytes = server_->options.max_body_bytes,
                        .empty_lines = max_empty_lines});
    switch (state)
    {
    case read_state::idle:
        set_stage(it, client_table::stage::idle);
        break;
    case read_state::head:
        if (!it.due_at)
            it.due_at = clock_.now() + head_timeout;
        set_stage(it, client_table::stage::head);
        break;
    case read_state::body:
        if (!it.upload)
            begin_body(it);
        break;
    case read_state::complete:
        begin_request(it);
        break;
    case read_state::failed:
        refuse(it, it.reader.failure(), it.reader.failure_reason());
        break;
    }
}

void connection_handler::begin_body(connection& it)
{
    const auto now = clock_.now();
    const auto length = it.reader.body_length();
    it.upload.emplace(length.value_or(0), body_timeout, now);
    it.due_at = now + body_timeout;
    set_stage(it, client_table::stage::busy);
    const bool is_large = !length || *length > memory_budget::small_body_bytes;
    const auto& check = server_->options.check_upload;
    auto refusal =
        is_large && check ? check(it.reader.current()) : std::nullopt;
    if (refusal)
        reject(it, *std::move(refusal));
    else if (it.reader.expects_continue())
        send_interim_response(it);
}

void connection_handler::send_interim_response(const connection& it)
{
    static const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto peer = it.peer.lock();
    if (!peer)
        return;
    transport()->asyncWrite(peer->fd(), RawBuffer(text, text.size()));
    transport()->flush();
}

std::shared_ptr<pistache_exchange>
connection_handler::make_exchange(connection& it, const response_form& form)
{
    Http::ResponseWriter writer(form.version, transport(), this, it.peer);
    writer.headers().add<Http::Header::Connection>(form.connection);
    it.exchange = std::make_shared<pistache_exchange>(
        worker().weak_from_this(), std::move(writer),
        [this, id = it.id](bool usable) { end_request(id, usable); });
    return it.exchange;
}

void connection_handler::begin_request(connection& it)
{
    it.upload.reset();
    it.due_at.reset();
    set_stage(it, client_table::stage::busy);
    auto source = it.reader.take();
    const auto exchange = make_exchange(it, response_form::of(source));
    // An exception would otherwise end the worker's thread.
    try
    {
        server_->handler(to_request(std::move(source), server_->bodies),
                         exchange);
    }
    catch (const std::exception& error)
    {
        const auto status = make_error(error_kind::internal, error.what());
        exchange->respond(make_error_response(status));
    }
}

void connection_handler::end_request(std::size_t id, bool usable)
{
    auto* const it = find(id);
    if (it == nullptr)
        return;
    it->exchange.reset();
    if (it->rejected)
    {
        if (const auto peer = it->peer.lock())
            ::shutdown(peer->fd(), SHUT_WR);
        it->close_at = clock_.now() + rejection_time;
    }
    else if (usable)
        read(*it);
}

void connection_handler::refuse(connection& it, error_kind kind,
                                std::string_view reason)
{
    if (server_->options.on_refused)
        server_->options.on_refused(kind);
    reject(it, make_error_response(make_error(kind, reason)));
}

void connection_handler::reject(connection& it, http_response response)
{
    it.rejected = true;
    it.upload.reset();
    it.due_at.reset();
    it.reader.discard();
    set_stage(it, client_table::stage::busy);
    make_exchange(it, {})->respond(std::move(response));
}

void connection_handler::on_tick()
{
    const auto now = clock_.now();
    const auto refused = server_->bodies->refused_uploads();
    const bool is_short =
        std::exchange(seen_refused_uploads_, refused) != refused;
    for (const auto& [id, it] : connections_)
        check_time(*it, now, is_short);
}

void connection_handler::check_time(connection& it, msec now,
                                    bool is_short_of_memory)
{
    if (it.close_at && now >= *it.close_at)
    {
        close_both_ways(it.peer.lock());
        return;
    }
    const auto& request = it.reader.current();
    const bool gives_up =
        is_short_of_memory && it.upload &&
        request.body_memory.size() > memory_budget::small_body_bytes &&
        it.upload->is_stalled(request.body.size(), now);
    if (gives_up || (it.due_at && now >= *it.due_at))
        refuse(it, error_kind::request_timeout,
               "the request did not arrive in time");
}

} // namespace galenapulley
