#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/fleet_load.hpp"
#include "peer.pb.h"

#include <string>

namespace galenapulley
{

/// Converts placed work to and from its announcement. Times in the message are
/// relative to `now`, as the clocks of nodes differ.
void write_entry(const placed_work& from, msec now, wire::work_entry& to);
placed_work read_entry(const wire::work_entry& from, const std::string& node,
                       msec now);

} // namespace galenapulley
