#include "../fakes/sample_documents.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/service.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace galenapulley;

namespace
{

config_document drafting(std::int64_t version, std::uint32_t shards = 1)
{
    auto body = sample_service();
    body["shards_per_zone"] = shards;
    return {.name = "services/drafting",
            .version = version,
            .change_id = "c" + std::to_string(version),
            .body = body.dump()};
}

} // namespace

// Guards against a document that is replaced by an older version, and against
// an old copy that restores a deleted service.
BOOST_AUTO_TEST_CASE(only_a_higher_version_replaces)
{
    config_registry registry;
    std::vector<std::int64_t> changes;
    registry.on_change([&](const config_document& it)
                       { changes.push_back(it.version); });
    BOOST_TEST(*registry.apply(drafting(3, 3)));
    BOOST_TEST(!*registry.apply(drafting(2, 2)));
    BOOST_TEST(!*registry.apply(drafting(3, 4)));
    BOOST_TEST(registry.find_service("drafting")->shards_per_zone == 3U);
    auto tombstone = drafting(4);
    tombstone.body.clear();
    BOOST_TEST(*registry.apply(tombstone));
    BOOST_TEST(registry.find_service("drafting") == nullptr);
    BOOST_TEST(!*registry.apply(drafting(3)));
    BOOST_TEST(registry.services().empty());
    BOOST_TEST((changes == std::vector<std::int64_t>{3, 4}));
}

// Guards against an invalid document that replaces a valid one.
BOOST_AUTO_TEST_CASE(a_document_that_does_not_parse_changes_nothing)
{
    config_registry registry;
    BOOST_TEST(registry.apply(drafting(1)).ok());
    const auto digest = registry.digest();
    auto damaged = drafting(2);
    damaged.body += "}";
    BOOST_TEST(!registry.apply(damaged).ok());
    auto misnamed = drafting(2);
    misnamed.name = "services/other";
    BOOST_TEST(!registry.apply(misnamed).ok());
    BOOST_TEST(
        !registry
             .apply({.name = "x", .version = 1, .change_id = "", .body = "{}"})
             .ok());
    BOOST_TEST(
        !registry
             .apply(
                 {.name = "fleet", .version = 9, .change_id = "", .body = "{}"})
             .ok());
    BOOST_TEST(registry.version_of("services/drafting") == 1);
    BOOST_TEST(registry.digest() == digest);
    BOOST_TEST(registry.current_fleet()->withdrawn_zones.empty());
}

// Guards against registries that diverge, or have equal digests for different
// contents, if documents arrive in another order or more than once.
RC_BOOST_PROP(exchange_of_newer_documents_converges, ())
{
    std::vector<config_registry> registries(3);
    const auto n = *rc::gen::inRange(1, 20);
    std::map<std::string, std::int64_t> highest;
    for (int k = 0; k < n; ++k)
    {
        config_document it;
        it.name = "services/s" + std::to_string(*rc::gen::inRange(0, 3));
        it.version = *rc::gen::inRange(1, 10);
        // In the store, a version of a row has exactly one body.
        if (it.version % 3 != 0)
            it.body = sample_service(it.name.substr(9)).dump();
        highest[it.name] = std::max(highest[it.name], it.version);
        const auto target = *rc::gen::inRange<std::size_t>(0, 3);
        RC_ASSERT(registries[target].apply(it).ok());
    }
    for (int round = 0; round < 2; ++round)
        for (auto& from : registries)
            for (auto& to : registries)
                for (const auto& it : from.newer_than(to.versions()))
                    RC_ASSERT(*to.apply(it));
    for (const auto& it : registries)
    {
        RC_ASSERT(it.digest() == registries[0].digest());
        for (const auto& [name, version] : highest)
        {
            RC_ASSERT(it.version_of(name) == version);
            RC_ASSERT((it.find_service(name.substr(9)) != nullptr) ==
                      (version % 3 != 0));
        }
    }
}
