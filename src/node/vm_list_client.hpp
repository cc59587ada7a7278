#pragma once

#include "galenapulley/clock.hpp"
#include "node/http_table_service.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace galenapulley
{

/// One entry of the platform's list of VMs, which lags behind their state.
struct vm_entry
{
    std::string machine;
    bool leaving = false;
};

/// Reads the platform's list of VMs. Callbacks are run through `post`.
class vm_list_client
{
public:
    using list_callback =
        std::function<void(absl::StatusOr<std::vector<vm_entry>>)>;

    vm_list_client(http_client& client, const std::string& address,
                   post_function post);

    /// Failures have the error kind store_unavailable.
    void list(msec timeout, list_callback done);

private:
    http_client& client_;
    std::string url_;
    post_function post_;
};

} // namespace galenapulley
