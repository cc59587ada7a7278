#include "gateway/work_message.hpp"

#include <algorithm>

namespace galenapulley
{

void write_entry(const placed_work& from, msec now, wire::work_entry& to)
{
    to.set_request(from.request);
    to.set_account(from.account);
    for (const auto key : from.endpoints)
        to.add_endpoints(key);
    to.set_prompt_tokens(static_cast<std::uint32_t>(from.prompt_tokens));
    to.set_output_tokens(static_cast<std::uint32_t>(from.output_tokens));
    to.set_part_ms(static_cast<float>(from.segment_ms));
    to.set_gap_target_ms(static_cast<std::uint32_t>(from.token_gap_target));
    to.set_value(static_cast<float>(from.value));
    to.set_writing(from.decoding);
    to.set_due_in_ms(static_cast<std::int32_t>(from.first_token_due_at - now));
    to.set_target_ms(static_cast<std::uint32_t>(from.first_token_target));
    for (const auto tokens : from.reserved_tokens)
        to.add_held_tokens(static_cast<std::uint32_t>(tokens));
}

void write_rate_limit(const rate_limit_report& from, msec now,
                      wire::rate_limit_entry& to)
{
    to.set_endpoint(from.endpoint);
    if (from.per_second)
        to.set_per_second(*from.per_second);
    to.set_age_ms(now - from.at);
}

rate_limit_report read_rate_limit(const wire::rate_limit_entry& from, msec now)
{
    rate_limit_report out{.endpoint = from.endpoint(),
                          .at = now - from.age_ms()};
    if (from.has_per_second())
        out.per_second = from.per_second();
    return out;
}

void write_pause(const pause_report& from, msec now, wire::pause_entry& to)
{
    to.set_endpoint(from.endpoint);
    to.set_left_ms(
        static_cast<std::uint32_t>(std::max(from.until - now, 0_ms)));
}

pause_report read_pause(const wire::pause_entry& from, msec now)
{
    const auto left = std::min(static_cast<msec>(from.left_ms()),
                               endpoint_announcements::max_pause);
    return {.endpoint = from.endpoint(), .until = now + left};
}

void write_estimate(const endpoint_estimate& from, msec now,
                    wire::endpoint_estimate_entry& to)
{
    to.set_endpoint(from.endpoint);
    to.set_slowdown(static_cast<float>(from.slowdown));
    to.set_failure_rate(static_cast<float>(from.failure_rate));
    to.set_weight(static_cast<float>(from.weight));
    to.set_age_ms(static_cast<std::uint32_t>(std::max(now - from.at, 0_ms)));
}

endpoint_estimate read_estimate(const wire::endpoint_estimate_entry& from,
                                msec now)
{
    return {.endpoint = from.endpoint(),
            .slowdown = from.slowdown(),
            .failure_rate = from.failure_rate(),
            .weight = from.weight(),
            .at = now - from.age_ms()};
}

void write_prefix(const held_prefix& from, msec now,
                  wire::held_prefix_entry& to)
{
    to.set_endpoint(from.endpoint);
    to.set_prefix(from.prefix);
    to.set_tokens(static_cast<std::uint32_t>(from.added_tokens));
    to.set_left_ms(
        static_cast<std::uint32_t>(std::max(from.until - now, 0_ms)));
    to.set_weights(from.weights);
}

held_prefix read_prefix(const wire::held_prefix_entry& from, msec now)
{
    return {.endpoint = from.endpoint(),
            .prefix = from.prefix(),
            .added_tokens = static_cast<double>(from.tokens()),
            .until = now + static_cast<msec>(from.left_ms()),
            .weights = from.weights()};
}

placed_work read_entry(const wire::work_entry& from, const std::string& node,
                       msec now)
{
    return {.request = from.request(),
            .node = node,
            .account = from.account(),
            .endpoints = {from.endpoints().begin(), from.endpoints().end()},
            .prompt_tokens = static_cast<double>(from.prompt_tokens()),
            .output_tokens = static_cast<double>(from.output_tokens()),
            .reserved_tokens = {from.held_tokens().begin(),
                                from.held_tokens().end()},
            .segment_ms = from.part_ms(),
            .token_gap_target = from.gap_target_ms(),
            .value = from.value(),
            .first_token_due_at = now + from.due_in_ms(),
            .first_token_target = from.target_ms(),
            .decoding = from.writing()};
}

} // namespace galenapulley
