#include "node/reservation_list.hpp"

#include <nlohmann/json.hpp>

namespace galenapulley
{

namespace
{

using nlohmann::json;

std::optional<reservation> parse_reservation(const json& entry)
{
    try
    {
        return reservation{.id = entry.at("id").get<std::string>(),
                           .tokens = entry.value("tokens", 0U),
                           .age = entry.value("age_ms", msec{0}),
                           .deadline_left =
                               entry.value("deadline_left_ms", msec{0})};
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace

std::optional<std::vector<reservation>>
parse_reservations(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    const auto* list = &body;
    if (body.is_object() && body.contains("reservations"))
        list = &body.at("reservations");
    if (!list->is_array())
        return std::nullopt;
    std::vector<reservation> out;
    for (const auto& it : *list)
        if (auto entry = parse_reservation(it))
            out.push_back(*std::move(entry));
    return out;
}

} // namespace galenapulley
