#pragma once

#include <set>
#include <string>

namespace galenapulley
{

struct back_end;

/// Zones and machines that operators have withdrawn from service.
struct fleet
{
    std::set<std::string> withdrawn_zones;
    std::set<std::string> withdrawn_machines;

    /// Whether the back end may receive new requests.
    bool admits(const back_end& target) const;
};

} // namespace galenapulley
