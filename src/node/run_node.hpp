#pragma once

#include <string>

namespace galenapulley
{

/// Runs a node until SIGTERM or SIGINT and returns the process's exit code.
int run_node(const std::string& config_path);

} // namespace galenapulley
