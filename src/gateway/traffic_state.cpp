#include "gateway/traffic_state.hpp"

namespace galenapulley
{

void traffic_state::on_limit(client_limit cause)
{
    metrics.count(cause);
    log.write(
        log_event::client_limited,
        {{"limit", name_of(cause)},
         {"connections", static_cast<std::int64_t>(open_connections)},
         {"input_bytes", static_cast<std::int64_t>(input_bytes)},
         {"unread_bytes", static_cast<std::int64_t>(clients.unread_bytes())},
         {"body_bytes", static_cast<std::int64_t>(body_memory.used())}});
}

client_table& traffic_state::table_of(listener_role role)
{
    const bool for_operators =
        role == listener_role::ready || role == listener_role::metrics;
    return for_operators ? operators : clients;
}

} // namespace galenapulley
