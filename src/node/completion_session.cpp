#include "node/completion_session.hpp"

#include "galenapulley/config_registry.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/latency.hpp"
#include "galenapulley/placement.hpp"
#include "galenapulley/retry_budget.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/view_freshness.hpp"
#include "node/answers.hpp"
#include "node/control_loop.hpp"
#include "node/http_client.hpp"
#include "node/http_server.hpp"
#include "node/permit_desk.hpp"
#include "node/segment_run.hpp"
#include "node/session_parts.hpp"
#include "node/stream_relay.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace galenapulley
{

using nlohmann::json;

namespace
{

constexpr std::uint32_t default_max_tokens = 256;
/// Back ends that may be passed over before a request is refused.
constexpr std::size_t max_excluded = 8;
} // namespace

completion_session::completion_session(const session_parts& parts,
                                       std::uint64_t number,
                                       completion_request request,
                                       std::shared_ptr<http_exchange> exchange,
                                       std::function<void()> ended)
    : parts_(parts)
    , number_(number)
    , request_(std::move(request))
    , exchange_(std::move(exchange))
    , ended_(std::move(ended))
{
}

completion_session::~completion_session() = default;

msec completion_session::time_left() const
{
    return std::max<msec>(1, deadline_ - parts_.loop.now());
}

absl::Status completion_session::admit()
{
    service_ = parts_.registry.find_service(request_.service);
    if (!service_)
        return make_error(error_kind::unknown_service,
                          "no service " + request_.service);
    const auto* account =
        service_->find_customer_by_token(request_.token_sha256);
    if (account == nullptr)
        return make_error(error_kind::unauthorized,
                          "the token belongs to no customer of service " +
                              request_.service);
    customer_ = account->name;
    if (service_->kind != service_kind::model)
        return make_error(error_kind::unknown_route,
                          "service " + request_.service +
                              " is a plain service; use its routes");
    const auto& models = service_->models;
    if (std::find(models.begin(), models.end(), request_.model) == models.end())
        return make_error(error_kind::unknown_model,
                          "service " + request_.service + " has no model " +
                              request_.model);
    if (request_.prompt_tokens > service_->max_prompt_tokens)
        return make_error(
            error_kind::prompt_too_long,
            "prompt: about " + std::to_string(request_.prompt_tokens) +
                " tokens; at most " +
                std::to_string(service_->max_prompt_tokens) + " are allowed");
    if (request_.max_tokens > service_->max_output_tokens)
        return make_error(error_kind::bad_request,
                          "max_tokens: " + std::to_string(request_.max_tokens) +
                              "; at most " +
                              std::to_string(service_->max_output_tokens) +
                              " are allowed");
    if (request_.max_tokens == 0)
        request_.max_tokens =
            std::min(default_max_tokens, service_->max_output_tokens);
    return absl::OkStatus();
}

void completion_session::start()
{
    started_ = parts_.loop.now();
    deadline_ = started_ + 1;
    if (const auto status = admit(); !status.ok())
    {
        refuse(status);
        return;
    }
    length_class_ = service_->class_for(request_.prompt_tokens);
    deadline_ = started_ + service_->classes.at(length_class_).deadline;
    if (request_.deadline)
        deadline_ = std::min(deadline_, started_ + *request_.deadline);
    fingerprint_ = XXH3_64bits_withSeed(customer_.data(), customer_.size(),
                                        request_.prompt_hash);
    relay_ = std::make_shared<stream_relay>(
        stream_relay::options{.id = parts_.node + "-" + std::to_string(number_),
                              .model = request_.model,
                              .streaming = request_.stream,
                              .length_class = length_class_,
                              .started = parts_.time.now()},
        exchange_, parts_.latencies, parts_.time);
    parts_.retries.on_request(started_);

    const std::weak_ptr<completion_session> weak = weak_from_this();
    exchange_->on_disconnect(
        [weak, &loop = parts_.loop]
        {
            loop.post(
                [weak]
                {
                    if (const auto self = weak.lock())
                        self->on_disconnect();
                });
        });
    watch_timer_ = parts_.loop.call_every(watch_period,
                                          [weak]
                                          {
                                              if (const auto self = weak.lock())
                                                  self->watch();
                                          });
    ask_permit();
}

void completion_session::ask_permit()
{
    if (!parts_.freshness.is_fresh(parts_.loop.now()))
    {
        refuse(make_error(error_kind::isolated,
                          "this node has no recent view of the fleet"));
        return;
    }
    permit_query query;
    query.customer = customer_;
    query.length_class = length_class_;
    query.prompt_tokens = request_.prompt_tokens;
    query.output_tokens = request_.max_tokens;
    query.deadline = deadline_;
    query.fingerprint = fingerprint_;
    query.prefix = request_.prefix;
    query.excluded = excluded_;
    query.is_retry = attempts_ > 0;
    // The answer may come before ask() returns its number.
    const auto number = parts_.desk.ask(
        service_, std::move(query),
        [weak = weak_from_this()](const absl::StatusOr<granted_permit>& permit)
        {
            if (const auto self = weak.lock())
                self->on_permit(permit);
        });
    if (!has_permit_ && !ended_already_)
        permit_ = number;
}

bool completion_session::may_use(const granted_permit& permit) const
{
    if (!parts_.freshness.is_fresh(parts_.loop.now()))
        return false;
    const auto current = parts_.registry.current_fleet();
    return std::all_of(permit.shares.begin(), permit.shares.end(),
                       [&](const permit_share& it)
                       {
                           const auto* target =
                               service_->find_back_end(it.back_end);
                           return target != nullptr && current->admits(*target);
                       });
}

void completion_session::on_permit(const absl::StatusOr<granted_permit>& permit)
{
    permit_ = 0;
    if (!permit.ok())
    {
        refuse(permit.status());
        return;
    }
    permit_ = permit->request;
    has_permit_ = true;
    shares_ = permit->shares;
    // The document may list back ends that this session has not seen yet.
    if (auto current = parts_.registry.find_service(request_.service))
        service_ = std::move(current);
    if (ended_already_ || shares_.empty() || !may_use(*permit))
    {
        release_permit(permit_outcome::unused);
        for (const auto& it : shares_)
            excluded_.push_back(it.back_end);
        if (excluded_.size() <= max_excluded)
            ask_permit();
        else
            refuse(make_error(error_kind::no_back_end,
                              "the back end was withdrawn meanwhile"));
        return;
    }
    ++attempts_;
    const auto now = parts_.loop.now();
    attempt_started_ = now;
    first_token_due_ = now + time_left() * first_token_percent / 100;
    if (attempts_ >= retry_budget::max_attempts)
        first_token_due_ = deadline_;
    if (shares_.size() > 1)
        prepare_segments();
    else
        start_attempt();
}

void completion_session::prepare_segments()
{
    std::vector<std::uint32_t> tokens;
    for (const auto& it : shares_)
        tokens.push_back(it.tokens);
    const auto texts = split_prompt(request_.prompt, tokens);
    std::vector<prompt_segment> list;
    for (std::size_t n = 0; n < shares_.size(); ++n)
    {
        const auto* target = service_->find_back_end(shares_[n].back_end);
        const bool is_last = n + 1 == shares_.size();
        list.push_back({.back_end = target->name,
                        .address = target->address,
                        .text = texts[n],
                        .tokens = estimate_tokens(texts[n].size()) +
                                  (is_last ? request_.max_tokens : 0)});
    }
    const auto id = parts_.node + "." + std::to_string(parts_.incarnation) +
                    "." + std::to_string(permit_);
    segments_ = std::make_shared<segment_run>(parts_, id, std::move(list),
                                              priority(), deadline_);
    handed_over_ = true;
    segments_->start(
        [weak = weak_from_this()](const absl::Status& status,
                                  const segment_run::failure& failed)
        {
            const auto self = weak.lock();
            if (!self || self->ended_already_)
                return;
            if (status.ok())
            {
                self->start_attempt();
                return;
            }
            self->excluded_.push_back(failed.back_end);
            if (failed.lost_in_prefill)
            {
                self->attempt_id_ = self->segments_->id();
                self->probe_crash(failed.address);
                return;
            }
            self->parts_.counts.count(retry_reason::back_end_failed);
            self->retry_elsewhere(permit_outcome::failed);
        });
}

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
              {"prompt", request_.prompt},
              {"max_tokens", request_.max_tokens},
              {"stream", true},
              {"priority", priority()}};
    if (relay_->next_index() > 0)
        body["resume_from"] = relay_->next_index();
    if (segments_)
    {
        body["reservation"] = segments_->id();
        for (const auto& it : segments_->segments())
            body["segments"].push_back(
                {{"address", it.address}, {"reservation", segments_->id()}});
    }
    return body.dump();
}

