#pragma once

#include "galenapulley/clients/client_table.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/memory_budget.hpp"
#include "http/request_reader.hpp"
#include "http/upload_progress.hpp"
#include "node/http_server.hpp"
#include "node/worker_transport.hpp"

#include <pistache/http.h>
#include <pistache/peer.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace galenapulley
{

class pistache_exchange;

/// What the workers of a server have in common.
struct server_state
{
    http_server_options options;
    http_server::handler_type handler;
    std::shared_ptr<memory_budget> bodies;
};

/// Reads the requests of one worker's connections within the limits of the
/// server, and passes them to its handler one at a time for each connection.
/// Pistache clones the handler for each worker; used on the worker's thread.
class connection_handler final : public Pistache::Http::Handler,
                                 public timed_handler
{
    HTTP_PROTOTYPE(connection_handler)

public:
    explicit connection_handler(std::shared_ptr<const server_state> server);
    /// A handler for another worker, without connections.
    connection_handler(const connection_handler& other);
    ~connection_handler() override;

    void on_tick() override;

private:
    struct connection;
    struct response_form;
    using peer_ptr = std::shared_ptr<Pistache::Tcp::Peer>;

    void onConnection(const peer_ptr& peer) override;
    void onDisconnection(const peer_ptr& peer) override;
    void onInput(const char* buf, std::size_t n, const peer_ptr& peer) override;
    /// Not called, as Pistache's parser is not used.
    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter writer) override;

    connection* find(std::size_t id) const;
    /// Reads on in the bytes at hand until the request is complete.
    void read(connection& it);
    /// Called when the head of a request has been read.
    void begin_body(connection& it);
    void begin_request(connection& it);
    /// Called when a response is complete.
    void end_request(std::size_t id, bool usable);
    void refuse(connection& it, error_kind kind, std::string_view reason);
    /// Sends the response, drops what else the client sends, and closes.
    void reject(connection& it, http_response response);
    std::shared_ptr<pistache_exchange> make_exchange(connection& it,
                                                     const response_form& form);
    void check_time(connection& it, msec now, bool is_short_of_memory);
    void send_interim_response(const connection& it);
    void set_stage(const connection& it, client_table::stage value);
    worker_transport& worker();

    std::shared_ptr<const server_state> server_;
    boot_time_clock clock_;
    /// This worker's part of the connections.
    client_table table_;
    std::unordered_map<std::size_t, std::unique_ptr<connection>> connections_;
    /// Uploads refused for lack of memory up to the last tick.
    std::uint64_t seen_refused_uploads_ = 0;
};

} // namespace galenapulley
