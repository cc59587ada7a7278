#include "../fakes/sample_documents.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/service_document.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

using namespace galenapulley;
using nlohmann::json;

namespace
{

std::string message_of(const std::string& text)
{
    const auto parsed = parse_service(text);
    if (parsed.ok())
        return "accepted";
    BOOST_TEST((kind_of(parsed.status()) == error_kind::invalid_document));
    return std::string(parsed.status().message());
}

struct error_case
{
    /// JSON pointer, and the value put there (null erases the field).
    const char* pointer;
    json value;
    const char* expected;
};

void check_case(json document, const error_case& it)
{
    const json::json_pointer pointer(it.pointer);
    if (it.value.is_null())
        document[pointer.parent_pointer()].erase(pointer.back());
    else
        document[pointer] = it.value;
    const auto message = message_of(document.dump());
    BOOST_TEST(message.find(it.expected) != std::string::npos,
               it.pointer << ": " << message);
}

} // namespace

// Guards against fields that are read into the wrong member, or lost when the
// document is formatted.
BOOST_AUTO_TEST_CASE(fields_survive_a_round_trip)
{
    const auto parsed = parse_service(sample_service().dump());
    BOOST_TEST_REQUIRE(parsed.ok());
    BOOST_TEST(parsed->back_ends[0].cold_slots == 2U);
    BOOST_TEST(parsed->back_ends[0].checks_fencing);
    BOOST_TEST(parsed->customers[0].weight == 2U);
    BOOST_TEST(parsed->classes[1].deadline == 900'000);
    for (const auto& document : {sample_service(), sample_plain_service()})
    {
        const auto once = parse_service(document.dump());
        BOOST_TEST_REQUIRE(once.ok(), once.status().message());
        const auto again = parse_service(format_service(*once));
        BOOST_TEST_REQUIRE(again.ok(), again.status().message());
        BOOST_TEST(format_service(*again) == format_service(*once));
        // Every field of the document is formatted with its value.
        const auto written = json::parse(format_service(*once)).flatten();
        const auto fields = document.flatten();
        for (const auto& [key, value] : fields.items())
            BOOST_TEST(written.at(key) == value, key);
    }
}

// Guards against a missing validation, and against an error that names another
// field than the invalid one.
BOOST_AUTO_TEST_CASE(each_error_states_path_value_and_allowed_values)
{
    const std::vector<error_case> cases{
        {"/service", "a/b", "service: \"a/b\" is not allowed"},
        {"/team", nullptr, "team: missing"},
        {"/kind", "motel", "kind: \"motel\" is not allowed; allowed: one of"},
        {"/kind", 7, "kind: 7"},
        {"/models", json::array(), "models: a list of 0"},
        {"/placement", "nearest", "placement: \"nearest\""},
        {"/shards_per_zone", 0, "shards_per_zone: 0"},
        {"/max_prompt_tokens", 1.5, "max_prompt_tokens: 1.5"},
        {"/max_prompt_tokens", -1, "allowed: an integer from 1 to 10000000"},
        {"/max_prompt_tokens", 2'000'000, "classes[1].up_to_tokens: 1000000"},
        {"/extra", 1, "extra: 1 is not allowed; allowed: only the fields"},
        {"/customers/1/name", "ub-authority", "customers[1].name: \"ub-"},
        {"/customers/1/token_sha256", std::string(64, 'a'),
         "customers[1].token_sha256"},
        {"/customers/0/token_sha256", std::string(64, 'A'),
         "customers[0].token_sha256"},
        {"/customers/0/weight", "2", "customers[0].weight: \"2\""},
        {"/back_ends/1/name", "e1", "back_ends[1].name: \"e1\""},
        {"/back_ends/1/address", "127.0.0.1:9001", "back_ends[1].address"},
        {"/back_ends/0/address", "localhost:9001", "an IP address and port"},
        {"/back_ends/0/address", "127.0.0.1:0", "back_ends[0].address"},
        {"/back_ends/0/address", "127.0.0.1:65536", "back_ends[0].address"},
        {"/back_ends/0/address", "127.0.0.1:", "back_ends[0].address"},
        {"/back_ends/0/cold_slots", 17, "an integer from 1 to 16"},
        {"/back_ends/0/kv_tokens", nullptr, "back_ends[0].kv_tokens: missing"},
        {"/back_ends/0/checks_fencing", "yes", "allowed: true or false"},
        {"/back_ends/0", 5, "back_ends[0]: 5 is not allowed"},
        {"/classes", json::array(), "classes: 0"},
        {"/classes/1/up_to_tokens", 8000, "more than the class before"},
        {"/classes/1/up_to_tokens", 9000, "at least max_prompt_tokens"},
        {"/classes/1/name", "short", "classes[1].name"},
        {"/classes/0/reserved_percent", 100, "a sum of at most 99"},
        {"/classes/0/deadline_ms", 0, "classes[0].deadline_ms: 0"},
        {"/routes", json::parse(R"([{"method":"GET","path":"/a",
           "idempotent":true}])"),
         "no routes on a model service"}};
    for (const auto& it : cases)
        check_case(sample_service(), it);
    const std::vector<error_case> plain_cases{
        {"/routes/0/idempotent", nullptr, "routes[0].idempotent: missing"},
        {"/routes/1/method", "POST", "routes[1].path"},
        {"/routes/0/path", "a b", "routes[0].path: \"a b\""},
        {"/models", {"m"}, "no models on a plain service"},
        {"/back_ends/0/kv_tokens", 5, "back_ends[0].kv_tokens: 5"}};
    for (const auto& it : plain_cases)
        check_case(sample_plain_service(), it);
}

