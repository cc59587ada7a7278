#include "galenapulley/prompt_quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace galenapulley
{

namespace
{

/// Time after which parts are judged again although nothing was reported.
constexpr msec evaluation_interval = 250;

} // namespace

void prompt_quarantine::on_crash(const prompt_crash& item, msec now)
{
    add_crash(item, now);
}

void prompt_quarantine::on_sound(std::span<const prompt_part> parts, msec now)
{
    for (const auto& it : parts)
        add_sound(it.id, now);
    add_last_sound(now);
}

void prompt_quarantine::on_reports(const prompt_reports& reports, msec now)
{
    for (const auto& it : reports.crashes)
        add_crash(it, now);
    for (const auto& it : reports.sound)
        add_sound(it.part, std::min(it.at, now));
    if (reports.last_sound)
        add_last_sound(std::min(*reports.last_sound, now));
}

void prompt_quarantine::add_crash(const prompt_crash& item, msec now)
{
    const auto at = std::min(item.at, now);
    if (item.parts.empty() || at + memory <= now)
        return;
    const auto [it, is_new] = crashes_.try_emplace(item.endpoint);
    auto& known = it->second;
    // Each hop delays a report, so the earliest time counts.
    known.at = is_new ? at : std::min(known.at, at);
    for (const auto& part : item.parts)
        if (known.parts.size() < max_parts_per_crash &&
            known.parts.try_emplace(part.id, part.position).second)
            evaluate_at_ = 0;
    if (crashes_.size() > max_crashes)
    {
        evaluate(now);
        forget_crash();
    }
}

void prompt_quarantine::add_sound(std::uint64_t part, msec at)
{
    auto& known = sound_at_.try_emplace(part, at).first->second;
    known = std::max(known, at);
    if (sound_at_.size() > max_sound_parts)
        forget_oldest_sound();
}

void prompt_quarantine::add_last_sound(msec at)
{
    last_sound_ = std::max(last_sound_.value_or(at), at);
}

void prompt_quarantine::forget_oldest_sound()
{
    std::vector<msec> times;
    times.reserve(sound_at_.size());
    for (const auto& [part, at] : sound_at_)
        times.push_back(at);
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(sound_at_, [median = *middle](const auto& it)
                  { return it.second <= median; });
}

void prompt_quarantine::forget_crash()
{
    std::map<std::optional<std::uint64_t>, std::size_t> explained;
    for (const auto& [endpoint, it] : crashes_)
        ++explained[it.explained_by];
    // Crashes that a quarantine doesn't need go first, then those that nothing
    // explains.
    const auto rank = [&explained](const crash& it)
    {
        const bool is_spare = it.explained_by &&
                              explained[it.explained_by] > max_reported_crashes;
        return std::tuple(!is_spare, it.explained_by.has_value(), it.at);
    };
    crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(),
                                    [&rank](const auto& a, const auto& b) {
                                        return rank(a.second) < rank(b.second);
                                    }));
}

void prompt_quarantine::expire(msec now)
{
    std::erase_if(crashes_, [now](const auto& it)
                  { return it.second.at + memory <= now; });
}

void prompt_quarantine::evaluate(msec now)
{
    if (now < evaluate_at_)
        return;
    evaluate_at_ = now + evaluation_interval;
    expire(now);
    quarantined_.clear();
    for (auto& [endpoint, it] : crashes_)
        it.explained_by.reset();
    while (const auto part = most_suspected(now))
    {
        quarantined_.insert(*part);
        for (auto& [endpoint, it] : crashes_)
            if (!it.explained_by && it.parts.contains(*part))
                it.explained_by = *part;
    }
}

