// Attempts of a completion session at back ends.
#include "node/completion_session.hpp"

#include "galenapulley/counters.hpp"
#include "galenapulley/placement.hpp"
#include "galenapulley/retry_budget.hpp"
#include "galenapulley/service.hpp"
#include "node/control_loop.hpp"
#include "node/http_client.hpp"
#include "node/permit_manager.hpp"
#include "node/segmented_prefill.hpp"
#include "node/session_context.hpp"
#include "node/stream_relay.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <utility>

namespace galenapulley
{

using nlohmann::json;

std::string completion_session::back_end_address() const
{
    const auto* target = service_->find_back_end(shares_.back().back_end);
    return target == nullptr ? std::string() : target->address;
}

std::size_t completion_session::priority() const
{
    return placement_uses_classes(service_->placement) ? length_class_ : 0;
}

std::string completion_session::attempt_body() const
{
    json body{{"request_id", attempt_id_},
              {"model", request_.model},
              {"max_tokens", request_.max_tokens},
              {"stream", true},
              {"priority", priority()}};
    if (relay_->next_index() > 0)
        body["resume_from"] = relay_->next_index();
    if (prefill_)
    {
        body["reservation"] = prefill_->id();
        for (const auto& it : prefill_->segments())
            body["segments"].push_back(
                {{"address", it.address}, {"reservation", prefill_->id()}});
    }
    // Appended as text: the HTTP worker thread has already escaped the prompt.
    auto text = body.dump();
    text.back() = ',';
    text.append("\"prompt\":").append(request_.prompt_json).append("}");
    return text;
}

void completion_session::start_attempt()
{
    attempt_id_ = context_.node + "." + std::to_string(context_.incarnation) +
                  "." + std::to_string(number_) + "." +
                  std::to_string(++attempt_number_);
    relay_->begin_attempt(attempt_id_);
    http_call call;
    call.method = "POST";
    call.url = "http://" + back_end_address() + "/v1/completions";
    call.headers["Content-Type"] = "application/json";
    call.body = attempt_body();
    call.timeout = time_left();
    call_id_ = context_.engines.start(
        std::move(call),
        [self = shared_from_this(), id = attempt_id_](http_result result)
        {
            self->context_.loop.post([self, id, result = std::move(result)]
                                     { self->on_done(id, result); });
        },
        [relay = relay_](int status, const std::string& chunk)
        { relay->on_data(status, chunk); });
}

void completion_session::on_done(const std::string& attempt_id,
                                 const http_result& result)
{
    if (has_ended_ || attempt_id != attempt_id_)
        return;
    call_id_ = 0;
    if (result.error != transfer_error::not_connected)
        may_have_run_ = true;
    relay_->end_of_input();
    if (relay_->state() == stream_state::complete)
        succeed();
    else if (context_.loop.now() >= deadline_)
        refuse(make_error(error_kind::deadline_exceeded,
                          "the response was not complete before the deadline"));
    else if (!try_resume(result))
        on_failed_attempt(result);
}

bool completion_session::try_resume(const http_result& result)
{
    // An engine that refuses connections has crashed and lost its KV cache.
    const bool can_resume = relay_->has_sent() && !resumed_ &&
                            result.error != transfer_error::not_connected &&
                            relay_->state() == stream_state::needs_resume;
    if (!can_resume)
        return false;
    resumed_ = true;
    context_.counts.count(retry_reason::stream_resumed);
    start_attempt();
    return true;
}

void completion_session::on_failed_attempt(const http_result& result)
{
    const auto& failed = shares_.back().back_end;
    excluded_.push_back(failed);
    if (relay_->has_sent())
    {
        const bool gone = result.error == transfer_error::not_connected;
        if (gone)
            report_crash();
        release_permit(gone ? permit_outcome::crashed : permit_outcome::failed);
        refuse(make_error(error_kind::stream_broken,
                          "the stream of " + failed +
                              " ended early: " + relay_->reason()));
        return;
    }
    if (result.error == transfer_error::not_connected)
    {
        context_.counts.count(retry_reason::connect_failed);
        // Makes the shard owner place no other request there until the next
        // load report.
        retry_elsewhere(permit_outcome::crashed);
    }
    else if (result.error == transfer_error::broken)
        probe_back_end(back_end_address());
    else
    {
        context_.counts.count(retry_reason::back_end_failed);
        retry_elsewhere(permit_outcome::failed);
    }
}

void completion_session::probe_back_end(const std::string& address)
{
    http_call call;
    call.url = "http://" + address + "/load";
    call.connect_timeout = probe_timeout;
    call.timeout = probe_timeout;
    context_.engines.start(
        std::move(call),
        [self = shared_from_this()](const http_result& result)
        {
            const bool alive = result.error == transfer_error::none;
            self->context_.loop.post(
                [self, alive]
                {
                    if (self->has_ended_)
                        return;
                    if (!alive)
                        self->report_crash();
                    self->context_.counts.count(retry_reason::back_end_failed);
                    self->retry_elsewhere(alive ? permit_outcome::failed
                                                : permit_outcome::crashed);
                });
        });
}

void completion_session::report_crash()
{
    const auto id = attempt_id_;
    context_.permits.report_crash(
        request_.service, {.fingerprint = fingerprint_,
                           .crash_id = XXH3_64bits(id.data(), id.size()),
                           .at = context_.loop.now()});
}

void completion_session::retry_elsewhere(permit_outcome outcome)
{
    release_permit(outcome);
    relay_->restart();
    if (!context_.retries.take_retry(attempts_, context_.loop.now()))
    {
        refuse(
            make_error(error_kind::back_end_failed,
                       "the back end failed and no further retry is allowed"));
        return;
    }
    request_permit();
}

void completion_session::check_timeouts()
{
    const auto now = context_.loop.now();
    if (has_ended_)
        return;
    if (now >= deadline_)
    {
        cancel_upstream();
        refuse(make_error(may_have_run_ ? error_kind::deadline_exceeded
                                        : error_kind::deadline_unreachable,
                          "the response was not complete before the deadline"));
        return;
    }
    if (prefill_ && context_.must_abort_segmented &&
        context_.must_abort_segmented())
    {
        cancel_upstream();
        refuse(make_error(error_kind::back_end_failed,
                          "this node lost its lease and its view is stale"));
        return;
    }
    if (call_id_ == 0)
        return;
    const bool no_first_token =
        relay_->first_token_at() == 0 && now >= first_token_deadline_;
    const bool stalled =
        relay_->first_token_at() != 0 &&
        context_.time.now() - relay_->last_data_at() > stall_timeout;
    if (no_first_token || stalled)
        on_stalled();
}

void completion_session::on_stalled()
{
    cancel_upstream();
    attempt_id_.clear();
    relay_->end_of_input();
    const http_result result{.error = transfer_error::timed_out};
    if (!try_resume(result))
        on_failed_attempt(result);
}

void completion_session::cancel_upstream()
{
    if (call_id_ == 0)
        return;
    // The engine may have started, so the error must not say "not run".
    may_have_run_ = true;
    context_.engines.cancel(std::exchange(call_id_, 0));
    http_call call;
    call.method = "POST";
    call.url = "http://" + back_end_address() + "/v1/cancel";
    call.headers["Content-Type"] = "application/json";
    call.body = json{{"request_id", attempt_id_}}.dump();
    call.timeout = probe_timeout;
    // Closing the connection cancels the request as well; this covers engines
    // that have not noticed the close yet.
    context_.engines.start(std::move(call), [](const http_result&) {});
}

} // namespace galenapulley
