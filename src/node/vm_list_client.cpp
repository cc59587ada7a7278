#include "node/vm_list_client.hpp"

#include "galenapulley/error_kind.hpp"
#include "node/http_client.hpp"
#include "node/platform_call.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace galenapulley
{

namespace
{

using nlohmann::json;

/// Adds the VM of the entry, if it names one. A VM counts as live unless its
/// state says otherwise.
void add_vm(std::vector<vm_entry>& machines, const json& entry)
{
    if (!entry.is_object())
        return;
    const auto machine = entry.find("machine");
    const auto state = entry.find("state");
    if (machine != entry.end() && machine->is_string())
        machines.push_back({machine->get<std::string>(),
                            state != entry.end() && *state == "leaving"});
}

absl::StatusOr<std::vector<vm_entry>> parse_vm_list(const std::string& url,
                                                    const http_result& result)
{
    if (result.error != transfer_error::none || result.status != 200)
        return platform_failure(url, result);
    try
    {
        const auto list = json::parse(result.body);
        if (!list.is_array())
            return make_error(error_kind::store_unavailable, "no list of VMs");
        std::vector<vm_entry> machines;
        for (const auto& it : list)
            add_vm(machines, it);
        return machines;
    }
    catch (const json::exception& error)
    {
        return make_error(error_kind::store_unavailable, error.what());
    }
}

} // namespace

vm_list_client::vm_list_client(http_client& client, const std::string& address,
                               post_function post)
    : client_(client)
    , url_("http://" + address + "/vms")
    , post_(std::move(post))
{
}

void vm_list_client::list(msec timeout, list_callback done)
{
    client_.start(
        platform_get(url_, timeout),
        [post = post_, done = std::move(done),
         url = url_](const http_result& result) mutable
        {
            post([done = std::move(done), machines = parse_vm_list(url, result)]
                 { done(machines); });
        });
}

} // namespace galenapulley
