#pragma once

#include "galenapulley/reservation_sweeper.hpp"

#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// Reads an engine's list of reservations, given as a bare array or as an
/// object that has the array in its field `reservations`. Entries that can't be
/// read are left out. Returns nothing if there is no list.
std::optional<std::vector<reservation>>
parse_reservations(const std::string& text);

} // namespace galenapulley
