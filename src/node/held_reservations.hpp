#pragma once

#include <set>
#include <string>

namespace galenapulley
{

/// Ids of the KV reservations that requests of this node hold. An id is added
/// before the first reserve call and removed after the release was sent.
class held_reservations
{
public:
    void add(const std::string& id) { ids_.insert(id); }
    void remove(const std::string& id) { ids_.erase(id); }
    bool contains(const std::string& id) const { return ids_.count(id) != 0; }
    std::size_t size() const { return ids_.size(); }

private:
    std::set<std::string> ids_;
};

} // namespace galenapulley
