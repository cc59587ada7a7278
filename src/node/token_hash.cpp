#include "node/token_hash.hpp"

#include <openssl/sha.h>

#include <array>

namespace galenapulley
{

std::string token_hash(std::string_view token)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
    SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
           buf.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(buf.size() * 2);
    for (const auto it : buf)
    {
        out += digits[it >> 4U];
        out += digits[it & 15U];
    }
    return out;
}

std::string_view bearer_token(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.substr(0, scheme.size()) != scheme)
        return {};
    return authorization.substr(scheme.size());
}

} // namespace galenapulley
