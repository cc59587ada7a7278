#include "node/segmented_prefill.hpp"

#include "galenapulley/error_kind.hpp"
#include "galenapulley/service.hpp"
#include "node/control_loop.hpp"
#include "node/held_reservations.hpp"
#include "node/http_client.hpp"
#include "node/session_context.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

using nlohmann::json;

constexpr std::size_t bytes_per_token = 5;
constexpr msec reserve_timeout = 1000_ms;

bool is_utf8_continuation(char c)
{
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

} // namespace

std::vector<std::string> split_prompt(std::string_view prompt,
                                      const std::vector<std::uint32_t>& shares)
{
    std::vector<std::string> segments;
    std::size_t begin = 0;
    for (std::size_t n = 0; n < shares.size(); ++n)
    {
        auto end = prompt.size();
        if (n + 1 < shares.size())
            end = std::min(end, begin + shares[n] * bytes_per_token);
        // Must not split a UTF-8 character: each segment is sent as JSON text.
        while (end > begin && end < prompt.size() &&
               is_utf8_continuation(prompt[end]))
            --end;
        segments.emplace_back(prompt.substr(begin, end - begin));
        begin = end;
    }
    return segments;
}

segmented_prefill::segmented_prefill(const session_context& context,
                                     std::string id,
                                     std::vector<prompt_segment> segments,
                                     std::size_t priority, msec deadline)
    : context_(context)
    , id_(std::move(id))
    , segments_(std::move(segments))
    , priority_(priority)
    , deadline_(deadline)
{
}

msec segmented_prefill::time_left() const
{
    return std::max<msec>(1, deadline_ - context_.loop.now());
}

void segmented_prefill::call(std::size_t n, const char* path,
                             const std::string& body, msec timeout,
                             std::function<void(const http_result&)> done)
{
    http_call request;
    request.method = "POST";
    request.url = "http://" + segments_[n].address + path;
    request.headers["Content-Type"] = "application/json";
    request.body = body;
    request.timeout = timeout;
    call_id_ = context_.engines.start(
        std::move(request),
        [self = shared_from_this(), done = std::move(done)](http_result result)
        {
            self->context_.loop.post([self, done, result = std::move(result)]
                                     { done(result); });
        });
}

void segmented_prefill::start(done_callback done)
{
    done_ = std::move(done);
    context_.held.add(id_);
    for (std::size_t n = 0; n < segments_.size(); ++n)
        reserve(n);
}

void segmented_prefill::reserve(std::size_t n)
{
    const json body{{"id", id_},
                    {"tokens", segments_[n].tokens},
                    {"deadline_ms", time_left()}};
    call(n, "/kv/reserve", body.dump(), std::min(reserve_timeout, time_left()),
         [self = shared_from_this(), n](const http_result& result)
         { self->on_reserved(n, result); });
}

void segmented_prefill::on_reserved(std::size_t n, const http_result& result)
{
    if (released_ || !done_)
        return;
    if (result.error != transfer_error::none || result.status != 200)
    {
        fail(n, result, "reserve");
        return;
    }
    if (++reserved_ == segments_.size())
        prefill(0);
}

void segmented_prefill::prefill(std::size_t n)
{
    if (context_.must_abort_segmented && context_.must_abort_segmented())
    {
        fail(n, {}, "hold");
        return;
    }
    json body{
        {"id", id_}, {"prompt", segments_[n].text}, {"priority", priority_}};
    if (n > 0)
        body["import"] = {{"address", segments_[n - 1].address}, {"id", id_}};
    call(n, "/kv/prefill", body.dump(), time_left(),
         [self = shared_from_this(), n](const http_result& result)
         { self->on_prefilled(n, result); });
}

void segmented_prefill::on_prefilled(std::size_t n, const http_result& result)
{
    if (released_ || !done_)
        return;
    if (result.error != transfer_error::none || result.status != 200)
    {
        fail(n, result, "prefill");
        return;
    }
    if (n + 1 < segments_.size())
    {
        prefill(n + 1);
        return;
    }
    std::exchange(done_, nullptr)(absl::OkStatus(), {});
}

void segmented_prefill::fail(std::size_t n, const http_result& result,
                             const char* step)
{
    const auto status = make_error(
        error_kind::back_end_failed,
        std::string(step) + " on " + segments_[n].back_end + " failed" +
            (result.status != 0
                 ? " with status " + std::to_string(result.status)
                 : std::string()));
    const bool broke =
        result.error == transfer_error::broken && reserved_ == segments_.size();
    std::exchange(done_, nullptr)(status, {.back_end = segments_[n].back_end,
                                           .address = segments_[n].address,
                                           .broke_in_prefill = broke});
}

void segmented_prefill::release()
{
    if (std::exchange(released_, true))
        return;
    done_ = nullptr;
    context_.engines.cancel(call_id_);
    for (std::size_t n = 0; n < segments_.size(); ++n)
        call(n, "/kv/release", json{{"id", id_}}.dump(), reserve_timeout,
             [](const http_result&) {});
    // If a release is lost, the sweep of the shard owner finds the reservation
    // and asks this node whether it still holds the id.
    context_.held.remove(id_);
}

} // namespace galenapulley
