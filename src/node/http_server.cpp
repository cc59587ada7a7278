#include "node/http_server.hpp"

#include "galenapulley/error_kind.hpp"
#include "node/pistache_exchange.hpp"
#include "node/worker_transport.hpp"

#include <pistache/http.h>
#include <pistache/listener.h>
#include <pistache/peer.h>

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <exception>
#include <unordered_map>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

/// After a node is lost, its clients reconnect to the other nodes all at once.
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
            // Pipelining is not supported: responses could be matched to the
            // wrong requests.
            ::shutdown(peer->fd(), SHUT_RDWR);
            return;
        }
        auto exchange = std::make_shared<pistache_exchange>(
            worker->weak_from_this(), std::move(writer),
            [this, id] { exchanges_.erase(id); });
        exchanges_.emplace(id, exchange);
        // Pistache would otherwise send its own response to an exception, in
        // addition to that of the exchange.
        try
        {
            handler_(to_request(request), exchange);
        }
        catch (const std::exception& error)
        {
            const auto status = make_error(error_kind::internal, error.what());
            exchange->respond(
                {.status = error_response_for(error_kind::internal).http_status,
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
    // Uploading a huge prompt over a slow link exceeds Pistache's defaults.
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
