#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/prompt_quarantine.hpp"
#include "peer.pb.h"

namespace galenapulley
{

/// Converts reports of crashes to and from their message. Times in the message
/// are relative to `now`, as the clocks of nodes differ.
wire::prompt_reports write_reports(const prompt_reports& from, msec now);
prompt_reports read_reports(const wire::prompt_reports& from, msec now);

} // namespace galenapulley
