#include "standins/standin_api.hpp"

namespace galenapulley::standins
{

void respond_json(const exchange_ptr& exchange, int status, const json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    exchange->respond(std::move(response));
}

void respond_error(const exchange_ptr& exchange, int status,
                   const std::string& error)
{
    respond_json(exchange, status, {{"error", error}});
}

std::string path_after(const std::string& path, const std::string& prefix)
{
    return path.starts_with(prefix) ? path.substr(prefix.size())
                                    : std::string();
}

} // namespace galenapulley::standins
