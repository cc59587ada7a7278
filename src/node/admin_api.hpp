#pragma once

#include "node/http_server.hpp"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenapulley
{

class config_change;
class config_manager;
class config_registry;
class config_sync;
class counters;
class order_manager;
struct node_settings;

/// HTTP API for operators and teams under /admin. Used on the control thread.
class admin_api
{
public:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    struct dependencies
    {
        const node_settings& settings;
        config_registry& registry;
        config_manager& config;
        order_manager& orders;
        counters& counts;
        const config_sync& sync;
        /// JSON text of this node's status.
        std::function<std::string()> status;
    };

    explicit admin_api(dependencies deps);

    void handle(const http_request& request, const exchange_ptr& exchange);

private:
    /// Identity of the caller: an operator, a team, or neither if the token is
    /// unknown.
    struct caller
    {
        bool is_operator = false;
        std::string team;
    };

    using path_segments = std::vector<std::string>;
    using handler = void (admin_api::*)(const http_request&,
                                        const path_segments&, const caller&,
                                        const exchange_ptr&);
    struct route_entry
    {
        const char* method;
        /// `*` matches any one path segment.
        path_segments path;
        bool operators_only;
        handler handle;
    };
    static const std::vector<route_entry>& routes();

    caller identify(const http_request& request) const;
    void list_services(const http_request&, const path_segments&, const caller&,
                       const exchange_ptr&);
    void get_service(const http_request&, const path_segments&, const caller&,
                     const exchange_ptr&);
    void put_document(const http_request&, const path_segments&, const caller&,
                      const exchange_ptr&);
    void remove_document(const http_request&, const path_segments&,
                         const caller&, const exchange_ptr&);
    void check_document(const http_request&, const path_segments&,
                        const caller&, const exchange_ptr&);
    void change_zone(const http_request&, const path_segments&, const caller&,
                     const exchange_ptr&);
    void change_machine(const http_request&, const path_segments&,
                        const caller&, const exchange_ptr&);
    void submit_order(const http_request&, const path_segments&, const caller&,
                      const exchange_ptr&);
    void get_status(const http_request&, const path_segments&, const caller&,
                    const exchange_ptr&);

    absl::Status may_edit(const caller& who, const std::string& service_name,
                          const std::string* body) const;
    void execute(const std::shared_ptr<const config_change>& change,
                 const http_request& request, const exchange_ptr& exchange);
    /// Refuses to read documents before this node has loaded all of them.
    bool refuse_without_baseline(const exchange_ptr& exchange);
    void refuse(const exchange_ptr& exchange, const absl::Status& status);

    dependencies deps_;
};

} // namespace galenapulley
