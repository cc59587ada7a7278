#include "gateway/one_gateway.hpp"

#include <nlohmann/json.hpp>

#include <string>

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

constexpr int requests = 20;
/// Time in which a change of the list of endpoints is applied.
constexpr msec apply_limit = 3000;
/// Levels of an entry that is nested as deeply as a row of the store allows.
constexpr std::size_t nested_levels = 32'000;

/// An endpoint that is listed only by entries which can't be right.
struct odd_entries : one_gateway
{
    endpoint_standin decoy{
        store, "i-decoy", "svc", "east", {.is_listed = false}};

    /// Adds an entry that is valid but for one field, given as JSON text.
    void put_entry(const std::string& id, const std::string& field,
                   const std::string& text)
    {
        const nlohmann::json entry{
            {"Service", "svc"}, {"Address", decoy.address()},
            {"Zone", "east"},   {"Slots", 4},
            {"State", "ready"}, {"ColdRemainingMs", 0},
            {"Sequence", 1},    {"born", 7}};
        auto valid = entry;
        valid.erase(field);
        auto out = valid.dump();
        out.pop_back();
        store.put("servers", id, out + ",\"" + field + "\":" + text + "}");
    }

    int served(int from)
    {
        int out = 0;
        for (int n = 0; n < requests; ++n)
            out += gateway->call(sample_request("GET", "/i/x",
                                                "t" + std::to_string(from + n)))
                               .status == 200
                       ? 1
                       : 0;
        return out;
    }
};

} // namespace

// Guards against one odd entry of another writer that ends the gateways or
// keeps them from following the list of endpoints.
BOOST_FIXTURE_TEST_CASE(the_list_is_followed_beside_a_deeply_nested_entry,
                        odd_entries)
{
    store.put("servers", "a-odd-array",
              std::string(nested_levels, '[') +
                  std::string(nested_levels, ']'));
    std::string objects;
    for (std::size_t n = 0; n < nested_levels / 4; ++n)
        objects += "{\"a\":";
    store.put("servers", "a-odd-objects",
              objects + "1" + std::string(nested_levels / 4, '}'));
    store.put("servers", "a-odd-open", std::string(nested_levels, '['));
    put_entry("a-odd-field", "State",
              std::string(nested_levels, '[') +
                  std::string(nested_levels, ']'));
    BOOST_TEST(served(0) == requests);
    east.remove_entry();
    west.remove_entry();
    decoy.register_entry();
    BOOST_TEST(eventually(
        [&] { return served(requests) == requests && decoy.runs() > 0; },
        apply_limit));
}

// Guards against an entry whose numbers or address can't be right, and that is
// used as far as it can be read.
BOOST_FIXTURE_TEST_CASE(an_entry_with_a_value_out_of_range_names_no_endpoint,
                        odd_entries)
{
    const auto ip = decoy.address().substr(0, decoy.address().find(':'));
    put_entry("a-odd-slots-1", "Slots", "1e300");
    put_entry("a-odd-slots-2", "Slots", "99999999999999999999999");
    put_entry("a-odd-slots-3", "Slots", "-1");
    put_entry("a-odd-slots-4", "Slots", "4294967300");
    put_entry("a-odd-slots-5", "Slots", "1e999");
    put_entry("a-odd-slots-6", "Slots", "0");
    put_entry("a-odd-cold-1", "ColdRemainingMs", "1e300");
    put_entry("a-odd-cold-2", "ColdRemainingMs", "9223372036854775807");
    put_entry("a-odd-cold-3", "ColdRemainingMs", "-9223372036854775808");
    put_entry("a-odd-born-1", "born", "1e300");
    put_entry("a-odd-born-2", "born", "1.5");
    put_entry("a-odd-port-1", "Address", "\"" + ip + ":99999\"");
    put_entry("a-odd-port-2", "Address", "\"" + ip + ":0\"");
    put_entry("a-odd-port-3", "Address", "\"" + ip + ":-1\"");
    put_entry("a-odd-address", "Address", "\"no.address\"");
    put_entry("a-odd-id\r\nX-Injected: 1", "Slots", "4");
    const boot_time_clock time;
    for (const auto end = time.now() + apply_limit; time.now() < end;)
        BOOST_TEST(served(0) == requests);
    BOOST_TEST(decoy.received().size() == 0U);
    BOOST_TEST(gateway->log().find("\"endpoint\":\"a-odd-") ==
               std::string::npos);
}
