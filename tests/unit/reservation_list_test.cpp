#include "node/reservation_list.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

// Guards against fields that are lost on the way to the sweeper.
BOOST_AUTO_TEST_CASE(reservations_are_read)
{
    const std::string entries =
        R"([{"id":"n.1.7","tokens":40,"age_ms":3,"deadline_left_ms":9},)"
        R"({"id":"n.1.8"}])";
    for (const auto& it : {entries, R"({"reservations":)" + entries + "}"})
    {
        const auto list = parse_reservations(it);
        BOOST_TEST_REQUIRE(list.has_value());
        BOOST_TEST_REQUIRE(list->size() == 2U);
        BOOST_TEST(list->front().id == "n.1.7");
        BOOST_TEST(list->front().tokens == 40U);
        BOOST_TEST(list->front().age == 3);
        BOOST_TEST(list->front().deadline_left == 9);
        BOOST_TEST(list->back().id == "n.1.8");
    }
}

// Guards against one odd entry that keeps the memory of all others from being
// released.
BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_hides_no_reservation)
{
    for (const std::string odd :
         {"7", "null", "[]", "{}", R"({"id":7})", R"({"id":"a","tokens":"x"})",
          R"({"id":"a","age_ms":[]})"})
    {
        const auto list = parse_reservations("[" + odd + R"(,{"id":"n.1.7"}])");
        BOOST_TEST_CONTEXT(odd)
        {
            BOOST_TEST(list.has_value());
            BOOST_TEST(
                (list && list->size() == 1U && list->front().id == "n.1.7"));
        }
    }
}

// Guards against a response without a list that is taken for an empty one.
BOOST_AUTO_TEST_CASE(a_response_without_a_list_is_no_list)
{
    for (const auto* const it :
         {"", "7", "null", "{}", "[", R"({"reservations":7})",
          R"({"reservations":null})"})
        BOOST_TEST(!parse_reservations(it).has_value(), it);
}
