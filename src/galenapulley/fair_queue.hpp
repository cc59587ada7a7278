#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// Deficit round robin over the customers of one length class. Costs are
/// prompt tokens.
class fair_queue
{
public:
    struct entry
    {
        std::uint64_t id = 0;
        std::uint32_t cost = 0;
    };

    /// `quantum` is the credit per round and unit of weight. If it is at least
    /// the largest cost, a selection takes one round.
    explicit fair_queue(std::uint32_t quantum = 8000);

    void push(const std::string& customer, std::uint32_t weight, entry item);
    /// Removes an entry anywhere in the queue. Returns false if it is absent.
    bool remove(const std::string& customer, std::uint64_t id);

    /// The entry whose turn it is; nullptr if the queue is empty.
    const entry* front();
    /// Appends the ids of the oldest entries of up to `max` customers, starting
    /// with the one whose turn it is.
    void heads(std::size_t max, std::vector<std::uint64_t>& out);
    /// Removes the customer's oldest entry and charges its cost.
    void pop(const std::string& customer);

    /// Entries expected to be served before a new one of that customer.
    std::size_t ahead_of(const std::string& customer,
                         std::uint32_t weight) const;
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    struct customer_queue
    {
        std::deque<entry> entries;
        std::uint32_t weight = 1;
        /// Negative if an entry was served before its turn.
        std::int64_t deficit = 0;
    };

    void leave_ring(const std::string& customer);
    /// Adds the round's credit to the customer at the head of the ring.
    void begin_turn();

    std::uint32_t quantum_;
    std::unordered_map<std::string, customer_queue> queues_;
    /// Customers with entries; it is the first one's turn.
    std::deque<std::string> ring_;
    std::size_t size_ = 0;
};

} // namespace galenapulley
