#include "platform/endpoint_standin.hpp"

#include "support/child_process.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace galenapulley::testing
{

namespace
{

constexpr std::string_view stream_headers =
    "Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string refusal(const endpoint_behaviour& behaviour)
{
    std::string out = "HTTP/1.1 503 X\r\nGalenapulley-Not-Executed: 1\r\n";
    if (!behaviour.refused_attempt.empty())
        out += "Galenapulley-Attempt-Id: " + behaviour.refused_attempt + "\r\n";
    for (const auto& it : behaviour.retry_after)
        out += "Retry-After: " + it + "\r\n";
    return out + "Content-Length: 0\r\n\r\n";
}

msec pause_of(const endpoint_behaviour& behaviour)
{
    constexpr double ms_per_second = 1000;
    if (!behaviour.refuses_requests || behaviour.retry_after.empty())
        return 0;
    return static_cast<msec>(ms_per_second *
                             std::stod(behaviour.retry_after.front()));
}

/// Whether the request's prompt contains the part.
bool has_part(const wire_request& request, const std::string& part)
{
    const std::string parts(request["Galenapulley-Prompt-Prefix"]);
    return !part.empty() && parts.find(part + ':') != std::string::npos;
}

} // namespace

const std::vector<endless_part>& response_floods()
{
    static const std::vector<endless_part> parts{
        endless_part::head,         endless_part::header_line,
        endless_part::not_http,     endless_part::interim,
        endless_part::body,         endless_part::long_body,
        endless_part::chunked_body, endless_part::chunk_extension,
        endless_part::trailer};
    return parts;
}

std::ostream& operator<<(std::ostream& out, endless_part part)
{
    return out << static_cast<int>(part);
}

std::string received_request::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? "(none)" : it->second;
}

endpoint_standin::endpoint_standin(store_standin& store, std::string id,
                                   std::string service, std::string zone,
                                   endpoint_behaviour behaviour)
    : store_(store)
    , id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , behaviour_(std::move(behaviour))
    , server_([this](wire_socket& socket, const wire_request& request)
              { return serve(socket, request); })
{
    if (behaviour_.is_listed)
        register_entry();
}

void endpoint_standin::set(endpoint_behaviour behaviour)
{
    const std::lock_guard lock(mutex_);
    behaviour_ = std::move(behaviour);
}

void endpoint_standin::register_entry(const std::string& state)
{
    std::uint64_t incarnation = 0;
    int slots = 0;
    {
        const std::lock_guard lock(mutex_);
        incarnation = incarnation_;
        slots = behaviour_.slots;
    }
    store_.put("servers", id_,
               nlohmann::json{{"Service", service_},
                              {"Address", server_.address()},
                              {"Zone", zone_},
                              {"Version", "v1"},
                              {"Slots", slots},
                              {"State", state},
                              {"ColdRemainingMs", 0},
                              {"Sequence", 1},
                              {"born", incarnation}}
                   .dump());
}

void endpoint_standin::remove_entry()
{
    store_.remove("servers", id_);
}

void endpoint_standin::restart()
{
    {
        const std::lock_guard lock(mutex_);
        ++incarnation_;
    }
    register_entry();
}

void endpoint_standin::go_dark()
{
    {
        const std::lock_guard lock(sending_);
        dark_ = true;
    }
    server_.go_dark();
}

void endpoint_standin::come_back()
{
    server_.come_back();
    const std::lock_guard lock(sending_);
    dark_ = false;
}

bool endpoint_standin::send_event(wire_socket& socket, const std::string& bytes)
{
    const std::lock_guard lock(sending_);
    return dark_ || write_bytes(socket, bytes);
}

std::vector<received_request> endpoint_standin::received() const
{
    const std::lock_guard lock(mutex_);
    return received_;
}

std::size_t endpoint_standin::runs() const
{
    const std::lock_guard lock(mutex_);
    std::size_t n = 0;
    for (const auto& it : received_)
        n += it.run ? 1 : 0;
    return n;
}

bool endpoint_standin::wait_for_closed(std::size_t n, msec limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::milliseconds(limit),
                             [&] { return closed_ >= n; });
}

std::vector<received_order> endpoint_standin::orders() const
{
    const std::lock_guard lock(mutex_);
    return orders_;
}

