#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace galenapulley::testing
{

/// Derives malformed inputs from valid ones; reproducible by the seed.
class text_mutator
{
public:
    text_mutator(std::uint64_t seed, std::vector<std::string> bases)
        : random_(seed), bases_(std::move(bases))
    {
    }

    /// Returns one of the base texts with up to four edits, or random bytes.
    std::string next()
    {
        if (below(10) == 0)
            return random_bytes(below(200));
        auto text = bases_[below(bases_.size())];
        for (auto edits = 1 + below(4); edits > 0; --edits)
            edit(text);
        return text;
    }

    std::string random_bytes(std::size_t n)
    {
        std::string text(n, '\0');
        for (auto& it : text)
            it = static_cast<char>(below(256));
        return text;
    }

    std::size_t below(std::size_t n) { return random_() % n; }

private:
    void edit(std::string& text)
    {
        static const std::vector<std::string> fragments{
            "\"",   "{",    "}",          "[",     "]",    ",",
            ":",    "null", "-1",         "1e99",  "true", "\\u00",
            "\xff", "\xc3", "4294967296", "\"a\":"};
        const auto at = below(text.size() + 1);
        switch (below(4))
        {
        case 0:
            text.insert(at, fragments[below(fragments.size())]);
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            text.insert(at, text.substr(below(text.size() + 1), 1 + below(30)));
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(below(256));
            break;
        }
    }

    std::mt19937_64 random_;
    std::vector<std::string> bases_;
};

} // namespace galenapulley::testing
