#include "standins/segment_client.hpp"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace galenapulley::standins
{

namespace
{

constexpr long fetch_timeout_ms = 2000;

std::size_t append(const char* data, std::size_t size, std::size_t count,
                   void* out)
{
    static_cast<std::string*>(out)->append(data, size * count);
    return size * count;
}

} // namespace

std::optional<exported_segment> fetch_segment(const std::string& address,
                                              const std::string& id)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(
        curl_easy_init(), curl_easy_cleanup);
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(handle.get(), id.data(), static_cast<int>(id.size())),
        curl_free);
    const auto url = "http://" + address + "/kv/export?id=" + escaped.get();
    std::string body;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, fetch_timeout_ms);
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    long status = 0;
    if (curl_easy_perform(handle.get()) != CURLE_OK)
        return {};
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status != 200)
        return {};
    const auto response = nlohmann::json::parse(body, nullptr, false);
    if (response.is_discarded())
        return {};
    return exported_segment{response.value("tokens", std::int64_t{0}),
                            response.value("links", std::set<std::string>())};
}

} // namespace galenapulley::standins
