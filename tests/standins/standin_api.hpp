#pragma once

#include "node/http_server.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace galenapulley::standins
{

using json = nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

/// The HTTP interface of one stand-in. handle() runs on any worker thread.
class standin_api
{
public:
    virtual ~standin_api() = default;

    virtual void handle(http_request request, const exchange_ptr& exchange) = 0;
};

void respond_json(const exchange_ptr& exchange, int status, const json& body);
void respond_error(const exchange_ptr& exchange, int status,
                   const std::string& error);

/// The rest of `path` after `prefix`; empty if it has another prefix.
std::string path_after(const std::string& path, const std::string& prefix);

} // namespace galenapulley::standins
