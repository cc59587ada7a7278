#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace galenapulley::standins
{

/// What another engine says about a prefilled segment.
struct exported_segment
{
    std::int64_t tokens = 0;
    std::set<std::string> links;
};

/// Fetches /kv/export of another engine; blocks for up to 2 s. Empty if the
/// engine does not answer or the segment is not there.
std::optional<exported_segment> fetch_segment(const std::string& address,
                                              const std::string& id);

} // namespace galenapulley::standins