void completion_session::start_attempt()
{
    attempt_id_ = parts_.node + "." + std::to_string(parts_.incarnation) + "." +
                  std::to_string(number_) + "." +
                  std::to_string(++attempt_number_);
    relay_->begin_attempt(attempt_id_);
    http_call call;
    call.method = "POST";
    call.url = "http://" + back_end_address() + "/v1/completions";
    call.headers["Content-Type"] = "application/json";
    call.body = attempt_body();
    call.timeout = time_left();
    transfer_ = parts_.engines.start(
        std::move(call),
        [self = shared_from_this(), id = attempt_id_](http_result result)
        {
            self->parts_.loop.post([self, id, result = std::move(result)]
                                   { self->on_done(id, result); });
        },
        [relay = relay_](int status, const std::string& chunk)
        { relay->on_data(status, chunk); });
}

void completion_session::on_done(const std::string& attempt_id,
                                 const http_result& result)
{
    if (ended_already_ || attempt_id != attempt_id_)
        return;
    transfer_ = 0;
    if (result.error != transfer_error::not_connected)
        handed_over_ = true;
    relay_->end_of_input();
    if (relay_->state() == stream_state::complete)
        succeed();
    else if (parts_.loop.now() >= deadline_)
        refuse(make_error(error_kind::deadline_exceeded,
                          "the answer was not complete in time"));
    else if (!try_resume(result))
        on_failed_attempt(result);
}

