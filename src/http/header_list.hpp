#pragma once

#include <string>
#include <utility>
#include <vector>

namespace galenapulley
{

/// Header lines in the order and spelling in which they arrived.
using header_list = std::vector<std::pair<std::string, std::string>>;

} // namespace galenapulley
