#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet_document.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

// Guards against withdrawn zones or machines that are lost when the document is
// written.
BOOST_AUTO_TEST_CASE(round_trip_keeps_zones_and_machines)
{
    const fleet value{.withdrawn_zones = {"ub-east"},
                      .withdrawn_machines = {"vm-1", "vm-2"}};
    const auto parsed = parse_fleet(format_fleet(value));
    BOOST_TEST_REQUIRE(parsed.ok());
    BOOST_TEST(parsed->withdrawn_zones == value.withdrawn_zones);
    BOOST_TEST(parsed->withdrawn_machines == value.withdrawn_machines);
}

// Guards against documents with misspelt fields, which would return a
// withdrawn zone to service.
BOOST_AUTO_TEST_CASE(invalid_documents_are_rejected)
{
    for (const auto* text :
         {"{}", R"({"withdrawn_zones":[]})", "[]", "{",
          R"({"withdrawn_zones":["a","a"],"withdrawn_machines":[]})",
          R"({"withdrawn_zones":[""],"withdrawn_machines":[]})",
          R"({"withdrawn_zones":[1],"withdrawn_machines":[]})",
          R"({"withdrawn_zones":[],"withdrawn_machines":[],"zones":[]})"})
    {
        const auto parsed = parse_fleet(text);
        BOOST_TEST(!parsed.ok(), text);
        BOOST_TEST((kind_of(parsed.status()) == error_kind::invalid_document));
    }
}
