#include "galenapulley/memory_budget.hpp"

#include <utility>

namespace galenapulley
{

namespace
{

/// The reserve for small bodies is one part in this many of the budget.
constexpr std::size_t reserve_divisor = 4;

} // namespace

bool memory_budget::allows(std::size_t held, std::size_t wanted) const
{
    if (wanted <= held)
        return true;
    const auto others = used_ - held;
    if (wanted <= small_body_bytes)
        return others + wanted <= limit_;
    const auto shared = limit_ - limit_ / reserve_divisor;
    return others < shared && wanted <= (shared - others) / 2;
}

memory_share::~memory_share()
{
    release();
}

memory_share::memory_share(memory_share&& other) noexcept
    : budget_(other.budget_), held_(std::exchange(other.held_, 0))
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = other.budget_;
        held_ = std::exchange(other.held_, 0);
    }
    return *this;
}

bool memory_share::resize(std::size_t bytes)
{
    if (budget_ == nullptr || !budget_->allows(held_, bytes))
        return false;
    budget_->used_ += bytes - held_;
    held_ = bytes;
    return true;
}

void memory_share::release()
{
    if (budget_ != nullptr)
        budget_->used_ -= std::exchange(held_, 0);
}

} // namespace galenapulley
