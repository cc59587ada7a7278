#pragma once

#include "node/http_server.hpp"

#include <memory>
#include <string>

namespace galenapulley
{

class control_loop;
class counters;
class node;

/// Entry point of client requests. Parses them on the HTTP worker thread and
/// passes them on to the control thread.
class request_handler
{
public:
    request_handler(control_loop& loop, counters& counts, node& target);

    void handle(http_request request,
                const std::shared_ptr<http_exchange>& exchange);

private:
    void handle_completion(const std::string& service,
                           const http_request& request,
                           const std::shared_ptr<http_exchange>& exchange);

    control_loop& loop_;
    counters& counts_;
    node& node_;
};

} // namespace galenapulley
