#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace galenapulley::standins
{

struct kv_reservation
{
    std::int64_t tokens = 0;
    msec created_at = 0;
    msec deadline_at = 0;
    /// Prompt tokens whose KV cache is present.
    std::int64_t prefilled_tokens = 0;
    bool prefilled = false;
    /// Segments linked by import, as "address/id".
    std::set<std::string> links;
};

/// KV memory of one engine in tokens. A reservation is kept until it is
/// released; its deadline is reported but never enforced.
class kv_memory
{
public:
    explicit kv_memory(std::int64_t capacity) : capacity_(capacity) {}

    /// Allocates tokens; false if fewer are free.
    bool book(std::int64_t tokens);
    void free(std::int64_t tokens) { used_ -= tokens; }

    /// Idempotent: a repeated id succeeds and keeps the first reservation.
    bool reserve(const std::string& id, std::int64_t tokens, msec deadline_at,
                 msec now);
    bool release(const std::string& id);
    kv_reservation* find(const std::string& id);

    std::int64_t used() const { return used_; }
    std::int64_t capacity() const { return capacity_; }
    const std::map<std::string, kv_reservation>& reservations() const
    {
        return reservations_;
    }

private:
    std::int64_t capacity_;
    std::int64_t used_ = 0;
    std::map<std::string, kv_reservation> reservations_;
};

} // namespace galenapulley::standins
