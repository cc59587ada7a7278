#pragma once

#include "galenapulley/memory_budget.hpp"

#include <memory>

namespace galenapulley
{

/// The memory that a request's body has, and the budget that it belongs to,
/// which may outlive the server.
struct accounted_body
{
    std::shared_ptr<memory_budget> budget;
    memory_share share;
};

} // namespace galenapulley
