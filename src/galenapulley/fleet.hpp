#pragma once

#include <set>
#include <string>

namespace galenapulley
{

struct back_end;

/// Zones and machines that operators have taken out of service.
struct fleet
{
    std::set<std::string> withdrawn_zones;
    std::set<std::string> withdrawn_machines;

    /// Whether new work may go to the back end.
    bool admits(const back_end& target) const;
};

} // namespace galenapulley
