#include "node/peer_receiver.hpp"

#include "node/control_loop.hpp"

#include <utility>
#include <vector>

namespace galenapulley
{

namespace
{

/// Portions of received bytes, of up to 8 KB, that libzmq keeps for a
/// connection until they are read here.
constexpr int portions_per_connection = 8;
/// Of a connection; the kernel's own limit is megabytes.
constexpr int kernel_bytes = 64 * 1024;
/// Portions read per loop iteration, so that timers run under load.
constexpr int receive_batch = 256;
/// Time for a handshake, or for a message after its first byte.
constexpr msec time_limit = 10'000;
constexpr msec sweep_period = 250;

} // namespace

peer_receiver::peer_receiver(control_loop& loop, zmq::context_t& context,
                             const peer_receiver_options& options,
                             callbacks events)
    : loop_(loop)
    , options_(options)
    , events_(std::move(events))
    , messages_(options.memory)
    , table_({.connections = options.max_connections,
              .connections_per_address = options.max_connections})
    , socket_(context, zmq::socket_type::stream)
{
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::rcvhwm, portions_per_connection);
    socket_.set(zmq::sockopt::rcvbuf, kernel_bytes);
    socket_.bind("tcp://" + options_.address);
    const auto endpoint = socket_.get(zmq::sockopt::last_endpoint);
    address_ = endpoint.substr(endpoint.rfind('/') + 1);
    loop_.watch(socket_.handle(), [this] { receive_all(); });
    sweep_timer_ = loop_.call_every(sweep_period, [this] { close_late(); });
}

peer_receiver::~peer_receiver()
{
    loop_.cancel(sweep_timer_);
    loop_.unwatch(socket_.handle());
}

void peer_receiver::receive_all()
{
    for (int n = 0; n < receive_batch; ++n)
    {
        zmq::message_t id;
        if (!socket_.recv(id, zmq::recv_flags::dontwait))
            return;
        zmq::message_t bytes;
        static_cast<void>(socket_.recv(bytes, zmq::recv_flags::none));
        on_data(id.to_string(), bytes.to_string_view());
    }
}

void peer_receiver::on_data(const std::string& id, std::string_view bytes)
{
    const auto it = connections_.find(id);
    const bool is_known = it != connections_.end();
    // libzmq tells of the begin and of the end of a connection by no bytes.
    if (bytes.empty() && is_known)
        forget(id);
    else if (bytes.empty())
        open(id);
    else if (is_known)
        read(id, it->second, bytes);
}

void peer_receiver::open(const std::string& id)
{
    const auto number = ++last_number_;
    const auto verdict = table_.open(number, {}, loop_.now());
    if (verdict.replaced)
    {
        const auto old = ids_.find(verdict.replaced->id);
        if (old != ids_.end())
            close(std::string(old->second));
    }
    auto& it =
        connections_
            .emplace(id, connection{.number = number,
                                    .reader = {messages_,
                                               options_.max_message_bytes}})
            .first->second;
    ids_.emplace(number, id);
    note_progress(it);
    if (verdict.refused || !send(id, zmtp_reader::greeting()))
        close(id);
}

void peer_receiver::read(const std::string& id, connection& from,
                         std::string_view bytes)
{
    for (;;)
    {
        switch (from.reader.advance(bytes))
        {
        case zmtp_reader::event::none:
            note_progress(from);
            return;
        case zmtp_reader::event::greeted:
            if (!send(id, zmtp_reader::handshake()))
            {
                close(id);
                return;
            }
            break;
        case zmtp_reader::event::message:
            from.progress.reset();
            // The connection that has been silent for longest is replaced
            // first.
            table_.set_stage(from.number, client_table::stage::busy,
                             loop_.now());
            events_.message(from.reader.take());
            break;
        case zmtp_reader::event::dropped:
            from.progress.reset();
            events_.dropped();
            break;
        case zmtp_reader::event::violation:
            close(id);
            return;
        }
    }
}

void peer_receiver::note_progress(connection& it)
{
    const auto now = loop_.now();
    if (!it.reader.is_incomplete())
    {
        it.progress.reset();
        table_.set_stage(it.number, client_table::stage::idle, now);
        return;
    }
    if (it.progress)
        return;
    it.progress.emplace(0, time_limit, now);
    it.due_at = now + time_limit;
    // An incomplete message or handshake may be replaced by a new connection.
    table_.set_stage(it.number, client_table::stage::head, now);
}

bool peer_receiver::send(const std::string& id, const std::string& bytes)
{
    try
    {
        return socket_.send(zmq::buffer(id), zmq::send_flags::sndmore |
                                                 zmq::send_flags::dontwait) &&
               socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }
    catch (const zmq::error_t&)
    {
        // The connection has ended; libzmq tells of it later.
        return false;
    }
}

void peer_receiver::close(const std::string& id)
{
    // No bytes end the connection.
    send(id, {});
    forget(id);
}

void peer_receiver::forget(const std::string& id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    table_.close(it->second.number);
    ids_.erase(it->second.number);
    connections_.erase(it);
}

void peer_receiver::close_late()
{
    const auto now = loop_.now();
    const auto refused = messages_.refused_uploads();
    const bool is_short = std::exchange(seen_refusals_, refused) != refused;
    std::vector<std::string> late;
    for (auto& [id, it] : connections_)
    {
        const bool gives_up =
            is_short && it.progress &&
            it.reader.reserved() > memory_budget::small_body_bytes &&
            it.progress->is_stalled(it.reader.received(), now);
        if (gives_up || (it.progress && now >= it.due_at))
            late.push_back(id);
    }
    for (const auto& id : late)
        close(id);
}

} // namespace galenapulley
