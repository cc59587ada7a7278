// What the node reads from the platform beside documents and leases.
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
    // The settings' seeds may all have been replaced. Reading the rows only
    // while nobody is known keeps this off the store in a running fleet.
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
    // Only owners act on the list. Read by all nodes it grows with the square
    // of the fleet. An old list may not tell who is gone after a new claim.
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
