#include "galenapulley/fair_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace galenapulley;

namespace
{

constexpr std::uint32_t quantum = 8000;

struct naive_entry
{
    std::string customer;
    std::uint64_t id = 0;
};

const naive_entry* oldest_of(const std::vector<naive_entry>& list,
                             const std::string& customer)
{
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const naive_entry& e)
                                 { return e.customer == customer; });
    return it == list.end() ? nullptr : &*it;
}

} // namespace

// Guards against entries that are lost, served twice or overtaken by a later
// entry of the same customer when others are removed or served out of turn.
RC_BOOST_PROP(serves_each_entry_once_and_in_order_per_customer,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& ops))
{
    fair_queue queue(quantum);
    std::vector<naive_entry> list;
    std::uint64_t id = 0;
    for (const auto& [op, cost] : ops)
    {
        const std::string customer(1, static_cast<char>('a' + op % 4));
        if (op % 8 < 4)
        {
            queue.push(customer, 1 + op % 3, {.id = ++id, .cost = cost});
            list.push_back({customer, id});
        }
        else if (op % 8 == 4 && !list.empty())
        {
            const auto n = cost % list.size();
            RC_ASSERT(queue.remove(list[n].customer, list[n].id));
            list.erase(list.begin() + static_cast<std::ptrdiff_t>(n));
        }
        else if (op % 8 == 5)
        {
            if (const auto* it = oldest_of(list, customer))
            {
                queue.pop(customer);
                list.erase(list.begin() + (it - list.data()));
            }
        }
        else if (const auto* front = queue.front())
        {
            const auto it = std::find_if(list.begin(), list.end(),
                                         [&](const naive_entry& e)
                                         { return e.id == front->id; });
            RC_ASSERT(it != list.end());
            RC_ASSERT(oldest_of(list, it->customer)->id == front->id);
            queue.pop(it->customer);
            list.erase(it);
        }
        RC_ASSERT(queue.size() == list.size());
        RC_ASSERT((queue.front() == nullptr) == list.empty());
    }
}

// Guards against a customer with many or large prompts that gets more than its
// weighted share while others wait.
RC_BOOST_PROP(backlogged_customers_share_tokens_by_weight,
              (std::uint8_t first, std::uint8_t second))
{
    const std::map<std::string, std::uint32_t> weights{{"a", 1U + first % 4},
                                                       {"b", 1U + second % 4}};
    const std::map<std::string, std::uint32_t> costs{{"a", 8000}, {"b", 900}};
    fair_queue queue(quantum);
    std::map<std::uint64_t, std::string> owner;
    std::map<std::string, std::uint64_t> served;
    std::uint64_t id = 0;
    const auto push = [&](const std::string& name)
    {
        owner[++id] = name;
        queue.push(name, weights.at(name), {.id = id, .cost = costs.at(name)});
    };
    for (int n = 0; n < 40; ++n)
    {
        push("a");
        push("b");
    }
    for (int n = 0; n < 2000; ++n)
    {
        const auto name = owner.at(queue.front()->id);
        queue.pop(name);
        served[name] += costs.at(name);
        push(name);
        const double a = static_cast<double>(served["a"]) / weights.at("a");
        const double b = static_cast<double>(served["b"]) / weights.at("b");
        RC_ASSERT(std::abs(a - b) <= 2.0 * quantum + 8000);
    }
}

// Guards against an expected wait that counts a heavy customer's whole backlog
// against a light one.
BOOST_AUTO_TEST_CASE(backlog_of_others_counts_only_for_their_turns)
{
    fair_queue queue(quantum);
    for (std::uint64_t n = 1; n <= 100; ++n)
        queue.push("heavy", 1, {.id = n, .cost = 1000});
    BOOST_TEST(queue.ahead_of("light", 1) == 1U);
    BOOST_TEST(queue.ahead_of("heavy", 1) == 100U);
}
