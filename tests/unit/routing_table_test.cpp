#include "galenapulley/routing_table.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace galenapulley;

namespace
{

route make(std::string name, std::string host, std::string prefix)
{
    return {.name = std::move(name),
            .host = std::move(host),
            .prefix = std::move(prefix),
            .services = {{.service = "s"}}};
}

routing_table sample()
{
    return {7,
            {make("root", "a.example", "/"), make("x", "a.example", "/x/"),
             make("xy", "a.example", "/x/y/"), make("b", "b.example", "/x/")},
            {{.name = "s"}},
            {{.name = "club", .keys = {"k1", "k2"}}},
            {}};
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const auto table = sample();
    BOOST_TEST(table.find("a.example", "/x/y/z")->name == "xy");
    BOOST_TEST(table.find("a.example", "/x/yy")->name == "x");
    BOOST_TEST(table.find("a.example", "/q")->name == "root");
    BOOST_TEST(table.find("b.example", "/x/y/z")->name == "b");
    BOOST_TEST(table.find("b.example", "/x") == nullptr);
    BOOST_TEST(table.find("c.example", "/x/") == nullptr);
    BOOST_TEST(table.find("a.example", "") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_key_belongs_to_its_account)
{
    const auto table = sample();
    BOOST_TEST(table.account_of("k2")->name == "club");
    BOOST_TEST(table.account_of("") == nullptr);
    BOOST_TEST(table.account_of("k") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_picked_by_weight)
{
    auto split = make("r", "a.example", "/");
    split.services = {{.service = "s", .weight = 90},
                      {.service = "t", .weight = 10}};
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < 1000; ++n)
        ++counts[routing_table::pick_service(split, n)];
    BOOST_TEST(counts["s"] == 900);
    BOOST_TEST(counts["t"] == 100);
}
