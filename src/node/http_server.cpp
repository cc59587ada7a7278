#include "node/http_server.hpp"

#include "node/connection_handler.hpp"
#include "node/worker_transport.hpp"

#include <pistache/listener.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace galenapulley
{

using namespace Pistache;

namespace
{

/// After a node is lost, its clients reconnect to the other nodes all at once.
constexpr int accept_backlog = 1024;

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
    const auto handler = std::make_shared<connection_handler>(
        std::make_shared<const server_state>(server_state{
            .options = options_,
            .handler = handler_,
            .bodies = std::make_shared<memory_budget>(options_.body_memory)}));

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
