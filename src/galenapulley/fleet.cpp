#include "galenapulley/fleet.hpp"

#include "galenapulley/back_end.hpp"

namespace galenapulley
{

bool fleet::admits(const back_end& target) const
{
    return withdrawn_zones.count(target.zone) == 0 &&
           withdrawn_machines.count(target.machine) == 0;
}

} // namespace galenapulley
