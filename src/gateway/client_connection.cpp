#include "gateway/client_connection.hpp"

#include "gateway/forwarding.hpp"
#include "gateway/http_text.hpp"
#include "gateway/socket_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/string.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace galenapulley
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::redirect_error;
using asio::use_awaitable;

namespace
{

/// HTTP/1.1, as Boost.Beast numbers it.
constexpr unsigned chunked_since_version = 11;
// g++ 12 destroys the elements of initializer lists in coroutines twice, so
// header lists are built in functions that are not coroutines.

std::string format_error_response(int status, error_kind kind,
                                  const std::string& message, msec retry_after,
                                  bool keep)
{
    const auto body = error_body(make_error(kind, message));
    header_list headers{{"Content-Type", "application/json"}};
    if (retry_after > 0)
        headers.emplace_back("Retry-After", seconds_text(retry_after));
    return response_head(status, "", headers, body.size(), keep) + body;
}

/// Hash of what stays the same when a client retries: account, target, body.
std::uint64_t fingerprint_of(const client_request& request,
                             const std::string& account)
{
    const auto seed = XXH64(account.data(), account.size(), 0);
    const auto path = XXH64(request.target.data(), request.target.size(), seed);
    return XXH64(request.body.data(), request.body.size(), path);
}

} // namespace

client_connection::client_connection(traffic_state& state,
                                     asio::ip::tcp::socket socket,
                                     listener_role role,
                                     client_table::connection_id id)
    : state_(state)
    , socket_(std::move(socket))
    , wake_(state.io)
    , reader_(state.body_memory)
    , id_(id)
    , role_(role)
{
    ++state_.open_connections;
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    set_options(socket_);
}

client_connection::~client_connection()
{
    --state_.open_connections;
    state_.input_bytes -= input_bytes_;
    table().close(id_);
}

asio::awaitable<void> client_connection::serve()
{
    const auto self = shared_from_this();
    start_reading();
    for (bool keep = true; keep && !disconnected_;)
    {
        auto request = co_await read_request();
        if (!request)
            break;
        serving_ = true;
        ++state_.open_requests;
        keep = co_await serve_request(*std::move(request));
        --state_.open_requests;
        serving_ = false;
        served_ = true;
    }
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    co_await drain();
    socket_.close(ignored);
}

void client_connection::close_if_idle()
{
    if (!serving_ && reader_.is_idle())
        abort();
}

void client_connection::end_request()
{
    if (forwarded_ != nullptr)
        forwarded_->on_node_ending();
}

void client_connection::abort()
{
    disconnected_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    wake_.cancel();
    if (forwarded_ != nullptr)
        forwarded_->on_client_gone();
}

void client_connection::reset()
{
    drop_at_close(socket_);
    abort();
}

void client_connection::observe_unread()
{
    const auto held = unacknowledged_bytes(socket_);
    // The kernel counts the end of the connection as a byte, too.
    table().set_unread(id_, unsent_ + held,
                       sent_ - std::min<std::uint64_t>(sent_, held),
                       state_.time.now());
}

bool client_connection::closes_after(const client_request& request) const
{
    return !request.keep_alive || state_.stopping;
}

asio::awaitable<bool> client_connection::serve_request(client_request request)
{
    using server = asio::awaitable<bool> (client_connection::*)(client_request);
    // Indexed by listener_role.
    static constexpr std::array<server, 4> servers{
        &client_connection::serve_traffic, &client_connection::serve_ready,
        &client_connection::serve_directory, &client_connection::serve_metrics};
    const auto serve = servers.at(static_cast<std::size_t>(role_));
    return (this->*serve)(std::move(request));
}

