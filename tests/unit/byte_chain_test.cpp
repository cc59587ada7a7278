#include "galenapulley/byte_chain.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace galenapulley;

// Guards against bytes that are lost or reordered at the border of two blocks.
RC_BOOST_PROP(has_the_bytes_that_were_appended,
              (const std::vector<std::uint16_t>& lengths))
{
    byte_chain chain;
    std::string expected;
    char next = 'a';
    for (const auto length : lengths)
    {
        const std::string bytes(length, next);
        next = next == 'z' ? 'a' : static_cast<char>(next + 1);
        chain.append(bytes);
        expected += bytes;
    }
    std::string all;
    for (const auto& it : chain.blocks())
    {
        RC_ASSERT(it.size() <= byte_chain::block_bytes);
        all += it;
    }
    RC_ASSERT(all == expected);
    RC_ASSERT(chain.size() == expected.size());
}