std::size_t endpoint_standin::orders(const std::string& operation) const
{
    const auto all = orders();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(),
        [&](const received_order& it) { return it.operation == operation; }));
}

std::uint64_t endpoint_standin::reserved_tokens() const
{
    const std::lock_guard lock(mutex_);
    std::uint64_t sum = 0;
    for (const auto& [id, it] : reservations_)
        sum += it.until > time_.now() ? it.tokens : 0;
    return sum;
}

bool endpoint_standin::serve_order(wire_socket& socket,
                                   const wire_request& request,
                                   const endpoint_behaviour& behaviour)
{
    const auto body = nlohmann::json::parse(request.body());
    const received_order order{.operation = body.at("Op"),
                               .reservation = body.at("Id"),
                               .tokens = body.value("Tokens", std::uint64_t{0}),
                               .ttl = body.value("HoldMs", msec{0})};
    {
        const std::lock_guard lock(mutex_);
        orders_.push_back(order);
    }
    if (behaviour.ignores_orders)
    {
        wait_for_close(socket);
        return false;
    }
    if (behaviour.endless_orders != endless_part::none)
    {
        auto flood = behaviour;
        flood.endless = behaviour.endless_orders;
        return send_without_end(socket, request, flood);
    }
    if (order.operation == "reserve" && behaviour.refuses_memory)
        return behaviour.retry_after.empty()
                   ? write_json(socket, 409, R"({"Free":0})")
                   : write_bytes(socket, refusal(behaviour));
    {
        const std::lock_guard lock(mutex_);
        if (order.operation == "reserve")
            reservations_[order.reservation] = {
                .tokens = order.tokens, .until = time_.now() + order.ttl};
        else
            reservations_.erase(order.reservation);
    }
    return write_json(socket, 200, R"({"Free":1000})");
}

std::string endpoint_standin::head(const wire_request& request,
                                   int status) const
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    out += "Galenapulley-Attempt-Id: " +
           std::string(request["Galenapulley-Attempt-Id"]) + "\r\n";
    const std::lock_guard lock(mutex_);
    if (behaviour_.is_signed)
        out += "Galenapulley-Server-Seal: seal-" + id_ + "\r\n";
    if (behaviour_.leaving)
        out += "Server-Leaving: 1\r\n";
    if (!behaviour_.rate_limit.empty())
        out += "Server-Limit: " + behaviour_.rate_limit + "\r\n";
    return out;
}