std::map<std::uint64_t, prompt_quarantine::evidence>
prompt_quarantine::unexplained() const
{
    std::vector<const crash*> in_order;
    for (const auto& [endpoint, it] : crashes_)
        if (!it.explained_by)
            in_order.push_back(&it);
    std::sort(in_order.begin(), in_order.end(),
              [](const crash* a, const crash* b) { return a->at < b->at; });
    std::map<std::uint64_t, evidence> out;
    for (const auto* const it : in_order)
    {
        for (const auto& [part, position] : it->parts)
        {
            const auto sound = sound_at_.find(part);
            if (sound != sound_at_.end() && it->at <= sound->second)
                continue;
            auto& known = out[part];
            known.position = std::max(known.position, position);
            if (known.crashes++ == 0)
                known.first_at = it->at;
            else if (it->at - known.occasion_at < occasion_interval)
                continue;
            known.occasion_at = it->at;
            ++known.occasions;
        }
    }
    return out;
}

bool prompt_quarantine::is_suspected(std::uint64_t part, const evidence& it,
                                     msec now) const
{
    // The part hasn't been sound since, so this was a prompt without it.
    const bool others_are_served = last_sound_ && *last_sound_ > it.first_at;
    const bool is_enough =
        it.occasions >= min_occasions || it.crashes >= min_crashes;
    const auto sound = sound_at_.find(part);
    if (sound != sound_at_.end())
        return others_are_served && is_enough &&
               now - sound->second >= sound_time;
    return others_are_served ? is_enough : it.occasions >= min_occasions_alone;
}

std::optional<std::uint64_t> prompt_quarantine::most_suspected(msec now) const
{
    // Among parts with as many crashes, the one furthest back is shared by the
    // fewest prompts.
    const auto rank = [this](const auto& it)
    {
        return std::tuple(!sound_at_.contains(it.first), it.second.occasions,
                          it.second.crashes, it.second.position, it.first);
    };
    std::optional<std::pair<std::uint64_t, evidence>> best;
    for (const auto& it : unexplained())
        if (is_suspected(it.first, it.second, now) &&
            (!best || rank(*best) < rank(it)))
            best = it;
    if (!best)
        return std::nullopt;
    return best->first;
}

std::optional<std::uint64_t>
prompt_quarantine::find(std::span<const prompt_part> parts, msec now)
{
    if (crashes_.empty())
        return std::nullopt;
    evaluate(now);
    for (const auto& it : parts)
        if (quarantined_.contains(it.id))
            return it.id;
    return std::nullopt;
}

const std::set<std::uint64_t>& prompt_quarantine::parts(msec now)
{
    evaluate(now);
    return quarantined_;
}

std::vector<prompt_crash>
prompt_quarantine::crashes_of(std::uint64_t part) const
{
    std::vector<prompt_crash> out;
    for (const auto& [endpoint, it] : crashes_)
        if (it.explained_by == part)
            out.push_back(
                {.endpoint = endpoint,
                 .at = it.at,
                 .parts = {{.id = part, .position = it.parts.at(part)}}});
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
    // As many as it takes to quarantine the part elsewhere.
    out.resize(std::min(out.size(), min_crashes));
    return out;
}

std::vector<prompt_crash> prompt_quarantine::suspicious_crashes(msec now) const
{
    std::vector<prompt_crash> out;
    for (const auto& [endpoint, it] : crashes_)
    {
        if (it.explained_by || it.at + suspicion_time <= now)
            continue;
        prompt_crash item{.endpoint = endpoint, .at = it.at};
        for (const auto& [part, position] : it.parts)
            item.parts.push_back({.id = part, .position = position});
        out.push_back(std::move(item));
    }
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
    out.resize(std::min(out.size(), max_reported_crashes));
    return out;
}

prompt_reports prompt_quarantine::reports(msec now)
{
    if (crashes_.empty())
        return {};
    evaluate(now);
    prompt_reports out{.crashes = suspicious_crashes(now)};
    std::set<std::uint64_t> suspected;
    for (const auto& it : out.crashes)
        for (const auto& part : it.parts)
            if (const auto sound = sound_at_.find(part.id);
                sound != sound_at_.end() && suspected.insert(part.id).second)
                out.sound.push_back({.part = part.id, .at = sound->second});
    for (const auto part : quarantined_)
        for (auto& it : crashes_of(part))
            out.crashes.push_back(std::move(it));
    if (!out.crashes.empty())
        out.last_sound = last_sound_;
    return out;
}

} // namespace galenapulley
