// Reads of seeds and of the VM list from the platform.
#include "node/node.hpp"

#include <utility>
#include <vector>

namespace galenapulley
{

namespace
{

constexpr msec read_timeout = 2000_ms;

} // namespace

void node::read_seeds()
{
    // All seeds in the settings may have been replaced by other nodes, so the
    // lease rows serve as seeds as well. They are read only while no peer is
    // known, which spares the store this load in a running fleet.
    if (members_.known_peers() > 0)
        return;
    table_.scan("nodes/", read_timeout,
                [this](const absl::StatusOr<std::vector<table_row>>& rows)
                {
                    if (!rows.ok())
                        return;
                    for (const auto& it : *rows)
                    {
                        const auto record = parse_lease(it.value);
                        if (record && record->peer_address != settings_.peer)
                            members_.add_seed(record->peer_address);
                    }
                });
}

void node::read_vm_list()
{
    // Only shard owners use the list. If all nodes read it, the traffic would
    // grow with the square of the fleet size. A list read before this node
    // claimed a shard may be too old to tell which machines are gone.
    if (claims_.owned().empty())
    {
        vm_list_read_ = false;
        return;
    }
    vms_.list(read_timeout,
              [this](const absl::StatusOr<std::vector<vm_entry>>& list)
              {
                  if (!list.ok())
                      return;
                  vm_list_read_ = true;
                  vm_machines_.clear();
                  std::set<std::string> leaving;
                  for (const auto& it : *list)
                  {
                      vm_machines_.insert(it.machine);
                      if (it.leaving)
                          leaving.insert(it.machine);
                  }
                  if (leaving != leaving_machines_)
                  {
                      leaving_machines_ = std::move(leaving);
                      permits_.on_fleet_changed(leaving_machines_);
                  }
              });
}

} // namespace galenapulley
