#include "galenapulley/fair_queue.hpp"

#include <algorithm>

namespace galenapulley
{

fair_queue::fair_queue(std::uint32_t quantum)
    : quantum_(std::max<std::uint32_t>(1, quantum))
{
}

void fair_queue::push(const std::string& customer, std::uint32_t weight,
                      entry item)
{
    auto& it = queues_[customer];
    it.weight = std::max<std::uint32_t>(1, weight);
    it.entries.push_back(item);
    ++size_;
    if (it.entries.size() > 1)
        return;
    ring_.push_back(customer);
    if (ring_.size() == 1)
        begin_turn();
}

bool fair_queue::remove(const std::string& customer, std::uint64_t id)
{
    const auto found = queues_.find(customer);
    if (found == queues_.end())
        return false;
    auto& entries = found->second.entries;
    const auto it = std::find_if(entries.begin(), entries.end(),
                                 [&](const entry& e) { return e.id == id; });
    if (it == entries.end())
        return false;
    entries.erase(it);
    --size_;
    if (entries.empty())
        leave_ring(customer);
    return true;
}

const fair_queue::entry* fair_queue::front()
{
    if (ring_.empty())
        return nullptr;
    if (ring_.size() == 1)
    {
        // A lone customer is served at once, whatever its deficit.
        auto& only = queues_[ring_.front()];
        const auto cost = std::int64_t{only.entries.front().cost};
        only.deficit = std::max(only.deficit, cost);
    }
    for (;;)
    {
        auto& it = queues_[ring_.front()];
        if (it.deficit >= it.entries.front().cost)
            return &it.entries.front();
        ring_.push_back(std::move(ring_.front()));
        ring_.pop_front();
        begin_turn();
    }
}

void fair_queue::heads(std::size_t max, std::vector<std::uint64_t>& out)
{
    if (front() == nullptr)
        return;
    const auto n = std::min(max, ring_.size());
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(queues_[ring_[i]].entries.front().id);
}

void fair_queue::pop(const std::string& customer)
{
    const auto it = queues_.find(customer);
    if (it == queues_.end() || it->second.entries.empty())
        return;
    it->second.deficit -= it->second.entries.front().cost;
    it->second.entries.pop_front();
    --size_;
    if (it->second.entries.empty())
        leave_ring(customer);
}

std::size_t fair_queue::ahead_of(const std::string& customer,
                                 std::uint32_t weight) const
{
    const auto own = queues_.find(customer);
    const auto own_size = own == queues_.end() ? 0 : own->second.entries.size();
    const double rounds =
        static_cast<double>(own_size + 1) / std::max<std::uint32_t>(1, weight);
    double ahead = static_cast<double>(own_size);
    for (const auto& [name, it] : queues_)
    {
        if (name != customer)
            ahead += std::min(static_cast<double>(it.entries.size()),
                              rounds * it.weight);
    }
    return static_cast<std::size_t>(ahead);
}

void fair_queue::leave_ring(const std::string& customer)
{
    const bool had_turn = ring_.front() == customer;
    ring_.erase(std::find(ring_.begin(), ring_.end(), customer));
    queues_.erase(customer);
    if (had_turn && !ring_.empty())
        begin_turn();
}

void fair_queue::begin_turn()
{
    auto& it = queues_[ring_.front()];
    it.deficit += std::int64_t{quantum_} * it.weight;
}

} // namespace galenapulley
