#pragma once

#include "ctl/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace galenapulley
{

/// Runs `galenapulley ctl` with the arguments that follow `ctl`.
exit_code run_ctl(const std::vector<std::string>& args, std::ostream& out,
                  std::ostream& err);

} // namespace galenapulley