bool completion_session::try_resume(const http_result& result)
{
    // An engine that refuses connections is gone; its cache is, too.
    const bool can_resume = relay_->has_sent() && !resumed_ &&
                            result.error != transfer_error::not_connected &&
                            relay_->state() == stream_state::needs_resume;
    if (!can_resume)
        return false;
    resumed_ = true;
    parts_.counts.count(retry_reason::stream_resumed);
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
            record_strike();
        release_permit(gone ? permit_outcome::crashed : permit_outcome::failed);
        refuse(make_error(error_kind::stream_broken,
                          "the stream of " + failed +
                              " ended early: " + relay_->reason()));
        return;
    }
    if (result.error == transfer_error::not_connected)
    {
        parts_.counts.count(retry_reason::connect_failed);
        // The owner must not send others there until the next load report.
        retry_elsewhere(permit_outcome::crashed);
    }
    else if (result.error == transfer_error::broken)
        probe_crash(back_end_address());
    else
    {
        parts_.counts.count(retry_reason::back_end_failed);
        retry_elsewhere(permit_outcome::failed);
    }
}

void completion_session::probe_crash(const std::string& address)
{
    http_call call;
    call.url = "http://" + address + "/load";
    call.connect_timeout = probe_timeout;
    call.timeout = probe_timeout;
    parts_.engines.start(
        std::move(call),
        [self = shared_from_this()](const http_result& result)
        {
            const bool alive = result.error == transfer_error::none;
            self->parts_.loop.post(
                [self, alive]
                {
                    if (self->ended_already_)
                        return;
                    if (!alive)
                        self->record_strike();
                    self->parts_.counts.count(retry_reason::back_end_failed);
                    self->retry_elsewhere(alive ? permit_outcome::failed
                                                : permit_outcome::crashed);
                });
        });
}

