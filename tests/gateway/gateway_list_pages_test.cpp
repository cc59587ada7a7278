#include "gateway/one_gateway.hpp"

#include <csignal>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr int requests = 10;
/// Time in which a gateway that has started serves requests.
constexpr msec recovery_limit = 5000;
/// Characters that have a meaning in a URL, and what looks like an escape.
const std::string odd_name = "b &+#%?=/;%41";
constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t page_rows = 500;
/// Rows of this size of which twelve fit into a page.
constexpr std::size_t large_row_bytes = 60'000;
constexpr std::size_t large_page_rows = 12;

std::string longest(std::string name)
{
    name.resize(max_name_bytes, 'x');
    return name;
}

/// A list of endpoints that is longer than a page, in which entries of another
/// writer stand before those of the endpoints.
struct list_of_pages : one_gateway
{
    gateway_process other{"n2", "west", store.address(), {gateway->peer()}};

    list_of_pages() { BOOST_TEST_REQUIRE(other.wait_until_ready()); }

    /// Adds entries that name no endpoint, the last of them under `name`.
    void put_entries(std::size_t count, const std::string& name,
                     const std::string& value)
    {
        for (std::size_t n = 1; n < count; ++n)
            store.put("servers", "a-" + std::to_string(n), value);
        store.put("servers", name, value);
    }

    /// The page ends as no further row would fit into it.
    void end_page_by_bytes(const std::string& name)
    {
        const std::string value(large_row_bytes, 'x');
        put_entries(large_page_rows, name, value);
        store.put("servers", "c", value);
    }

    void end_page_by_rows(const std::string& name)
    {
        put_entries(page_rows, name, "x");
    }

    void restart_all()
    {
        for (auto* const it : {gateway.get(), &other})
            it->process().signal(SIGKILL);
        for (auto* const it : {gateway.get(), &other})
            it->process().start();
        for (auto* const it : {gateway.get(), &other})
            BOOST_TEST_REQUIRE(it->wait_until_ready());
    }

    /// Whether both gateways serve all requests.
    void check_service()
    {
        for (const auto* const it : {gateway.get(), &other})
        {
            BOOST_TEST_REQUIRE(eventually(
                [&] { return status_of(*it, "/i/x") == 200; }, recovery_limit));
            for (int n = 0; n < requests; ++n)
                BOOST_TEST(status_of(*it, "/i/x") == 200);
        }
    }

    /// Restarts all gateways and later lets the store drop its history, so
    /// that the list is read whole both times.
    void check_whole_reads(const std::string& page_end)
    {
        check_service();
        restart_all();
        BOOST_TEST(store.has_ended_page("servers", page_end));
        check_service();
        store.drop_history();
        east.remove_entry();
        BOOST_TEST(eventually([this] { return avoids(*gateway, east); }));
        BOOST_TEST(eventually([this] { return avoids(other, east); }));
    }
};

} // namespace

// Guards against a page that is taken for the last one as it has fewer rows
// than were asked for: the endpoints behind it are then unknown.
BOOST_FIXTURE_TEST_CASE(the_list_goes_on_behind_a_page_that_ends_by_its_bytes,
                        list_of_pages)
{
    end_page_by_bytes(odd_name);
    check_whole_reads(odd_name);
}

// Guards against a continuation that the store doesn't take for a key: the
// list can't be read as long as the entry stands.
BOOST_FIXTURE_TEST_CASE(the_list_goes_on_behind_an_entry_with_the_longest_name,
                        list_of_pages)
{
    end_page_by_rows(longest(odd_name));
    check_whole_reads(longest(odd_name));
}

// The same with a name that is short enough to be continued.
BOOST_FIXTURE_TEST_CASE(the_list_goes_on_behind_an_entry_with_an_odd_name,
                        list_of_pages)
{
    end_page_by_rows(odd_name);
    check_whole_reads(odd_name);
}

// Guards against names that don't pass from node to node.
BOOST_FIXTURE_TEST_CASE(a_node_without_the_store_gets_a_list_with_odd_names,
                        list_of_pages)
{
    end_page_by_rows(longest(odd_name));
    store.put("servers", "b\xc3\xa9\n", "x");
    store_standin dead;
    dead.set_mode(store_mode::refusing);
    const gateway_process third("n3", "east", dead.address(), {other.peer()});
    BOOST_TEST(
        eventually([&] { return status_of(third, "/i/x") == 200; }, 10'000));
}