absl::StatusOr<admitted_request>
client_connection::admit(client_request request) const
{
    if (state_.routing == nullptr)
        return make_error(error_kind::no_baseline, "no configuration yet");
    if (request.target.empty() || request.target.front() != '/')
        return make_error(error_kind::bad_request,
                          "request target is not an absolute path");
    const auto hosts = std::count_if(
        request.headers.begin(), request.headers.end(),
        [](const auto& it) { return beast::iequals(it.first, "host"); });
    if (hosts != 1)
        return make_error(error_kind::bad_request,
                          "exactly one Host header is required");
    auto metadata = state_.format.read_request(request.headers);
    if (!metadata.ok())
        return metadata.status();
    const auto* const matched_route =
        state_.routing->find(request.host, request.path());
    if (matched_route == nullptr)
        return make_error(error_kind::unknown_route,
                          "no route for this host and path");
    admitted_request out{.table = state_.routing,
                         .matched_route = matched_route};
    // Without chunks the client couldn't tell that a stream broke off.
    if (request.http_version < chunked_since_version &&
        matched_route->kind == request_kind::streaming)
        return make_error(error_kind::bad_request, "streams require HTTP/1.1");
    out.priority = matched_route->priority;
    if (out.table->has_accounts() && !matched_route->open_access)
    {
        const auto* const account = out.table->account_of(metadata->api_key);
        if (account == nullptr)
            return make_error(error_kind::unauthorized, "unknown API key");
        out.account = account->name;
        out.priority = account->priority.value_or(matched_route->priority);
    }
    const auto limit =
        std::min(metadata->deadline.value_or(matched_route->timeout),
                 matched_route->timeout);
    out.deadline = request.received_at + limit;
    out.fingerprint = fingerprint_of(request, out.account);
    // Hashing the attempt id spreads the requests of each client over the
    // traffic split; a hash fixed per client would favour some clients.
    out.service = routing_table::pick_service(
        *matched_route,
        XXH64(metadata->attempt.data(), metadata->attempt.size(), 0));
    out.metadata = *std::move(metadata);
    out.received = std::move(request);
    return out;
}

void client_connection::log_refusal(error_kind kind,
                                    std::string_view reason) const
{
    const auto version = state_.routing ? state_.routing->version() : 0;
    state_.log.write(log_event::refused,
                     {{"kind", name_of(kind)},
                      {"reason", reason},
                      {"configuration", static_cast<std::int64_t>(version)}});
}

asio::awaitable<bool> client_connection::serve_traffic(client_request request)
{
    const bool keep = !closes_after(request);
    if (state_.refusing)
    {
        co_await refuse(
            error_kind::node_leaving, "this node is shutting down",
            error_response_for(error_kind::node_leaving).retry_after, false);
        co_return false;
    }
    auto admitted = admit(std::move(request));
    if (!admitted.ok())
    {
        const auto kind = kind_of(admitted.status());
        auto reason = std::string(admitted.status().message());
        log_refusal(kind, reason);
        co_return co_await refuse(kind, std::move(reason),
                                  error_response_for(kind).retry_after, keep);
    }
    start_reading();
    bool keep_open = false;
    {
        forwarding work(state_, *this, *std::move(admitted));
        forwarded_ = &work;
        keep_open = co_await work.run();
        forwarded_ = nullptr;
    }
    co_return keep_open;
}

asio::awaitable<bool> client_connection::write(std::string head,
                                               byte_chain body)
{
    if (disconnected_)
        co_return false;
    std::vector<asio::const_buffer> parts;
    parts.emplace_back(asio::buffer(head));
    for (const auto& it : body.blocks())
        parts.emplace_back(asio::buffer(it));
    beast::buffers_suffix<std::vector<asio::const_buffer>> rest(parts);
    unsent_ = asio::buffer_size(parts);
    boost::system::error_code ec;
    while (unsent_ > 0 && !ec)
    {
        const auto n = co_await socket_.async_write_some(
            rest, redirect_error(use_awaitable, ec));
        rest.consume(n);
        unsent_ -= n;
        sent_ += n;
        observe_unread();
    }
    unsent_ = 0;
    if (ec)
        disconnected_ = true;
    co_return !disconnected_;
}

asio::awaitable<bool> client_connection::refuse(error_kind kind,
                                                std::string message,
                                                msec retry_after, bool keep)
{
    const int status = state_.format.status_of(kind);
    state_.metrics.count_response(status);
    state_.count.count(kind);
    auto text = format_error_response(status, kind, message, retry_after, keep);
    const bool sent = co_await write(std::move(text));
    co_return sent&& keep;
}

} // namespace galenapulley
