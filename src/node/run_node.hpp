#pragma once

#include <string>

namespace galenapulley
{

/// Serves as a node until SIGTERM and returns the process's exit code.
int run_node(const std::string& config_path);

} // namespace galenapulley
