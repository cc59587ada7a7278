#pragma once

#include "galenapulley/byte_chain.hpp"
#include "galenapulley/error_kind.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/traffic_state.hpp"
#include "http/request_reader.hpp"
#include "http/upload_progress.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

class forwarding;

/// An HTTP connection of a client. Requests are served one at a time;
/// pipelined requests wait in the reader.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(traffic_state& state, boost::asio::ip::tcp::socket socket,
                      listener_role role, client_table::connection_id id);
    ~client_connection();

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    boost::asio::awaitable<void> serve();
    /// Closes the connection if no request is being served.
    void close_if_idle();
    /// Has the request that is being forwarded answered now.
    void end_request();
    /// Closes the connection at once.
    void abort();
    /// Closes the connection at once and drops what the client has not read.
    void reset();
    /// Tells the table of connections what the client has not read.
    void observe_unread();
    /// Gives up a body that arrives too slowly, so that others get its memory.
    void give_up_stalled_upload();

    /// Whether the client of the current request has disconnected.
    bool client_gone() const { return disconnected_; }
    /// Sends bytes of the response; false if the client has disconnected.
    boost::asio::awaitable<bool> write(std::string head, byte_chain body = {});
    /// Sends an error response; returns whether the connection can be kept.
    boost::asio::awaitable<bool> refuse(error_kind kind, std::string message,
                                        msec retry_after, bool keep);
    /// Whether the connection is closed after the response to this request.
    bool closes_after(const client_request& request) const;

private:
    /// Waits until the client has sent something, unless that is awaited
    /// already. This goes on while a request is served, which detects that the
    /// client disconnects.
    void start_reading();
    void on_readable(boost::system::error_code ec);
    /// Waits for more bytes; false on timeout.
    boost::asio::awaitable<bool> wait_for_bytes(msec limit);
    /// Waits for the first byte of a request; false if there will be none.
    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<std::optional<client_request>> read_request();
    /// Reads the rest of a request; false if it was refused or will not come.
    boost::asio::awaitable<bool> read_message();
    /// Refuses a request that can't be read.
    boost::asio::awaitable<void> reject();
    boost::asio::awaitable<void> refuse_late();
    /// Frees what has arrived of a request that is refused.
    void stop_reading_request();
    boost::asio::awaitable<void> refuse_input();
    client_limits limits() const;
    /// Largest body of a request to this listener.
    std::size_t max_body() const;
    /// Called once the head of a request has been read.
    boost::asio::awaitable<bool> begin_body();
    /// Accounts for the input at hand, and for what the kernel may keep of a
    /// client that sends more than is read. False if it is too much.
    bool account_input();
    /// Whether the input of this client may grow.
    bool may_read_on() const;
    client_table& table() { return state_.table_of(role_); }
    /// Waits until the client's host has the last response.
    boost::asio::awaitable<void> drain();
    read_state read_buffered();

    boost::asio::awaitable<bool> serve_request(client_request request);
    boost::asio::awaitable<bool> serve_traffic(client_request request);
    boost::asio::awaitable<bool> serve_ready(client_request request);
    boost::asio::awaitable<bool> serve_directory(client_request request);
    boost::asio::awaitable<bool> serve_metrics(client_request request);
    boost::asio::awaitable<bool> send_text(int status, std::string_view type,
                                           std::string body, bool keep);
    absl::StatusOr<admitted_request> admit(client_request request) const;
    void log_refusal(error_kind kind, std::string_view reason) const;

    traffic_state& state_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer wake_;
    request_reader reader_;
    client_table::connection_id id_;
    /// Bytes of a response that the kernel has not taken yet.
    std::size_t unsent_ = 0;
    /// Bytes that the kernel has taken.
    std::uint64_t sent_ = 0;
    /// The part of traffic_state::input_bytes that is due to this client.
    std::size_t input_bytes_ = 0;
    listener_role role_;
    bool reading_ = false;
    bool disconnected_ = false;
    bool serving_ = false;
    /// Set while the body of a request arrives.
    std::optional<upload_progress> upload_;
    /// The body is given up to make room for others.
    bool upload_given_up_ = false;
    /// The rest of the current request will not be read.
    bool rejected_ = false;
    /// All responses are sent; what the client sends is dropped.
    bool draining_ = false;
    /// At least one request was served on this connection.
    bool served_ = false;
    /// The request being forwarded; it is ended when the client disconnects.
    forwarding* forwarded_ = nullptr;
};

} // namespace galenapulley
