#include "galenapulley/memory_budget.hpp"

#include <utility>

namespace galenapulley
{

namespace
{

/// The reserve for small bodies is one part in this many of the budget.
constexpr std::size_t reserve_divisor = 4;
/// Uploads leave one part in this many of the rest to responses.
constexpr std::size_t response_divisor = 4;
/// Chunked uploads begin while this part of the uploads' memory is free, so
/// that those in progress can grow to their end.
constexpr std::size_t growth_divisor = 2;

} // namespace

std::size_t memory_budget::shared() const
{
    return limit_ - limit_ / reserve_divisor;
}

std::size_t memory_budget::upload_limit(body_kind kind, std::size_t held) const
{
    if (kind == body_kind::message)
        return shared();
    const auto uploads = shared() - shared() / response_divisor;
    const bool begins =
        kind == body_kind::chunked_upload && held <= small_body_bytes;
    return begins ? uploads - uploads / growth_divisor : uploads;
}

bool memory_budget::allows(body_kind kind, std::size_t held, std::size_t wanted,
                           std::size_t others) const
{
    if (wanted <= held)
        return true;
    if (wanted <= small_body_bytes)
        return others + wanted <= limit_;
    if (kind != body_kind::response)
        return others + wanted <= upload_limit(kind, held);
    return others < shared() && wanted <= (shared() - others) / 2;
}

bool memory_budget::resize(body_kind kind, std::size_t held, std::size_t wanted)
{
    auto used = used_.load();
    do
    {
        if (!allows(kind, held, wanted, used - held))
        {
            if (kind != body_kind::response)
                ++refused_uploads_;
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used - held + wanted));
    return true;
}

memory_share::~memory_share()
{
    release();
}

memory_share::memory_share(memory_share&& other) noexcept
    : budget_(other.budget_)
    , kind_(other.kind_)
    , held_(std::exchange(other.held_, 0))
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = other.budget_;
        kind_ = other.kind_;
        held_ = std::exchange(other.held_, 0);
    }
    return *this;
}

bool memory_share::resize(std::size_t bytes)
{
    if (budget_ == nullptr || !budget_->resize(kind_, held_, bytes))
        return false;
    held_ = bytes;
    return true;
}

void memory_share::release()
{
    if (budget_ != nullptr)
        budget_->used_ -= std::exchange(held_, 0);
}

} // namespace galenapulley
