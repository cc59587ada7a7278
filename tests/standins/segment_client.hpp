#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace galenapulley::standins
{

/// Prefilled segment as another engine reports it.
struct exported_segment
{
    std::int64_t tokens = 0;
    std::set<std::string> links;
};

/// Fetches /kv/export of another engine; blocks for up to 2 s. Empty if the
/// request fails or the engine has no such prefilled segment.
std::optional<exported_segment> fetch_segment(const std::string& address,
                                              const std::string& id);

} // namespace galenapulley::standins
