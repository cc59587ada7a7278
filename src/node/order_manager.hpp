#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace galenapulley
{

class control_loop;
class http_client;
class table_service;
struct back_end;
struct table_row;

/// An operator's order to an engine.
struct engine_order
{
    /// `load_model` or `set_role`.
    std::string order;
    std::string value;
};

/// Sends orders to engines. The version of the row orders/<back end> serves as
/// the fencing token, so the order committed last wins.
class order_manager
{
public:
    using done_callback = std::function<void(absl::Status, std::int64_t fence)>;

    order_manager(control_loop& loop, http_client& engines,
                  table_service& table);

    /// Records the order in the table service and sends it to the engine. Fails
    /// with version_conflict if another order superseded it.
    void submit(const back_end& target, const engine_order& order,
                done_callback done);

private:
    struct pending_order;
    using order_ptr = std::shared_ptr<pending_order>;

    static constexpr msec call_timeout = 3000_ms;
    /// Loading a large model may take this long.
    static constexpr msec order_timeout = 60'000_ms;

    void record(const order_ptr& it, const table_row& row);
    void read_back(const order_ptr& it);
    void send(const order_ptr& it);
    void check_superseded(const order_ptr& it);

    control_loop& loop_;
    http_client& engines_;
    table_service& table_;
};

} // namespace galenapulley
