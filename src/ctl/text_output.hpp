#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace galenapulley
{

/// Prints rows as left-aligned columns, two spaces apart.
void print_columns(std::ostream& out,
                   const std::vector<std::vector<std::string>>& rows);

/// Prints a JSON response as text: lists of objects as tables with a heading,
/// other members as name and value.
void print_text(std::ostream& out, const nlohmann::ordered_json& response);

} // namespace galenapulley
