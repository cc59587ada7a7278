#pragma once

#include "galenapulley/clients/client_table.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/memory_budget.hpp"
#include "http/upload_progress.hpp"
#include "node/zmtp_reader.hpp"

#include <zmq.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace galenapulley
{

class control_loop;

struct peer_receiver_options
{
    /// Address to bind, "IP:PORT"; port 0 selects a free port.
    std::string address;
    /// The largest message that is delivered.
    std::size_t max_message_bytes = 0;
    /// Memory for incomplete messages of all connections.
    std::size_t memory = 0;
    std::size_t max_connections = 1024;
};

/// Receives the messages of other nodes' DEALER sockets within limits of memory
/// and connections. A ROUTER socket has none: it keeps a message of many frames
/// until its last one, and reads protocols without a handshake. Used on the
/// control thread only.
class peer_receiver
{
public:
    struct callbacks
    {
        std::function<void(std::string)> message;
        /// A message was too large, or no message of a peer.
        std::function<void()> dropped;
    };

    /// Binds the address; throws zmq::error_t if that fails.
    peer_receiver(control_loop& loop, zmq::context_t& context,
                  const peer_receiver_options& options, callbacks events);
    ~peer_receiver();

    peer_receiver(const peer_receiver&) = delete;
    peer_receiver& operator=(const peer_receiver&) = delete;

    /// The bound address, "IP:PORT".
    const std::string& address() const { return address_; }
    std::size_t connections() const { return connections_.size(); }

private:
    struct connection
    {
        client_table::connection_id number = 0;
        zmtp_reader reader;
        /// Set while a message, or the handshake, is incomplete.
        std::optional<upload_progress> progress{};
        msec due_at = 0;
    };

    void receive_all();
    void on_data(const std::string& id, std::string_view bytes);
    void open(const std::string& id);
    void read(const std::string& id, connection& from, std::string_view bytes);
    void note_progress(connection& it);
    bool send(const std::string& id, const std::string& bytes);
    /// Ends a connection.
    void close(const std::string& id);
    void forget(const std::string& id);
    void close_late();

    control_loop& loop_;
    peer_receiver_options options_;
    callbacks events_;
    memory_budget messages_;
    client_table table_;
    zmq::socket_t socket_;
    std::string address_;
    std::unordered_map<std::string, connection> connections_;
    std::unordered_map<client_table::connection_id, std::string> ids_;
    client_table::connection_id last_number_ = 0;
    std::uint64_t seen_refusals_ = 0;
    std::uint64_t sweep_timer_ = 0;
};

} // namespace galenapulley
