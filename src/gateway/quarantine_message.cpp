#include "gateway/quarantine_message.hpp"

#include <utility>

namespace galenapulley
{

wire::prompt_reports write_reports(const prompt_reports& from, msec now)
{
    wire::prompt_reports out;
    for (const auto& it : from.crashes)
    {
        auto& entry = *out.add_crashes();
        entry.set_endpoint(it.endpoint);
        entry.set_age_ms(now - it.at);
        for (const auto& part : it.parts)
        {
            auto& to = *entry.add_parts();
            to.set_id(part.id);
            to.set_position(part.position);
        }
    }
    for (const auto& it : from.sound)
    {
        auto& entry = *out.add_sound();
        entry.set_part(it.part);
        entry.set_age_ms(now - it.at);
    }
    if (from.last_sound)
        out.set_last_sound_age_ms(now - *from.last_sound);
    return out;
}

prompt_reports read_reports(const wire::prompt_reports& from, msec now)
{
    prompt_reports out;
    for (const auto& it : from.crashes())
    {
        prompt_crash item{.endpoint = it.endpoint(), .at = now - it.age_ms()};
        for (const auto& part : it.parts())
            item.parts.push_back(
                {.id = part.id(), .position = part.position()});
        out.crashes.push_back(std::move(item));
    }
    for (const auto& it : from.sound())
        out.sound.push_back({.part = it.part(), .at = now - it.age_ms()});
    if (from.has_last_sound_age_ms())
        out.last_sound = now - from.last_sound_age_ms();
    return out;
}

} // namespace galenapulley
