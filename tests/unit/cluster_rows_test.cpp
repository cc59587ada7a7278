#include "galenapulley/cluster_rows.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

cluster_row row(std::string key, std::string value, std::uint64_t version,
                bool deleted = false)
{
    return {.key = std::move(key),
            .value = std::move(value),
            .version = version,
            .deleted = deleted};
}

} // namespace

// Guards against a configuration that reverts to an older version: after the
// store has lost its history, its reads may be seconds old.
BOOST_AUTO_TEST_CASE(an_older_copy_never_replaces_a_newer_one)
{
    cluster_rows rows;
    BOOST_TEST(rows.replace({row("config", "new", 9)}, 10));
    BOOST_TEST(!rows.replace({row("config", "old", 3)}, 8));
    BOOST_TEST(rows.rows().at("config").value == "new");
    BOOST_TEST(rows.version() == 10U);
}

// Guards against responses that arrive out of order.
BOOST_AUTO_TEST_CASE(known_changes_are_skipped)
{
    cluster_rows rows;
    rows.replace({row("a", "2", 9)}, 10);
    BOOST_TEST(rows.apply({row("a", "1", 5), row("b", "3", 12)}, 4, 12));
    BOOST_TEST(rows.rows().at("a").value == "2");
    BOOST_TEST(rows.rows().at("b").value == "3");
    BOOST_TEST(rows.apply({row("a", "", 14, true)}, 12, 14));
    BOOST_TEST(!rows.rows().contains("a"));
}

// Guards against a gap: applying changes that follow a version newer than the
// replica's would omit the changes in between.
BOOST_AUTO_TEST_CASE(changes_after_a_gap_are_rejected)
{
    cluster_rows rows;
    BOOST_TEST(!rows.apply({row("a", "1", 5)}, 4, 5));
    rows.replace({}, 3);
    BOOST_TEST(!rows.apply({row("a", "1", 5)}, 4, 5));
    BOOST_TEST(rows.version() == 3U);
}

// Guards against a deletion that other nodes are not notified of: a read of the
// whole table shows it only by the missing row.
BOOST_AUTO_TEST_CASE(a_row_missing_from_a_read_is_a_change)
{
    cluster_rows rows;
    rows.replace({{.key = "a", .version = 3}, {.key = "b", .version = 4}}, 10);
    BOOST_TEST(rows.last_change() == 4U);
    rows.replace({{.key = "a", .version = 3}, {.key = "b", .version = 4}}, 20);
    BOOST_TEST(rows.last_change() == 4U);
    rows.replace({{.key = "a", .version = 3}}, 30);
    BOOST_TEST(rows.last_change() == 30U);
}
