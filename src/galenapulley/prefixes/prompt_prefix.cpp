#include "galenapulley/prefixes/prompt_prefix.hpp"

#include <xxhash.h>

namespace galenapulley
{

std::vector<prompt_prefix> prefixes_of(std::span<const prompt_part> parts)
{
    std::vector<prompt_prefix> out;
    prompt_prefix next;
    for (const auto& it : parts)
    {
        if (it.tokens == 0)
            break;
        next.hash = XXH64(&it.id, sizeof(it.id), next.hash);
        next.added_tokens = it.tokens;
        next.tokens += next.added_tokens;
        out.push_back(next);
    }
    return out;
}

} // namespace galenapulley
