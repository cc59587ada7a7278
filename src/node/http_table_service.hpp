#pragma once

#include "galenapulley/table_service.hpp"

#include <functional>
#include <memory>
#include <string>

namespace galenapulley
{

class http_client;
struct http_result;

/// Runs a closure on the thread that the service's callbacks must run on.
using post_function = std::function<void(std::function<void()>)>;

/// Client of the platform's table service over HTTP. Callbacks are run through
/// `post`. The HTTP client must be destroyed before anything `post` refers to.
class http_table_service final : public table_service
{
public:
    /// `address` is the platform's "IP:PORT".
    http_table_service(http_client& client, const std::string& address,
                       post_function post);

    /// Failures have the error kind store_unavailable.
    void read(const std::string& key, msec timeout,
              read_callback done) override;
    void scan(const std::string& prefix, msec timeout,
              scan_callback done) override;
    void commit(const table_transaction& transaction, msec timeout,
                commit_callback done) override;

private:
    http_client& client_;
    std::string base_url_;
    post_function post_;
};

} // namespace galenapulley
