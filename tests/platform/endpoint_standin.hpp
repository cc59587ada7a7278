#pragma once

#include "galenapulley/clock.hpp"
#include "platform/store_standin.hpp"
#include "platform/wire_server.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <ostream>
#include <string>
#include <vector>

namespace galenapulley::testing
{

/// Where an endpoint in trouble sends bytes until the caller closes.
enum class endless_part
{
    none,
    /// Header lines.
    head,
    /// One header line.
    header_line,
    /// No HTTP at all.
    not_http,
    /// Interim responses.
    interim,
    /// A body without a length that is no stream.
    body,
    /// A body of a length that doesn't end in any time.
    long_body,
    chunked_body,
    /// Chunk extensions.
    chunk_extension,
    /// Trailer fields.
    trailer,
    /// A stream's event that has no end.
    event,
    /// Comments of a stream, a few bytes now and then.
    comments
};

/// Those in a response that is no stream.
const std::vector<endless_part>& response_floods();
std::ostream& operator<<(std::ostream& out, endless_part part);

/// How an endpoint responds to requests.
struct endpoint_behaviour
{
    /// Requests that it serves at the same time, in its next entry in the
    /// store.
    int slots = 4;
    /// Registers itself in the store at its construction.
    bool is_listed = true;
    /// Responds 503 without running the request.
    bool refuses_requests = false;
    /// Attempt id of these refusals in place of that of the request.
    std::string refused_attempt{};
    /// Responds 421, like another incarnation at this address.
    bool replaced = false;
    /// Closes the connection after reading the request.
    bool closes_connection = false;
    /// Reads the request and sends no response.
    bool silent = false;
    /// Responds when the time that it was given is over.
    bool responds_at_deadline = false;
    int status = 200;
    /// Responses have the signature.
    bool is_signed = true;
    /// Number of events of a stream; 0 for a response that is no stream.
    std::uint64_t events = 0;
    /// Id of the event after whose first half the connection is closed.
    std::uint64_t breaks_at = 0;
    /// Closes the connection in the middle of the response's head.
    bool breaks_in_head = false;
    /// Responses have neither a length nor chunks and end with the connection.
    bool unframed = false;
    msec event_pause = 0;
    msec first_event_pause = 0;
    std::string body = "content";
    /// With endless_part::comments after `events` events.
    endless_part endless = endless_part::none;
    /// Refuses memory reservations.
    bool refuses_memory = false;
    /// Reads orders and sends no response.
    bool ignores_orders = false;
    /// Where responses to orders have no end.
    endless_part endless_orders = endless_part::none;
    /// Id of a prompt part: a prompt with it ends the endpoint before the first
    /// event, and the endpoint starts again.
    std::string crashes_on_part{};
    /// Requests per second that its responses name as its limit, if any.
    std::string rate_limit{};
    /// Its responses say that it leaves.
    bool leaving = false;
    /// The Retry-After headers of its refusals, of requests and of memory.
    std::vector<std::string> retry_after{};
};

/// An order about memory that an endpoint received.
struct received_order
{
    std::string operation;
    std::string reservation;
    std::uint64_t tokens = 0;
    msec ttl = 0;
};

/// A request that an endpoint received.
struct received_request
{
    std::string method;
    std::string target;
    std::string body;
    std::multimap<std::string, std::string> headers;
    bool run = false;
    msec at = 0;
    /// The pause that the response asked for.
    msec asked_pause = 0;
    /// Number of starts of the endpoint when it arrived.
    std::uint64_t incarnation = 0;

    std::string header(const std::string& name) const;
};

/// Stand-in of a server that registers itself in the store.
class endpoint_standin
{
public:
    endpoint_standin(store_standin& store, std::string id, std::string service,
                     std::string zone, endpoint_behaviour behaviour);

    void set(endpoint_behaviour behaviour);
    void register_entry(const std::string& state = "ready");
    /// Removes the entry from the store.
    void remove_entry();
    /// Registers as a new incarnation with the same id and address.
    void restart();
    /// Its host loses power in the middle of what it does.
    void go_dark();
    /// The network to its host works again.
    void come_back();
    /// Closes its listener and all connections, so that new ones are refused.
    void shut_down() { server_.stop(); }
    const std::string& id() const { return id_; }
    const std::string& address() const { return server_.address(); }

    std::vector<received_request> received() const;
    std::size_t runs() const;
    std::vector<received_order> orders() const;
    std::size_t orders(const std::string& operation) const;
    /// Tokens that are reserved now.
    std::uint64_t reserved_tokens() const;
    /// Waits until the clients of `n` silent requests or orders have closed
    /// their connection.
    bool wait_for_closed(std::size_t n, msec limit);

private:
    struct reservation
    {
        std::uint64_t tokens = 0;
        msec until = 0;
    };

    bool serve(wire_socket& socket, const wire_request& request);
    bool serve_order(wire_socket& socket, const wire_request& request,
                     const endpoint_behaviour& behaviour);
    bool stream(wire_socket& socket, const wire_request& request,
                const endpoint_behaviour& behaviour);
    /// Sends a part of a stream, unless the host has lost power.
    bool send_event(wire_socket& socket, const std::string& bytes);
    /// Sends bytes until the peer closes the connection, and counts it.
    bool send_without_end(wire_socket& socket, const wire_request& request,
                          const endpoint_behaviour& behaviour);
    std::string head(const wire_request& request, int status) const;
    /// Ends the endpoint in the middle of the response and starts it again.
    bool crash(wire_socket& socket, const wire_request& request);
    /// Waits until the peer closes the connection, and counts it.
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
    /// Held while an event is sent.
    std::mutex sending_;
    bool dark_ = false;
    /// Number of starts.
    std::uint64_t incarnation_ = 1;
    wire_server server_;
};

} // namespace galenapulley::testing
