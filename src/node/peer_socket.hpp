#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/peer_link.hpp"
#include "node/peer_receiver.hpp"

#include <zmq.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace galenapulley
{

class control_loop;

struct peer_socket_options
{
    /// Address to bind, "IP:PORT"; port 0 selects a free port.
    std::string address;
    std::string node;
    std::int64_t incarnation = 0;
    msec idle_close = 60_sec;
    /// Messages queued per peer before further ones are dropped.
    int send_high_water_mark = 1000;
    /// Memory for messages that have not arrived completely.
    std::size_t receive_memory = std::size_t{64} << 20;
    /// Connections of other nodes.
    std::size_t max_connections = 1024;
};

/// Message and byte counts since the start of the process.
struct peer_traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    /// Not sent: queue full, message too large or address invalid.
    std::uint64_t messages_dropped = 0;
    /// Received, but too large or not a peer message.
    std::uint64_t messages_rejected = 0;
};

/// Peer messages over ZeroMQ: one receiver, and one DEALER socket per peer to
/// send. Used on the control thread only.
class peer_socket final : public peer_link
{
public:
    using receive_callback = std::function<void(wire::peer_message)>;

    static constexpr std::size_t max_message_bytes = std::size_t{8} << 20;

    /// Binds the address; throws zmq::error_t if that fails.
    peer_socket(control_loop& loop, peer_socket_options options,
                receive_callback receive);
    ~peer_socket() override;

    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    void send(const std::string& peer_address,
              wire::peer_message message) override;

    /// The bound address, "IP:PORT".
    const std::string& address() const { return receiver_.address(); }
    const peer_traffic& traffic() const { return traffic_; }
    /// Number of peers with an open socket.
    std::size_t open_links() const { return links_.size(); }

private:
    struct link
    {
        zmq::socket_t socket;
        msec last_used = 0;
    };

    link* find_or_open_link(const std::string& peer_address);
    void receive_one(const std::string& frame);
    void close_idle_links();

    control_loop& loop_;
    peer_socket_options options_;
    receive_callback receive_;
    zmq::context_t context_;
    peer_receiver receiver_;
    std::unordered_map<std::string, link> links_;
    std::uint64_t idle_timer_ = 0;
    peer_traffic traffic_;
};

} // namespace galenapulley
