#include "galenapulley/error_kind.hpp"
#include "node/http_client.hpp"
#include "node/vm_list_client.hpp"

#include "raw_sockets.hpp"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace galenapulley;

// Guards against losing the leaving state of a machine, and against a failed
// read that is reported as an empty list.
BOOST_AUTO_TEST_CASE(lists_machines)
{
    const raw::responder platform(
        {raw::response(R"([{"machine":"vm-1","state":"live"},)"
                       R"({"machine":"vm-2","state":"leaving"}])"),
         raw::response("{}", "503 Unavailable")});
    http_client client;
    vm_list_client list(client, platform.address(),
                        [](const std::function<void()>& fn) { fn(); });
    const auto read = [&]
    {
        std::promise<absl::StatusOr<std::vector<vm_entry>>> promise;
        list.list(500, [&promise](const auto& result)
                  { promise.set_value(result); });
        return promise.get_future().get();
    };
    const auto machines = read();
    BOOST_TEST_REQUIRE(machines.ok());
    BOOST_TEST(!machines->front().leaving);
    BOOST_TEST(machines->back().machine == "vm-2");
    BOOST_TEST(machines->back().leaving);
    BOOST_TEST((kind_of(read().status()) == error_kind::store_unavailable));
}
