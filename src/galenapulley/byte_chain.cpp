#include "galenapulley/byte_chain.hpp"

#include <algorithm>

namespace galenapulley
{

void byte_chain::append(std::string_view bytes)
{
    size_ += bytes.size();
    while (!bytes.empty())
    {
        if (blocks_.empty() || blocks_.back().size() == block_bytes)
        {
            const bool is_first = blocks_.empty();
            auto& block = blocks_.emplace_back();
            // Most bodies are far smaller than a block.
            if (!is_first)
                block.reserve(block_bytes);
        }
        auto& last = blocks_.back();
        const auto n = std::min(bytes.size(), block_bytes - last.size());
        last.append(bytes.substr(0, n));
        bytes.remove_prefix(n);
    }
}

} // namespace galenapulley
