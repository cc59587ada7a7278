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

/// A version of the first era.
store_version at(std::uint64_t number)
{
    return {.number = number};
}

} // namespace

// Guards against a configuration that reverts to an older version: after the
// store has lost its history, its reads may be seconds old.
BOOST_AUTO_TEST_CASE(an_older_copy_never_replaces_a_newer_one)
{
    cluster_rows rows;
    BOOST_TEST(rows.replace({row("config", "new", 9)}, at(10)));
    BOOST_TEST(!rows.replace({row("config", "old", 3)}, at(8)));
    BOOST_TEST(rows.rows().at("config").value == "new");
    BOOST_TEST((rows.version() == at(10)));
}

// Guards against responses that arrive out of order.
BOOST_AUTO_TEST_CASE(known_changes_are_skipped)
{
    cluster_rows rows;
    rows.replace({row("a", "2", 9)}, at(10));
    BOOST_TEST(rows.apply({row("a", "1", 5), row("b", "3", 12)}, 4, at(12)));
    BOOST_TEST(rows.rows().at("a").value == "2");
    BOOST_TEST(rows.rows().at("b").value == "3");
    BOOST_TEST(rows.apply({row("a", "", 14, true)}, 12, at(14)));
    BOOST_TEST(!rows.rows().contains("a"));
}

// Guards against a gap: applying changes that follow a version newer than the
// replica's would omit the changes in between.
BOOST_AUTO_TEST_CASE(changes_after_a_gap_are_rejected)
{
    cluster_rows rows;
    BOOST_TEST(!rows.apply({row("a", "1", 5)}, 4, at(5)));
    rows.replace({}, at(3));
    BOOST_TEST(!rows.apply({row("a", "1", 5)}, 4, at(5)));
    BOOST_TEST((rows.version() == at(3)));
}

// Guards against a deletion that other nodes are not notified of: a read of the
// whole table shows it only by the missing row.
BOOST_AUTO_TEST_CASE(a_row_missing_from_a_read_is_a_change)
{
    cluster_rows rows;
    rows.replace({{.key = "a", .version = 3}, {.key = "b", .version = 4}},
                 at(10));
    BOOST_TEST((rows.last_change() == at(4)));
    rows.replace({{.key = "a", .version = 3}, {.key = "b", .version = 4}},
                 at(20));
    BOOST_TEST((rows.last_change() == at(4)));
    rows.replace({{.key = "a", .version = 3}}, at(30));
    BOOST_TEST((rows.last_change() == at(30)));
}

// Guards against changes that are refused after the store was restored from a
// backup, since its versions are lower than before.
BOOST_AUTO_TEST_CASE(a_lower_version_of_a_new_era_replaces_the_replica)
{
    cluster_rows rows;
    rows.replace({row("config", "lost", 46), row("a", "1", 3)}, at(46));
    const store_version restored{.era = 1, .number = 43};
    BOOST_TEST(rows.replace({row("config", "new", 43)}, restored));
    BOOST_TEST(rows.rows().at("config").value == "new");
    BOOST_TEST((rows.version() == restored));
    BOOST_TEST((rows.last_change() == restored));
    // Late responses of the former era.
    BOOST_TEST(!rows.replace({row("config", "lost", 46)}, at(47)));
    BOOST_TEST(!rows.apply({row("config", "lost", 48)}, 43, at(48)));
    rows.record_change(at(50));
    BOOST_TEST((rows.last_change() == restored));
}

// Guards against changes of a new era that are applied to rows of the former
// one: the versions in between would be missing.
BOOST_AUTO_TEST_CASE(changes_of_a_new_era_need_a_read_first)
{
    cluster_rows rows;
    rows.replace({row("a", "1", 3)}, at(46));
    BOOST_TEST(!rows.apply({row("a", "2", 47)}, 46, {.era = 1, .number = 47}));
    BOOST_TEST(rows.rows().at("a").value == "1");
    BOOST_TEST((rows.version() == at(46)));
}
