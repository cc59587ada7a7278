#include "galenapulley/error_kind.hpp"
#include "node/http_client.hpp"
#include "node/vm_list_client.hpp"

#include "raw_sockets.hpp"

#include <boost/test/unit_test.hpp>

#include <future>
#include <string>
#include <vector>

using namespace galenapulley;

namespace
{

/// The client, with a platform that sends the given responses.
struct fixture
{
    raw::responder platform;
    http_client client;
    vm_list_client list{client, platform.address(),
                        [](const std::function<void()>& fn)
                        {
                            fn();
                        }};

    explicit fixture(const std::vector<std::string>& responses)
        : platform(responses)
    {
    }

    absl::StatusOr<std::vector<vm_entry>> read()
    {
        std::promise<absl::StatusOr<std::vector<vm_entry>>> promise;
        list.list(500, [&promise](const auto& result)
                  { promise.set_value(result); });
        return promise.get_future().get();
    }
};

} // namespace

// Guards against losing the leaving state of a machine, and against a failed
// read that is reported as an empty list.
BOOST_AUTO_TEST_CASE(lists_machines)
{
    fixture platform({raw::response(R"([{"machine":"vm-1","state":"live"},)"
                                    R"({"machine":"vm-2","state":"leaving"}])"),
                      raw::response("{}", "503 Unavailable")});
    const auto machines = platform.read();
    BOOST_TEST_REQUIRE(machines.ok());
    BOOST_TEST(!machines->front().leaving);
    BOOST_TEST(machines->back().machine == "vm-2");
    BOOST_TEST(machines->back().leaving);
    BOOST_TEST(
        (kind_of(platform.read().status()) == error_kind::store_unavailable));
}

// Guards against an odd entry that hides the leaving state of all machines.
BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_hides_no_machine)
{
    for (const std::string odd :
         {"7", "null", "[]", "{}", R"({"machine":7,"state":"leaving"})"})
    {
        fixture platform({raw::response(
            "[" + odd + R"(,{"machine":"vm-2","state":"leaving"}])")});
        const auto machines = platform.read();
        BOOST_TEST_CONTEXT(odd)
        {
            BOOST_TEST(machines.ok());
            BOOST_TEST((machines.ok() && machines->size() == 1U &&
                        machines->front().leaving));
        }
    }
}

// Guards against a live machine that counts as gone as its state is odd.
BOOST_AUTO_TEST_CASE(a_machine_of_unknown_state_is_live)
{
    for (const std::string state : {"7", "null", "\"else\""})
    {
        fixture platform({raw::response(R"([{"machine":"vm-1","state":)" +
                                        state + R"(},{"machine":"vm-2"}])")});
        const auto machines = platform.read();
        BOOST_TEST_REQUIRE(machines.ok(), state);
        BOOST_TEST(machines->size() == 2U);
        BOOST_TEST(!machines->front().leaving);
        BOOST_TEST(!machines->back().leaving);
    }
}

// Guards against a response without entries that is taken for an empty list:
// all machines would count as gone.
BOOST_AUTO_TEST_CASE(a_response_without_a_list_is_an_error)
{
    for (const auto* const it : {"7", "null", "{}", R"({"a":{}})"})
        BOOST_TEST((kind_of(fixture({raw::response(it)}).read().status()) ==
                    error_kind::store_unavailable),
                   it);
}
