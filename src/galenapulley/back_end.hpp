#pragma once

#include <cstdint>
#include <string>

namespace galenapulley
{

/// A model engine or a plain server, as its service document describes it.
struct back_end
{
    std::string name;
    /// IP address and port.
    std::string address;
    std::string zone;
    std::string machine;
    /// Requests that it may run at once when warm, and when cold.
    std::uint32_t slots = 1;
    std::uint32_t cold_slots = 1;
    /// KV cache memory in tokens; 0 for a plain server.
    std::uint32_t kv_tokens = 0;
    /// Whether it refuses orders with an outdated fencing token.
    bool checks_fencing = false;
};

} // namespace galenapulley