void completion_session::record_strike()
{
    const auto id = attempt_id_;
    parts_.desk.send_strike(request_.service,
                            {.fingerprint = fingerprint_,
                             .crash_id = XXH3_64bits(id.data(), id.size()),
                             .at = parts_.loop.now()});
}

void completion_session::retry_elsewhere(permit_outcome outcome)
{
    release_permit(outcome);
    relay_->restart();
    if (!parts_.retries.take_retry(attempts_, parts_.loop.now()))
    {
        refuse(make_error(error_kind::back_end_failed,
                          "no further back end may be tried"));
        return;
    }
    ask_permit();
}

void completion_session::watch()
{
    const auto now = parts_.loop.now();
    if (ended_already_)
        return;
    if (now >= deadline_)
    {
        cancel_upstream();
        refuse(make_error(handed_over_ ? error_kind::deadline_exceeded
                                       : error_kind::deadline_unreachable,
                          "the answer was not complete in time"));
        return;
    }
    if (segments_ && parts_.must_drop_segments && parts_.must_drop_segments())
    {
        cancel_upstream();
        refuse(make_error(error_kind::back_end_failed,
                          "this node lost its lease and its view"));
        return;
    }
    if (transfer_ == 0)
        return;
    const bool no_first_token =
        relay_->first_token_at() == 0 && now >= first_token_due_;
    const bool stalled =
        relay_->first_token_at() != 0 &&
        parts_.time.now() - relay_->last_data_at() > stall_timeout;
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
    if (transfer_ == 0)
        return;
    // The engine may have begun, so a refusal must not say "not run".
    handed_over_ = true;
    parts_.engines.cancel(std::exchange(transfer_, 0));
    http_call call;
    call.method = "POST";
    call.url = "http://" + back_end_address() + "/v1/cancel";
    call.headers["Content-Type"] = "application/json";
    call.body = json{{"request_id", attempt_id_}}.dump();
    call.timeout = probe_timeout;
    // The closed connection cancels as well; this covers engines that have not
    // noticed it.
    parts_.engines.start(std::move(call), [](const http_result&) {});
}

void completion_session::release_permit(permit_outcome outcome)
{
    if (segments_)
        std::exchange(segments_, nullptr)->release();
    if (permit_ == 0)
        return;
    const auto permit = std::exchange(permit_, 0);
    if (!std::exchange(has_permit_, false))
    {
        parts_.desk.cancel(permit);
        return;
    }
    permit_result result{.outcome = outcome};
    if (relay_->first_token_at() != 0)
        result.first_token =
            std::max<msec>(1, relay_->first_token_at() - attempt_started_);
    result.output_tokens = static_cast<std::uint32_t>(relay_->next_index());
    if (outcome == permit_outcome::failed || outcome == permit_outcome::crashed)
        result.failed_back_end =
            excluded_.empty() ? std::string() : excluded_.back();
    parts_.counts.count(outcome);
    parts_.desk.release(permit, result);
}

void completion_session::succeed()
{
    release_permit(permit_outcome::completed);
    relay_->finish();
    end();
}

void completion_session::refuse(const absl::Status& status)
{
    if (ended_already_)
        return;
    const auto kind = kind_of(status);
    parts_.counts.count(kind);
    release_permit(permit_outcome::failed);
    std::optional<execution> ran;
    if (handed_over_)
        ran = execution::may_have_run;
    else if (kind == error_kind::back_end_failed)
        ran = execution::not_run;
    if (relay_ && relay_->has_sent())
        relay_->fail(error_body(status, execution::may_have_run));
    else
        exchange_->respond(error_answer_for(status, ran));
    end();
}

void completion_session::on_disconnect()
{
    if (ended_already_)
        return;
    parts_.counts.count(error_kind::cancelled);
    cancel_upstream();
    release_permit(permit_outcome::cancelled);
    end();
}

void completion_session::end()
{
    if (std::exchange(ended_already_, true))
        return;
    parts_.loop.cancel(watch_timer_);
    // The callback may drop the last reference to this session.
    const auto self = shared_from_this();
    if (const auto ended = std::exchange(ended_, nullptr))
        ended();
}

} // namespace galenapulley
