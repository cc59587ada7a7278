#include "standins/kv_memory.hpp"

namespace galenapulley::standins
{

bool kv_memory::book(std::int64_t tokens)
{
    if (used_ + tokens > capacity_)
        return false;
    used_ += tokens;
    return true;
}

bool kv_memory::reserve(const std::string& id, std::int64_t tokens,
                        msec deadline_at, msec now)
{
    if (reservations_.count(id) != 0)
        return true;
    if (!book(tokens))
        return false;
    kv_reservation reservation;
    reservation.tokens = tokens;
    reservation.created_at = now;
    reservation.deadline_at = deadline_at;
    reservations_.emplace(id, reservation);
    return true;
}

bool kv_memory::release(const std::string& id)
{
    const auto it = reservations_.find(id);
    if (it == reservations_.end())
        return false;
    free(it->second.tokens);
    reservations_.erase(it);
    return true;
}

kv_reservation* kv_memory::find(const std::string& id)
{
    const auto it = reservations_.find(id);
    return it == reservations_.end() ? nullptr : &it->second;
}

} // namespace galenapulley::standins
