// Prompts, response texts and counters that tests compare.
#include "support/child_process.hpp"
#include "support/process_fleet.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <stdexcept>
#include <string>

namespace galenapulley::testing
{

using nlohmann::json;

std::string make_prompt(std::size_t tokens, std::uint64_t seed)
{
    constexpr std::size_t bytes_per_token = 5;
    // Prompts differ from the beginning, so that they share no cached prefix.
    auto text = "prompt " + std::to_string(seed) + " ";
    text.resize(tokens * bytes_per_token, 'x');
    return text;
}

std::string expected_text(const std::string& prompt, std::uint32_t max_tokens)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(prompt.data()), prompt.size(),
           digest.data());
    constexpr const char* digits = "0123456789abcdef";
    std::string hash;
    for (std::size_t n = 0; n < 8; ++n)
    {
        hash += digits[digest[n] >> 4U];
        hash += digits[digest[n] & 15U];
    }
    std::string text;
    for (std::uint32_t n = 0; n < max_tokens; ++n)
        text += "t" + hash + "-" + std::to_string(n) + " ";
    return text;
}

std::string completion_text(const http_result& result)
{
    const auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("choices"))
        return {};
    return body["choices"][0].value("text", std::string());
}

std::string streamed_text(const http_result& result, bool& complete)
{
    complete = false;
    std::string text;
    std::size_t begin = 0;
    while (begin < result.body.size())
    {
        const auto end =
            std::min(result.body.find('\n', begin), result.body.size());
        const auto line = result.body.substr(begin, end - begin);
        begin = end + 1;
        if (line.compare(0, 6, "data: ") != 0)
            continue;
        if (line == "data: [DONE]")
        {
            complete = true;
            continue;
        }
        const auto event = json::parse(line.substr(6), nullptr, false);
        if (event.is_object() && event.contains("choices"))
            text += event["choices"][0].value("text", std::string());
    }
    return text;
}

std::string error_field(const http_result& result, const std::string& field)
{
    const auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("error"))
        return {};
    return body["error"].value(field, std::string());
}

void process_fleet::wait_serving()
{
    constexpr msec serving_timeout = 15'000_ms;
    const std::map<std::string, std::string> headers{
        {"Authorization", std::string("Bearer ") + customer_token}};
    const auto serves = [&](std::size_t n)
    {
        return (engines_.empty() ||
                complete(n, make_prompt(100, n), 1).status == 200) &&
               (plains_.empty() ||
                call("GET", node_address(n), "/services/records/call/counts",
                     {}, headers)
                        .status == 200);
    };
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (!wait_until([&] { return serves(n); }, serving_timeout))
            throw std::runtime_error(node_address(n) +
                                     " does not serve requests");
}

std::size_t process_fleet::runs_of(const std::string& key)
{
    std::size_t runs = 0;
    for (std::size_t n = 0; n < plains_.size(); ++n)
    {
        std::ifstream file(directory_ + "/plain" + std::to_string(n) +
                           ".journal");
        for (std::string line; std::getline(file, line);)
        {
            const auto entry = json::parse(line, nullptr, false);
            runs += entry.is_object() && entry.value("key", "") == key ? 1 : 0;
        }
    }
    return runs;
}

std::int64_t process_fleet::engine_total(const std::string& counter)
{
    std::int64_t total = 0;
    for (const auto& it : engines_)
    {
        const auto now = stats(it->address());
        if (now.is_object())
            total += now.value(counter, std::int64_t{0});
    }
    return total;
}

} // namespace galenapulley::testing
