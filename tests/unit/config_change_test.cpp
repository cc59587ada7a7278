#include "../fakes/sample_documents.hpp"
#include "galenapulley/config_change.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet_document.hpp"

#include <boost/test/unit_test.hpp>

using namespace galenapulley;

namespace
{

config_document at_version(std::int64_t version, std::string body)
{
    return {.name = "x",
            .version = version,
            .change_id = "c",
            .body = std::move(body)};
}

} // namespace

// Guards against a put that replaces a newer version than the one it was made
// for.
BOOST_AUTO_TEST_CASE(put_service_applies_to_the_expected_version_only)
{
    const auto body = sample_service().dump();
    const put_service change("drafting", body, 2);
    BOOST_TEST(change.validate().ok());
    BOOST_TEST(*change.apply(at_version(2, "old")) == body);
    const auto late = change.apply(at_version(3, "newer"));
    BOOST_TEST((kind_of(late.status()) == error_kind::version_conflict));
    BOOST_TEST(*put_service("drafting", body).apply(at_version(9, "x")) ==
               body);
    const put_service first("drafting", body, 0);
    BOOST_TEST(first.apply(at_version(4, "")).ok());
    BOOST_TEST(!first.apply(at_version(4, "x")).ok());
}

// Guards against a document that is stored under the name of another service,
// which another team may own.
BOOST_AUTO_TEST_CASE(put_service_checks_document_and_name)
{
    const auto body = sample_service().dump();
    BOOST_TEST((kind_of(put_service("other", body).validate()) ==
                error_kind::invalid_document));
    BOOST_TEST((kind_of(put_service("drafting", "{").validate()) ==
                error_kind::invalid_document));
}

// Guards against a team that replaces or removes another team's document by way
// of a node that has not received that document yet.
BOOST_AUTO_TEST_CASE(a_team_changes_its_own_document_only)
{
    const auto body = sample_service().dump();
    const auto current = at_version(2, body);
    const auto team = sample_service()["team"].get<std::string>();
    BOOST_TEST(put_service("drafting", body, 2, team).apply(current).ok());
    BOOST_TEST(remove_service("drafting", 2, team).apply(current).ok());
    BOOST_TEST((kind_of(put_service("drafting", body, 2, "others")
                            .apply(current)
                            .status()) == error_kind::forbidden));
    BOOST_TEST(
        (kind_of(
             remove_service("drafting", 2, "others").apply(current).status()) ==
         error_kind::forbidden));
    BOOST_TEST(put_service("drafting", body, 3, "others")
                   .apply(at_version(3, ""))
                   .ok());
}

// Guards against tombstones for services that do not exist.
BOOST_AUTO_TEST_CASE(remove_service_needs_a_service)
{
    const remove_service change("drafting");
    BOOST_TEST(*change.apply(at_version(1, "body")) == "");
    for (const auto version : {0, 4})
        BOOST_TEST((kind_of(change.apply(at_version(version, "")).status()) ==
                    error_kind::unknown_service));
}

// Guards against a change of one name that affects other names.
BOOST_AUTO_TEST_CASE(fleet_changes_edit_one_name)
{
    config_document current = at_version(0, "");
    const withdraw_zone first("ub-east");
    const withdraw_zone second("ub-west");
    const withdraw_machine machine("vm-1");
    const return_zone back("ub-east");
    for (const config_change* it : std::initializer_list<const config_change*>{
             &first, &second, &machine, &back})
    {
        BOOST_TEST(it->validate().ok());
        BOOST_TEST(it->document_name() == "fleet");
        current = at_version(current.version + 1, *it->apply(current));
    }
    const auto result = *parse_fleet(current.body);
    BOOST_TEST(result.withdrawn_zones == std::set<std::string>{"ub-west"});
    BOOST_TEST(result.withdrawn_machines == std::set<std::string>{"vm-1"});
    BOOST_TEST(!withdraw_zone("").validate().ok());
    BOOST_TEST(!return_machine("a b").validate().ok());
}
