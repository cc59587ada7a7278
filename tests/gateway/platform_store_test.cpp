#include "platform_store.hpp"

#include "gateway/one_gateway.hpp"
#include "node/control_loop.hpp"

#include <future>
#include <map>
#include <random>
#include <thread>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t page_rows = 500;
constexpr msec read_timeout = 2500;
constexpr std::size_t large_row_bytes = 60'000;
/// Seeds of the lists that are drawn.
constexpr unsigned drawn_lists = 50;

using contents = std::map<std::string, std::string>;

/// The client of the store, with a control thread of its own.
class store_reader
{
public:
    explicit store_reader(const std::string& address) : client_(loop_, address)
    {
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~store_reader()
    {
        loop_.stop();
        thread_.join();
    }

    store_reader(const store_reader&) = delete;
    store_reader& operator=(const store_reader&) = delete;

    absl::StatusOr<row_batch> read(cluster_table table)
    {
        std::promise<absl::StatusOr<row_batch>> out;
        client_.read(table, read_timeout,
                     [&out](absl::StatusOr<row_batch> batch)
                     { out.set_value(std::move(batch)); });
        return out.get_future().get();
    }

    absl::StatusOr<std::vector<std::string>> read_nodes()
    {
        std::promise<absl::StatusOr<std::vector<std::string>>> out;
        client_.read_nodes([&out](absl::StatusOr<std::vector<std::string>> all)
                           { out.set_value(std::move(all)); });
        return out.get_future().get();
    }

private:
    boot_time_clock time_;
    control_loop loop_{time_};
    platform::platform_store client_;
    std::thread thread_;
};

/// A store, and what its table of endpoints holds.
struct reads
{
    store_standin store;
    store_reader reader{store.address()};
    contents expected;

    void put(const std::string& key, const std::string& value)
    {
        store.put("servers", key, value);
        expected[key] = value;
    }

    void check()
    {
        const auto batch = reader.read(cluster_table::endpoints);
        BOOST_TEST(batch.ok(), batch.status().message());
        if (!batch.ok())
            return;
        contents found;
        for (const auto& it : batch->rows)
            BOOST_TEST(found.emplace(it.key, it.value).second,
                       "twice: " << it.key);
        BOOST_TEST((found == expected), found.size()
                                            << " rows of " << expected.size());
    }

    /// A list whose first page ends with the row of this name.
    void check_page_end(const std::string& name, std::size_t rows,
                        const std::string& value)
    {
        BOOST_TEST_CONTEXT(name << " ends a page of " << rows << " rows")
        {
            for (std::size_t n = 1; n < rows; ++n)
                put("a-" + std::to_string(n), value);
            put(name, value);
            put("y", value);
            put("z", value);
            check();
            BOOST_TEST(store.has_ended_page("servers", name));
        }
    }
};

/// Names as another writer may choose them, that sort between "a" and "y".
std::vector<std::string> odd_names()
{
    std::vector<std::string> out;
    for (const std::string it :
         {"&", "+", "#", "%", " ", "%41", "?", "=", "/", "\\", "\"", "\n",
          "\x7f", "\xc3\xa9", "\xf4\x8f\xbf\xbf"})
    {
        out.push_back(std::string("b").append(it).append("c").append(it));
        std::string longest = "b";
        while (longest.size() + it.size() <= max_name_bytes)
            longest += it;
        longest.resize(max_name_bytes, 'x');
        out.push_back(longest);
    }
    return out;
}

std::string draw_name(std::mt19937& random)
{
    static const std::string characters = "ab&+#% %=?\x01~";
    const auto size =
        random() % 4 == 0 ? max_name_bytes : 1 + random() % max_name_bytes;
    std::string out;
    while (out.size() < size)
        out += characters[random() % characters.size()];
    return out;
}

} // namespace

// Guards against a list that ends with a page that has fewer rows than were
// asked for.
BOOST_AUTO_TEST_CASE(a_page_that_ends_by_its_bytes_is_not_the_last)
{
    constexpr std::size_t rows = 12;
    for (const auto& it : odd_names())
        reads().check_page_end(it, rows, std::string(large_row_bytes, 'x'));
}

// Guards against a continuation that the store doesn't take for a key, and
// against a row that is lost or read twice between two pages.
BOOST_AUTO_TEST_CASE(any_name_may_end_a_page_of_all_rows)
{
    for (const auto& it : odd_names())
        reads().check_page_end(it, page_rows, "x");
}

// Compares lists of some pages with what was written.
BOOST_AUTO_TEST_CASE(lists_of_any_names_and_sizes_are_read_whole)
{
    for (unsigned seed = 1; seed <= drawn_lists; ++seed)
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            reads list;
            const auto rows = 1 + random() % (3 * page_rows);
            const auto large = random() % 40;
            for (std::size_t n = 0; n < rows; ++n)
                list.put(draw_name(random),
                         std::string(n < large ? large_row_bytes : 1, 'x'));
            list.check();
        }
}

// Guards against a row of another writer that hides all others.
BOOST_AUTO_TEST_CASE(a_value_that_is_no_text_hides_no_other_row)
{
    for (const auto* const text : {"7", "null", "true", "[]", "{}", "\"%\""})
        BOOST_TEST_CONTEXT(text)
        {
            reads list;
            list.put("a", "x");
            list.store.put_raw("servers", "b", text);
            list.expected["b"] = "";
            list.put("c", "y");
            list.check();
        }
}

// Guards against a row of another writer that is taken for a node: messages
// would be sent to it, and a host name would be looked up first.
BOOST_AUTO_TEST_CASE(rows_without_an_address_name_no_node)
{
    store_standin store;
    store_reader reader(store.address());
    const std::string address = "10.0.0.1:7340";
    store.put("nodes", "a", address);
    int row = 0;
    for (const auto* const it :
         {"", "a host:7340", "some.host:7340", "10.0.0.1", "10.0.0.1:0",
          "10.0.0.1:99999", "*:*", "{\"Address\":\"10.0.0.1:7340\"}"})
        store.put("nodes", "b-" + std::to_string(++row), it);
    store.put_raw("nodes", "c", "7");
    const auto nodes = reader.read_nodes();
    BOOST_TEST_REQUIRE(nodes.ok());
    BOOST_TEST(*nodes == std::vector{address},
               boost::test_tools::per_element());
}

// Guards against nodes that are unknown as the table of nodes has more pages.
BOOST_AUTO_TEST_CASE(all_nodes_are_read)
{
    store_standin store;
    store_reader reader(store.address());
    for (std::size_t n = 0; n <= 2 * page_rows; ++n)
        store.put("nodes", "node " + std::to_string(n),
                  "10.0.0.1:" + std::to_string(n + 1));
    const auto nodes = reader.read_nodes();
    BOOST_TEST_REQUIRE(nodes.ok());
    BOOST_TEST(nodes->size() == 2 * page_rows + 1);
}