// Guards against messages that list only the first error, or any number of
// them.
BOOST_AUTO_TEST_CASE(up_to_ten_errors_are_reported_together)
{
    auto document = sample_service();
    document["team"] = "";
    document["placement"] = 1;
    const auto two = message_of(document.dump());
    BOOST_TEST(two.find("team") != std::string::npos);
    BOOST_TEST(two.find("placement") != std::string::npos);
    for (int n = 0; n < 20; ++n)
        document["unknown" + std::to_string(n)] = n;
    const auto many = message_of(document.dump());
    BOOST_TEST(many.find("and 12 more") != std::string::npos, many);
}

// Guards against syntax errors without a position, and against duplicate keys
// and deep nesting, which the JSON library accepts.
BOOST_AUTO_TEST_CASE(malformed_json_is_reported_with_its_position)
{
    BOOST_TEST(message_of("{\n \"service\": }").find("line 2, column 13") !=
               std::string::npos);
    BOOST_TEST(message_of("").find("line 1, column 1") != std::string::npos);
    BOOST_TEST(message_of(R"({"team":"a","team":"b"})").find("duplicate key") !=
               std::string::npos);
    BOOST_TEST(message_of("[]").find("document: a list") != std::string::npos);
    const std::string deep(100'000, '[');
    BOOST_TEST(message_of(deep + std::string(100'000, ']')).find("nested") !=
               std::string::npos);
}

// Guards against default length classes that do not cover the longest prompt.
BOOST_AUTO_TEST_CASE(default_classes_end_at_the_longest_prompt)
{
    for (const std::uint32_t n :
         {1U, 8000U, 8001U, 32'000U, 100'001U, 1'000'000U, 10'000'000U})
    {
        auto document = sample_service();
        document.erase("classes");
        document["max_prompt_tokens"] = n;
        const auto parsed = parse_service(document.dump());
        BOOST_TEST_REQUIRE(parsed.ok(), parsed.status().message());
        BOOST_TEST(parsed->classes.back().up_to_tokens == n);
        BOOST_TEST(parse_service(format_service(*parsed)).ok());
    }
    BOOST_TEST(default_classes(1'000'000)[3].deadline == 900'000);
    BOOST_TEST(default_classes(1'000'000)[0].reserved_percent == 40U);
}

// Guards against crashes on malformed documents, and against accepted documents
// that change when they are formatted and parsed again.
BOOST_AUTO_TEST_CASE(mutated_documents_are_rejected_or_reproduced)
{
    std::mt19937_64 random(20261204);
    const std::vector<std::string> bases{sample_service().dump(),
                                         sample_plain_service().dump()};
    const std::string pieces = "{}[]\",:0123456789eE.-+truefalsn\\ \n\x80\x01";
    std::size_t accepted = 0;
    for (int n = 0; n < 30'000; ++n)
    {
        auto text = bases[random() % bases.size()];
        for (auto edits = 1 + random() % 3; edits > 0; --edits)
        {
            const auto at = random() % text.size();
            const auto kind = random() % 4;
            if (kind == 0)
                text[at] = pieces[random() % pieces.size()];
            else if (kind == 1)
                text.insert(at, 1, pieces[random() % pieces.size()]);
            else if (kind == 2)
                text.erase(at, 1 + random() % 3);
            else
                text.insert(at, text.substr(random() % text.size(), 12));
            if (text.empty())
                text = "{";
        }
        const auto parsed = parse_service(text);
        if (!parsed.ok())
            continue;
        ++accepted;
        const auto written = format_service(*parsed);
        const auto again = parse_service(written);
        BOOST_TEST_REQUIRE(again.ok(), text);
        BOOST_TEST_REQUIRE(format_service(*again) == written, text);
        BOOST_TEST_REQUIRE(json::parse(written)["service"] ==
                           json::parse(text)["service"]);
    }
    BOOST_TEST_MESSAGE("accepted " << accepted << " of 30000");
    BOOST_TEST(accepted > 100U);
}
