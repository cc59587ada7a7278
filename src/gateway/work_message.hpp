#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint_announcements.hpp"
#include "galenapulley/endpoints/endpoint_estimates.hpp"
#include "galenapulley/fleet_load.hpp"
#include "galenapulley/prefixes/prefix_index.hpp"
#include "peer.pb.h"

#include <string>

namespace galenapulley
{

/// Converts placed work to and from its announcement. Times in the message are
/// relative to `now`, as the clocks of nodes differ.
void write_entry(const placed_work& from, msec now, wire::work_entry& to);
void write_rate_limit(const rate_limit_report& from, msec now,
                      wire::rate_limit_entry& to);
rate_limit_report read_rate_limit(const wire::rate_limit_entry& from, msec now);
void write_pause(const pause_report& from, msec now, wire::pause_entry& to);
pause_report read_pause(const wire::pause_entry& from, msec now);
void write_estimate(const endpoint_estimate& from, msec now,
                    wire::endpoint_estimate_entry& to);
endpoint_estimate read_estimate(const wire::endpoint_estimate_entry& from,
                                msec now);
/// Reads and writes the tokens that the prefix adds to the next shorter one.
void write_prefix(const held_prefix& from, msec now,
                  wire::held_prefix_entry& to);
held_prefix read_prefix(const wire::held_prefix_entry& from, msec now);
placed_work read_entry(const wire::work_entry& from, const std::string& node,
                       msec now);

} // namespace galenapulley
