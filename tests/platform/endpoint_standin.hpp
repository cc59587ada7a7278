#pragma once

#include "galenapulley/clock.hpp"
#include "platform/store_standin.hpp"
#include "platform/wire_server.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace galenapulley::testing
{

/// How an endpoint treats a request.
struct endpoint_behaviour
{
    /// Answers 503 without running the request.
    bool full = false;
    /// Answers as another incarnation at this address.
    bool replaced = false;
    /// Closes the connection after it has read the request.
    bool drops = false;
    /// Reads the request and says nothing.
    bool silent = false;
    int status = 200;
    /// Events of a stream; none for a plain answer.
    std::uint64_t events = 0;
    /// Event after whose first half the connection is reset.
    std::uint64_t breaks_in = 0;
    msec event_pause = 0;
    msec first_event_pause = 0;
    std::string body = "content";
    /// Has no memory to set aside.
    bool refuses_memory = false;
    /// Takes orders and says nothing.
    bool silent_to_orders = false;
};

/// An order about memory that an endpoint received.
struct received_order
{
    std::string operation;
    std::string reservation;
    std::uint64_t tokens = 0;
    msec hold = 0;
};

/// What an endpoint received.
struct received_request
{
    std::string method;
    std::string target;
    std::string body;
    std::multimap<std::string, std::string> headers;
    bool run = false;

    std::string header(const std::string& name) const;
};

/// Stand-in of a server that registers itself in the store.
class endpoint_standin
{
public:
    endpoint_standin(store_standin& store, std::string id, std::string service,
                     std::string zone, endpoint_behaviour behaviour);

    void set(endpoint_behaviour behaviour);
    void enter(const std::string& state = "ready");
    /// Its entry lapses.
    void lapse();
    const std::string& id() const { return id_; }
    const std::string& address() const { return server_.address(); }

    std::vector<received_request> received() const;
    std::size_t runs() const;
    std::vector<received_order> orders() const;
    std::size_t orders(const std::string& operation) const;
    /// Tokens that are set aside now.
    std::uint64_t reserved_tokens() const;
    /// Waits until so many requests were seen to lose their connection.
    bool wait_for_closed(std::size_t n, msec limit);

private:
    struct reservation
    {
        std::uint64_t tokens = 0;
        msec until = 0;
    };

    bool serve(wire_socket& socket, const wire_request& request);
    bool serve_order(wire_socket& socket, const wire_request& request,
                     const endpoint_behaviour& how);
    bool stream(wire_socket& socket, const wire_request& request,
                const endpoint_behaviour& how);
    std::string head(const wire_request& request, int status) const;
    /// Waits until the peer closes; records that it did.
    void wait_for_close(wire_socket& socket);

    store_standin& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    endpoint_behaviour behaviour_;
    std::vector<received_request> received_;
    std::vector<received_order> orders_;
    std::map<std::string, reservation> reservations_;
    boot_time_clock time_;
    std::size_t closed_ = 0;
    wire_server server_;
};

} // namespace galenapulley::testing
