#pragma once

#include <cstddef>

namespace galenapulley
{

/// Divides the memory for bodies among requests and responses. A large body may
/// grow to as much as it leaves free for others, so that bodies that grow
/// without end share the memory and never use all of it. Small ones may also
/// use a reserve.
class memory_budget
{
public:
    /// Bodies up to this size may use the reserve.
    static constexpr std::size_t small_body_bytes = std::size_t{16} * 1024;

    explicit memory_budget(std::size_t limit) : limit_(limit) {}

    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Bytes of all bodies.
    std::size_t used() const { return used_; }

private:
    friend class memory_share;

    /// Whether a body of `held` bytes may have `wanted` instead.
    bool allows(std::size_t held, std::size_t wanted) const;

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// The part of a budget that one body uses; returned at destruction.
class memory_share
{
public:
    memory_share() = default;
    explicit memory_share(memory_budget& budget) : budget_(&budget) {}
    ~memory_share();

    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;

    /// Returns false, and keeps what it has, if the budget doesn't allow it.
    bool resize(std::size_t bytes);
    std::size_t size() const { return held_; }

private:
    void release();

    memory_budget* budget_ = nullptr;
    std::size_t held_ = 0;
};

} // namespace galenapulley
