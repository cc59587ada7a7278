#include "node/peer_socket.hpp"

#include "node/control_loop.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr int reconnect_min_ms = 100;
constexpr int reconnect_max_ms = 2000;
/// A connection whose data is unacknowledged for this long is reopened.
/// Otherwise TCP would retransmit for minutes after a machine was lost.
constexpr int unacknowledged_limit_ms = 6000;
} // namespace

peer_socket::peer_socket(control_loop& loop, peer_socket_options options,
                         receive_callback receive)
    : loop_(loop)
    , options_(std::move(options))
    , receive_(std::move(receive))
    , receiver_(
          loop, context_,
          {.address = options_.address,
           .max_message_bytes = max_message_bytes,
           .memory = options_.receive_memory,
           .max_connections = options_.max_connections},
          {.message = [this](const std::string& frame) { receive_one(frame); },
           .dropped =
               [this]
           {
               ++traffic_.messages_rejected;
           }})
{
    // A link is closed at most half the idle time too late.
    idle_timer_ = loop_.call_every(options_.idle_close / 2,
                                   [this] { close_idle_links(); });
}

peer_socket::~peer_socket()
{
    loop_.cancel(idle_timer_);
}

void peer_socket::send(const std::string& peer_address,
                       wire::peer_message message)
{
    message.set_from(options_.node);
    message.set_incarnation(options_.incarnation);
    const auto bytes = message.ByteSizeLong();
    auto* const target =
        bytes <= max_message_bytes ? find_or_open_link(peer_address) : nullptr;
    if (target == nullptr)
    {
        ++traffic_.messages_dropped;
        return;
    }
    zmq::message_t frame(bytes);
    message.SerializeToArray(frame.data(), static_cast<int>(bytes));
    target->last_used = loop_.now();
    if (!target->socket.send(frame, zmq::send_flags::dontwait))
    {
        ++traffic_.messages_dropped;
        return;
    }
    ++traffic_.messages_sent;
    traffic_.bytes_sent += bytes;
}

peer_socket::link*
peer_socket::find_or_open_link(const std::string& peer_address)
{
    const auto it = links_.find(peer_address);
    if (it != links_.end())
        return &it->second;
    try
    {
        zmq::socket_t socket(context_, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, options_.send_high_water_mark);
        socket.set(zmq::sockopt::reconnect_ivl, reconnect_min_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
        socket.set(zmq::sockopt::connect_timeout, reconnect_max_ms);
        socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_limit_ms);
        socket.connect("tcp://" + peer_address);
        return &links_
                    .emplace(peer_address, link{std::move(socket), loop_.now()})
                    .first->second;
    }
    catch (const zmq::error_t&)
    {
        return nullptr;
    }
}

void peer_socket::receive_one(const std::string& frame)
{
    wire::peer_message message;
    const bool valid = message.ParseFromString(frame) &&
                       !message.from().empty() &&
                       message.body_case() != wire::peer_message::BODY_NOT_SET;
    if (!valid)
    {
        ++traffic_.messages_rejected;
        return;
    }
    ++traffic_.messages_received;
    traffic_.bytes_received += frame.size();
    receive_(std::move(message));
}

void peer_socket::close_idle_links()
{
    const auto limit = loop_.now() - options_.idle_close;
    std::erase_if(links_, [limit](const auto& it)
                  { return it.second.last_used <= limit; });
}

} // namespace galenapulley
