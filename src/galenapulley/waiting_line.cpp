#include "galenapulley/waiting_line.hpp"

#include <algorithm>
#include <tuple>

namespace galenapulley
{

void waiting_line::add(waiting_entry entry)
{
    entries_.push_back(entry);
}

void waiting_line::remove(std::uint64_t request)
{
    std::erase_if(entries_, [request](const waiting_entry& it)
                  { return it.request == request; });
}

std::vector<std::uint64_t> waiting_line::order(msec now) const
{
    auto sorted = entries_;
    std::sort(sorted.begin(), sorted.end(),
              [now](const waiting_entry& a, const waiting_entry& b)
              {
                  const auto rank = [now](const waiting_entry& it)
                  {
                      const bool late = now + it.needs > it.due_at;
                      return std::tuple(it.priority, late, it.due_at,
                                        it.request);
                  };
                  return rank(a) < rank(b);
              });
    std::vector<std::uint64_t> out;
    out.reserve(sorted.size());
    for (const auto& it : sorted)
        out.push_back(it.request);
    return out;
}

std::vector<std::uint64_t> waiting_line::hopeless(msec now) const
{
    std::vector<std::uint64_t> out;
    for (const auto& it : entries_)
    {
        const auto limit = static_cast<msec>(
            patience * static_cast<double>(it.give_up_at - it.received_at));
        if (now - it.received_at >= limit || now + it.needs >= it.give_up_at)
            out.push_back(it.request);
    }
    return out;
}

} // namespace galenapulley
