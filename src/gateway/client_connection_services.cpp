#include "gateway/client_connection.hpp"
#include "gateway/http_text.hpp"

#include <utility>

// The gateway's own services: the readiness check, the directory, the metrics.

namespace galenapulley
{

namespace asio = boost::asio;

namespace
{

/// Paths on the metrics address that return the gauges, the estimates of the
/// endpoints and the client accounts as JSON; every other path returns the
/// metrics.
constexpr std::string_view status_path = "/status";
constexpr std::string_view endpoints_path = "/endpoints";
constexpr std::string_view accounts_path = "/accounts";

// Not a coroutine, in which g++ 12 destroys initializer lists twice.
std::string text_response(int status, std::string_view type,
                          const std::string& body, bool keep)
{
    const header_list headers{{"Content-Type", std::string(type)}};
    return response_head(status, "", headers, body.size(), keep) + body;
}

} // namespace

asio::awaitable<bool> client_connection::send_text(int status,
                                                   std::string_view type,
                                                   std::string body, bool keep)
{
    auto text = text_response(status, type, body, keep);
    const bool sent = co_await write(std::move(text));
    co_return sent&& keep;
}

asio::awaitable<bool> client_connection::serve_ready(client_request request)
{
    const bool known = state_.format.is_ready_check(request.target);
    const int status = !known ? 404 : state_.ready ? 200 : 503;
    std::string body = state_.ready ? "{}" : R"({"ready":false})";
    co_return co_await send_text(status, "application/json", std::move(body),
                                 request.keep_alive);
}

asio::awaitable<bool> client_connection::serve_directory(client_request request)
{
    const auto query = state_.format.read_directory_query(request.target);
    std::vector<std::string> addresses;
    if (query)
        for (const auto& it : state_.directory.choose(state_.nodes))
            addresses.push_back(it.address);
    const int status = !query ? 404 : addresses.empty() ? 503 : 200;
    std::string body = "{}";
    if (status == 200)
        body = state_.format.directory_response(addresses,
                                                state_.settings.directory_ttl);
    co_return co_await send_text(status, "application/json", std::move(body),
                                 request.keep_alive);
}

asio::awaitable<bool> client_connection::serve_metrics(client_request request)
{
    state_.metrics.set(gauge::body_bytes,
                       static_cast<std::int64_t>(state_.body_memory.used()));
    state_.metrics.set(gauge::open_connections,
                       static_cast<std::int64_t>(state_.open_connections));
    state_.metrics.set(gauge::client_input_bytes,
                       static_cast<std::int64_t>(state_.input_bytes));
    state_.metrics.set(
        gauge::client_unread_bytes,
        static_cast<std::int64_t>(state_.clients.unread_bytes()));
    if (request.path() == status_path)
    {
        auto status = state_.metrics.status();
        co_return co_await send_text(200, "application/json", std::move(status),
                                     request.keep_alive);
    }
    if (request.path() == endpoints_path)
    {
        auto endpoints = state_.metrics.endpoints();
        co_return co_await send_text(200, "application/json",
                                     std::move(endpoints), request.keep_alive);
    }
    if (request.path() == accounts_path)
    {
        auto accounts = state_.metrics.accounts();
        co_return co_await send_text(200, "application/json",
                                     std::move(accounts), request.keep_alive);
    }
    auto body = state_.count.expose() + state_.metrics.expose();
    co_return co_await send_text(200, "text/plain; version=0.0.4",
                                 std::move(body), request.keep_alive);
}

} // namespace galenapulley
