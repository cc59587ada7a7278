#include "gateway/dispatcher.hpp"

#include "gateway/event_log.hpp"

#include <absl/strings/str_cat.h>

// Requests and prompts that crash endpoints.

namespace galenapulley
{

namespace
{

constexpr msec retry_after_crash = 30'000;

std::string joined_ids(const std::vector<prompt_part>& parts)
{
    std::string out;
    for (const auto& it : parts)
        absl::StrAppend(&out, out.empty() ? "" : ",", absl::Hex(it.id));
    return out;
}

} // namespace

std::optional<dispatch_refusal>
dispatcher::quarantine_refusal(const dispatch_request& item)
{
    const auto now = clock_.now();
    if (crashes_.is_quarantined(item.fingerprint, now))
        return dispatch_refusal{.kind = error_kind::request_quarantined,
                                .reason = "crashed several endpoints",
                                .retry_after = retry_after_crash};
    const auto part = quarantine_.find(item.shared_parts, now);
    if (!part)
        return std::nullopt;
    return dispatch_refusal{.kind = error_kind::request_quarantined,
                            .reason =
                                absl::StrCat("prompt part ", absl::Hex(*part),
                                             " crashed several endpoints"),
                            .retry_after = retry_after_crash};
}

void dispatcher::on_sound(std::uint64_t id)
{
    const auto it = running_.find(id);
    if (it != running_.end())
        quarantine_.on_sound(it->second.shared_parts, clock_.now());
}

void dispatcher::record_crash(const running_request& work,
                              const attempt_result& result)
{
    // A request whose response had begun is not the cause.
    if (!result.began())
    {
        report_request_crash(work);
        report_prompt_crash(work);
    }
    const auto* const known = registry_.find(work.primary);
    const auto parts = joined_ids(work.shared_parts);
    log_.write(
        log_event::crash_reported,
        {{"request", std::string_view(work.attempt)},
         {"endpoint", known == nullptr
                          ? std::string_view()
                          : std::string_view(known->description.id)},
         {"outcome", name_of(result.outcome)},
         {"events", static_cast<std::int64_t>(result.events)},
         {"shared_parts", std::string_view(parts)},
         {"quarantined", static_cast<std::int64_t>(crashes_.is_quarantined(
                             work.fingerprint, clock_.now()))}});
}

void dispatcher::report_request_crash(const running_request& work)
{
    const auto now = clock_.now();
    const crash_report item{.fingerprint = work.fingerprint,
                            .crash_id = work.primary + ++last_crash_,
                            .at = now};
    crashes_.add(item, now);
    announce_crash_(item);
}

void dispatcher::report_prompt_crash(const running_request& work)
{
    if (work.shared_parts.empty())
        return;
    const auto now = clock_.now();
    const prompt_crash item{
        .endpoint = work.primary, .at = now, .parts = work.shared_parts};
    quarantine_.on_crash(item, now);
    announce_prompts_(
        {.crashes = {item}, .last_sound = quarantine_.last_sound()});
    log_quarantine();
}

void dispatcher::on_prompt_reports(const prompt_reports& reports)
{
    quarantine_.on_reports(reports, clock_.now());
    log_quarantine();
}

void dispatcher::log_quarantine()
{
    const auto& parts = quarantine_.parts(clock_.now());
    if (parts == logged_parts_)
        return;
    logged_parts_ = parts;
    std::string ids;
    for (const auto it : parts)
        absl::StrAppend(&ids, ids.empty() ? "" : ",", absl::Hex(it));
    log_.write(log_event::prompts_quarantined,
               {{"parts", std::string_view(ids)},
                {"crashes", static_cast<std::int64_t>(quarantine_.size())}});
}

void dispatcher::on_crash_report(const crash_report& item)
{
    crashes_.add(item, clock_.now());
}

} // namespace galenapulley
