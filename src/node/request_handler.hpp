#pragma once

#include "node/http_server.hpp"

#include <memory>
#include <optional>
#include <string>

namespace galenapulley
{

class control_loop;
class counters;
class known_tokens;
class node;

/// Entry point of client requests. Parses them on the HTTP worker thread and
/// passes them on to the control thread.
class request_handler
{
public:
    request_handler(control_loop& loop, counters& counts, node& target,
                    const known_tokens& tokens);

    void handle(http_request request,
                const std::shared_ptr<http_exchange>& exchange);
    /// Refuses large bodies of clients without a valid token by their heads.
    /// May be called from any thread.
    std::optional<http_response> check_upload(const client_request& head);

private:
    void handle_completion(const std::string& service, http_request request,
                           const std::shared_ptr<http_exchange>& exchange);

    control_loop& loop_;
    counters& counts_;
    node& node_;
    const known_tokens& tokens_;
};

} // namespace galenapulley