bool endpoint_standin::serve(wire_socket& socket, const wire_request& request)
{
    endpoint_behaviour behaviour;
    {
        const std::lock_guard lock(mutex_);
        behaviour = behaviour_;
    }
    if (request.target() == "/galenapulley/order")
        return serve_order(socket, request, behaviour);
    {
        const std::lock_guard lock(mutex_);
        received_request item{.method = std::string(request.method_string()),
                              .target = std::string(request.target()),
                              .body = request.body(),
                              .run = !behaviour.refuses_requests &&
                                     !behaviour.replaced,
                              .at = time_.now(),
                              .asked_pause = pause_of(behaviour),
                              .incarnation = incarnation_};
        for (const auto& it : request)
            item.headers.emplace(it.name_string(), it.value());
        received_.push_back(std::move(item));
    }
    if (behaviour.replaced)
        return write_bytes(socket,
                           "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
    if (behaviour.refuses_requests)
        return write_bytes(socket, refusal(behaviour));
    if (behaviour.closes_connection)
        return false;
    if (behaviour.breaks_in_head)
    {
        write_bytes(socket, head(request, behaviour.status) + "Content-Le");
        return false;
    }
    if (has_part(request, behaviour.crashes_on_part))
        return crash(socket, request);
    if (behaviour.silent)
    {
        wait_for_close(socket);
        return false;
    }
    if (behaviour.responds_at_deadline)
        pause_for(std::stoll(std::string(request["Galenapulley-Deadline-Ms"])));
    if (behaviour.endless != endless_part::none && behaviour.events == 0)
        return send_without_end(socket, request, behaviour);
    if (behaviour.events > 0)
        return stream(socket, request, behaviour);
    if (behaviour.unframed)
    {
        write_bytes(socket,
                    head(request, behaviour.status) + "\r\n" + behaviour.body);
        return false;
    }
    return write_bytes(socket, head(request, behaviour.status) +
                                   "X-Made: a\r\nX-Made: b\r\n"
                                   "Content-Length: " +
                                   std::to_string(behaviour.body.size()) +
                                   "\r\n\r\n" + behaviour.body);
}

bool endpoint_standin::crash(wire_socket& socket, const wire_request& request)
{
    write_bytes(socket, head(request, 200) + std::string(stream_headers));
    restart();
    return false;
}

bool endpoint_standin::stream(wire_socket& socket, const wire_request& request,
                              const endpoint_behaviour& behaviour)
{
    if (behaviour.first_event_pause > 0)
        pause_for(behaviour.first_event_pause);
    const std::string unframed_headers =
        "Content-Type: text/event-stream\r\n\r\n";
    if (!write_bytes(socket,
                     head(request, 200) + (behaviour.unframed
                                               ? unframed_headers
                                               : std::string(stream_headers))))
        return false;
    const std::string after(request["Last-Event-Id"]);
    auto id = after.empty() ? 1 : std::stoull(after) + 1;
    for (; id <= behaviour.events; ++id)
    {
        const auto event = "id: " + std::to_string(id) +
                           "\ndata: " + std::to_string(id) + "\n\n";
        const bool breaks = id == behaviour.breaks_at;
        const auto part = breaks ? event.substr(0, event.size() / 2) : event;
        std::ostringstream chunk;
        chunk << std::hex << part.size() << "\r\n" << part << "\r\n";
        const auto& bytes = behaviour.unframed ? part : chunk.str();
        if (!send_event(socket, bytes) || breaks)
            return false;
        if (behaviour.event_pause > 0)
            pause_for(behaviour.event_pause);
    }
    if (behaviour.endless != endless_part::none)
        return send_without_end(socket, request, behaviour);
    return !behaviour.unframed && send_event(socket, "0\r\n\r\n");
}

bool endpoint_standin::send_without_end(wire_socket& socket,
                                        const wire_request& request,
                                        const endpoint_behaviour& behaviour)
{
    const std::string filler(8192, 'x');
    const std::string length = "2000";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const auto status = behaviour.status;
    const std::string stream_head =
        head(request, status) + "Content-Type: text/event-stream\r\n" + chunked;
    const std::string comment = "2\r\n:\n\r\n";
    struct endless_bytes
    {
        std::string first;
        std::string repeated;
        msec pause = 0;
    };
    const std::map<endless_part, endless_bytes> table{
        {endless_part::head, {head(request, status), "X-More: x\r\n"}},
        {endless_part::header_line,
         {head(request, status) + "X-Long: ", filler}},
        {endless_part::not_http, {filler, filler}},
        {endless_part::interim, {"", "HTTP/1.1 102 X\r\n\r\n"}},
        {endless_part::body, {head(request, status) + "\r\n", filler}},
        {endless_part::long_body,
         {head(request, status) + "Content-Length: 1000000000000\r\n\r\n",
          filler}},
        {endless_part::chunked_body,
         {head(request, status) + chunked, length + "\r\n" + filler + "\r\n"}},
        {endless_part::trailer,
         {head(request, status) + chunked + "0\r\n", "X-More: x\r\n"}},
        {endless_part::chunk_extension,
         {head(request, status) + chunked + length + ";", filler}},
        {endless_part::event, {stream_head, length + "\r\n" + filler + "\r\n"}},
        {endless_part::comments, {"", comment, 200}}};
    const auto& it = table.at(behaviour.endless);
    bool open = write_bytes(socket, it.first);
    while (open && write_bytes(socket, it.repeated))
        if (it.pause > 0)
            pause_for(it.pause);
    const std::lock_guard lock(mutex_);
    ++closed_;
    changed_.notify_all();
    return false;
}

void endpoint_standin::wait_for_close(wire_socket& socket)
{
    char byte = 0;
    boost::system::error_code ec;
    socket.read_some(boost::asio::buffer(&byte, 1), ec);
    const std::lock_guard lock(mutex_);
    closed_ += ec ? 1 : 0;
    changed_.notify_all();
}

} // namespace galenapulley::testing
