#include "galenapulley/directory_sampler.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace galenapulley;

namespace
{

std::vector<listed_node> nodes(std::size_t n, std::uint32_t capacity,
                               const std::string& prefix)
{
    std::vector<listed_node> out;
    for (std::size_t k = 0; k < n; ++k)
        out.push_back({.node = prefix + std::to_string(k),
                       .zone = "z",
                       .address = prefix + std::to_string(k) + ":80",
                       .capacity = capacity});
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(equal_nodes_are_all_listed)
{
    directory_sampler sampler(1);
    BOOST_TEST(sampler.choose(nodes(18, 170, "n")).size() == 18U);
    BOOST_TEST(sampler.choose(nodes(300, 170, "n")).size() ==
               directory_sampler::max_listed);
    BOOST_TEST(sampler.choose({}).empty());
}

// Guards against weak nodes that receive as many requests as strong ones.
BOOST_AUTO_TEST_CASE(strong_nodes_are_listed_more_often)
{
    directory_sampler sampler(1);
    auto all = nodes(10, 500, "s");
    for (const auto& it : nodes(10, 100, "w"))
        all.push_back(it);
    std::map<char, int> listed;
    for (int n = 0; n < 1000; ++n)
    {
        const auto chosen = sampler.choose(all);
        std::set<std::string> names;
        for (const auto& it : chosen)
        {
            ++listed[it.node.front()];
            names.insert(it.node);
        }
        BOOST_TEST_REQUIRE(names.size() == chosen.size());
        BOOST_TEST_REQUIRE(chosen.size() >= directory_sampler::min_listed);
    }
    BOOST_TEST(listed['s'] > 3 * listed['w']);
    BOOST_TEST(listed['w'] > 0);
}
