#include "node/run_node.hpp"

#include <iostream>

namespace galenapulley
{

int run_node(const std::string& /*config_path*/)
{
    std::cerr << "not implemented\n";
    return 1;
}

} // namespace galenapulley
