#pragma once

#include "galenapulley/clients/client_table.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/directory_sampler.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/memory_budget.hpp"
#include "galenapulley/routing_table.hpp"
#include "gateway/client_bounds.hpp"
#include "gateway/dispatcher_proxy.hpp"
#include "gateway/event_log.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/wire_format.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenapulley
{

/// What a listener serves.
enum class listener_role
{
    traffic,
    ready,
    directory,
    metrics
};

/// State shared by all connections. Used on the traffic thread only.
struct traffic_state
{
    boost::asio::io_context& io;
    const gateway_settings& settings;
    const wire_format& format;
    const clock& time;
    dispatcher_proxy& dispatch;
    event_log& log;
    counters& count;
    gateway_metrics& metrics;
    /// Chooses the nodes of each response of the directory.
    directory_sampler directory;
    std::uint64_t next_request = 0;

    /// Null until a configuration has been received.
    std::shared_ptr<const routing_table> routing{};
    /// Nodes that may be listed to clients.
    std::vector<listed_node> nodes{};
    bool ready = false;
    /// The process is stopping; connections are closed after the response.
    bool stopping = false;
    /// New requests are refused, as the process may end before a stream does.
    bool refusing = false;
    client_bounds bounds{};
    /// Memory for the bodies of requests and responses.
    memory_budget body_memory{bounds.body_bytes};
    client_table clients{bounds.clients};
    client_table operators{bounds.operators};
    /// Memory of input that no request has taken.
    std::size_t input_bytes = 0;
    std::size_t open_connections = 0;
    std::size_t open_requests = 0;
    /// Connections that stay open for a moment after a request was refused.
    std::size_t lingering = 0;
    /// Counts and logs a client that is refused or closed.
    void on_limit(client_limit cause);
    /// The connections that share limits with those of the listener.
    client_table& table_of(listener_role role);
    /// Where bytes of a client arrive; its connection takes them at once.
    std::array<char, std::size_t{16} * 1024> landing{};
};

} // namespace galenapulley
