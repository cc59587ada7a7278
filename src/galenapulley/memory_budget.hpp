#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace galenapulley
{

/// What is known of a body's size while it arrives.
enum class body_kind
{
    /// A response, whose length an endpoint in trouble may exceed.
    response,
    /// A request's body of a known length, which is reserved at once.
    sized_upload,
    /// A request's body in chunks, which grows step by step.
    chunked_upload,
    /// A message of a known length, which needs no response.
    message
};

/// Divides the memory for bodies among requests and responses. Small bodies may
/// use a reserve that large ones can't touch. May be used from several threads.
///
/// A large response may grow to as much as it leaves free for others, so that
/// responses without end share the memory and never use all of it. Uploads may
/// use a part of the memory, since a request that has run must not fail for
/// lack of memory for its response. Within that part they are served in order:
/// one that has got its memory keeps it, and new ones are refused.
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
    /// How often an upload was refused memory so far.
    std::uint64_t refused_uploads() const { return refused_uploads_; }

private:
    friend class memory_share;

    /// Whether a body of `held` bytes may have `wanted` instead while the other
    /// ones have `others`.
    bool allows(body_kind kind, std::size_t held, std::size_t wanted,
                std::size_t others) const;
    /// What all large bodies may use.
    std::size_t shared() const;
    /// What they may use when an upload begins or grows.
    std::size_t upload_limit(body_kind kind, std::size_t held) const;
    bool resize(body_kind kind, std::size_t held, std::size_t wanted);

    std::size_t limit_;
    std::atomic<std::size_t> used_ = 0;
    std::atomic<std::uint64_t> refused_uploads_ = 0;
};

/// The part of a budget that one body uses; returned at destruction.
class memory_share
{
public:
    memory_share() = default;
    explicit memory_share(memory_budget& budget,
                          body_kind kind = body_kind::response)
        : budget_(&budget), kind_(kind)
    {
    }
    ~memory_share();

    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;

    /// Returns false, and keeps what it has, if the budget doesn't allow it.
    bool resize(std::size_t bytes);
    std::size_t size() const { return held_; }

private:
    void release();

    memory_budget* budget_ = nullptr;
    body_kind kind_ = body_kind::response;
    std::size_t held_ = 0;
};

} // namespace galenapulley
