#include "ctl/request_timeline.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <istream>
#include <ostream>
#include <set>
#include <string_view>
#include <utility>

namespace galenapulley
{

namespace
{

using json = nlohmann::ordered_json;

/// State changes shortly before a request are shown too, because they still
/// affect how it is handled.
constexpr std::int64_t state_lead_ms = 3000;

std::string format_fields(const json& line)
{
    static const std::set<std::string_view> printed_separately{
        "at", "node", "event", "request"};
    std::string out;
    for (const auto& [name, value] : line.items())
        if (!printed_separately.contains(name))
            out += fmt::format("{}{}={}", out.empty() ? "" : " ", name,
                               value.is_string() ? value.get<std::string>()
                                                 : value.dump());
    return out;
}

} // namespace

request_timeline::request_timeline(std::string request)
    : request_(std::move(request))
{
}

void request_timeline::read(std::istream& in)
{
    for (std::string text; std::getline(in, text);)
    {
        // Log collectors prefix the JSON object with a time or a name.
        const auto begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        const auto line = json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object() || !line.contains("event") ||
            !line.contains("at") || !line.at("at").is_number_integer())
            continue;
        const auto request = line.value("request", "");
        if (!request.empty() && request != request_)
            continue;
        entries_.push_back({.at = line.at("at").get<std::int64_t>(),
                            .node = line.value("node", ""),
                            .event = line.value("event", ""),
                            .fields = format_fields(line),
                            .about_request = !request.empty()});
    }
}

bool request_timeline::print(std::ostream& out) const
{
    std::set<std::string> nodes;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const auto& it : entries_)
    {
        if (!it.about_request)
            continue;
        first = nodes.empty() ? it.at : std::min(first, it.at);
        last = nodes.empty() ? it.at : std::max(last, it.at);
        nodes.insert(it.node);
    }
    if (nodes.empty())
        return false;
    auto shown = entries_;
    std::erase_if(shown,
                  [&](const entry& it)
                  {
                      return !it.about_request &&
                             (!nodes.contains(it.node) ||
                              it.at < first - state_lead_ms || it.at > last);
                  });
    std::stable_sort(shown.begin(), shown.end(),
                     [](const entry& a, const entry& b)
                     { return a.at < b.at; });
    for (const auto& it : shown)
        out << fmt::format("{:>8} ms  {}  {:<22} {}{}\n", it.at - first,
                           it.node, it.event,
                           it.about_request ? "" : "[state] ", it.fields);
    return true;
}

} // namespace galenapulley
