#pragma once

#include "gateway/gateway.hpp"

#include <string>

namespace galenapulley
{

/// Runs a gateway until SIGTERM or SIGINT; returns the exit status.
int run_gateway(const std::string& settings_path, gateway_adapter adapter);

} // namespace galenapulley
