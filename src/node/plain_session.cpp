#include "node/plain_session.hpp"

#include "galenapulley/action_ledger.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/retry_budget.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/view_freshness.hpp"
#include "node/completion_request.hpp"
#include "node/control_loop.hpp"
#include "node/http_client.hpp"
#include "node/http_responses.hpp"
#include "node/permit_manager.hpp"
#include "node/session_context.hpp"
#include "node/token_hash.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

/// Longest time that a request waits for its row in the table service.
constexpr msec ledger_timeout = 2000_ms;
/// Longest time that a response is delayed until it is recorded. A retry that
/// the client sends after the response then finds the record.
constexpr msec record_timeout = 1000_ms;
constexpr std::size_t max_key_bytes = 200;

std::uint64_t hash_of(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

plain_session::plain_session(const session_context& context,
                             std::uint64_t number, std::string service_name,
                             std::string route_path, http_request request,
                             std::shared_ptr<http_exchange> exchange,
                             std::function<void()> on_ended)
    : context_(context)
    , number_(number)
    , service_name_(std::move(service_name))
    , path_(std::move(route_path))
    , request_(std::move(request))
    , exchange_(std::move(exchange))
    , on_ended_(std::move(on_ended))
{
}

msec plain_session::time_left() const
{
    return std::max<msec>(1, deadline_ - context_.loop.now());
}

absl::Status plain_session::admit()
{
    service_ = context_.registry.find_service(service_name_);
    if (!service_)
        return make_error(error_kind::unknown_service,
                          "unknown service " + service_name_);
    const auto* account = service_->find_customer_by_token(
        token_hash(bearer_token(request_.header("authorization"))));
    if (account == nullptr)
        return make_error(error_kind::unauthorized,
                          "the token matches no client account of service " +
                              service_name_);
    route_ = service_->find_route(request_.method, path_);
    if (route_ == nullptr)
        return make_error(error_kind::unknown_route,
                          "service " + service_name_ + " has no route " +
                              request_.method + " " + path_);
    const auto deadline = parse_deadline(request_);
    if (!deadline.ok())
        return deadline.status();
    deadline_ = context_.loop.now() + route_->timeout;
    if (*deadline)
        deadline_ = std::min(deadline_, context_.loop.now() + **deadline);
    const auto& key = request_.header("idempotency-key");
    if (!route_->idempotent && key.empty())
        return make_error(error_kind::missing_idempotency_key,
                          "Idempotency-Key: the header is required, since "
                          "this route is not idempotent");
    if (key.size() > max_key_bytes)
        return make_error(error_kind::bad_request,
                          "Idempotency-Key: longer than 200 bytes");
    key_ = {.service = service_name_,
            .customer = account->name,
            .idempotency_key = key};
    return absl::OkStatus();
}

void plain_session::start()
{
    if (const auto status = admit(); !status.ok())
    {
        refuse(status);
        return;
    }
    context_.retries.on_request(context_.loop.now());
    exchange_->on_disconnect(
        [weak = weak_from_this(), &loop = context_.loop]
        {
            loop.post(
                [weak]
                {
                    if (const auto self = weak.lock())
                        self->on_disconnect();
                });
        });
    if (route_->idempotent)
        request_permit();
    else
        begin_action();
}

void plain_session::begin_action()
{
    attempt_id_ = context_.node + "." + std::to_string(context_.incarnation) +
                  "." + std::to_string(number_) + "." +
                  std::to_string(attempts_);
    action_request action;
    action.key = key_;
    action.body_hash = hash_of(request_.body, hash_of(path_, 0));
    action.attempt_id = attempt_id_;
    action.timeout = std::min(ledger_timeout, time_left());
    context_.ledger.begin(std::move(action), [self = shared_from_this()](
                                                 const begin_result& result)
                          { self->on_action_begun(result); });
}

void plain_session::on_action_begun(const begin_result& result)
{
    switch (result.state)
    {
    case begin_state::started:
        action_started_ = true;
        request_permit();
        break;
    case begin_state::replay:
    {
        http_response out{.status = result.response.status,
                          .content_type = result.response.content_type,
                          .body = result.response.body};
        out.headers["x-idempotent-replay"] =
            result.response.too_large ? "body-not-kept" : "true";
        respond(std::move(out));
        break;
    }
    case begin_state::refused:
        refuse(result.error);
        break;
    }
}

void plain_session::request_permit()
{
    if (!context_.freshness.is_fresh(context_.loop.now()))
    {
        refuse_unsent(make_error(error_kind::isolated,
                                 "this node's view of the fleet is stale"));
        return;
    }
    permit_query query;
    query.customer = key_.customer;
    query.deadline = deadline_;
    query.excluded = excluded_;
    query.is_retry = attempts_ > 0;
    const auto number = context_.permits.request_permit(
        service_, std::move(query),
        [self =
             shared_from_this()](const absl::StatusOr<granted_permit>& permit)
        { self->on_permit(permit); });
    if (!has_permit_ && !has_ended_)
        permit_ = number;
}

void plain_session::on_permit(const absl::StatusOr<granted_permit>& permit)
{
    permit_ = 0;
    if (!permit.ok())
    {
        refuse_unsent(permit.status());
        return;
    }
    permit_ = permit->request;
    has_permit_ = true;
    back_end_ = permit->shares.front().back_end;
    const auto now = context_.loop.now();
    const auto* target = service_->find_back_end(back_end_);
    const bool usable = target != nullptr && now < deadline_ &&
                        context_.freshness.is_fresh(now) &&
                        context_.registry.current_fleet()->admits(*target);
    if (has_ended_ || !usable)
    {
        release_permit(permit_outcome::unused);
        refuse_unsent(make_error(error_kind::no_back_end,
                                 "the back end can no longer be used"));
        return;
    }
    ++attempts_;
    send();
}

void plain_session::send()
{
    http_call call;
    call.method = request_.method;
    call.url = "http://" + service_->find_back_end(back_end_)->address + path_;
    if (!request_.query.empty())
        call.url += "?" + request_.query;
    call.body = request_.body;
    for (const auto* name : {"content-type", "idempotency-key", "accept"})
        if (!request_.header(name).empty())
            call.headers[name] = request_.header(name);
    call.headers["x-attempt-id"] = attempt_id_;
    call.timeout = time_left();
    call_id_ = context_.engines.start(
        std::move(call),
        [self = shared_from_this()](http_result result)
        {
            self->context_.loop.post([self, result = std::move(result)]
                                     { self->on_done(result); });
        });
}

void plain_session::on_done(const http_result& result)
{
    call_id_ = 0;
    if (has_ended_ && route_->idempotent)
        return;
    if (result.error == transfer_error::not_connected)
    {
        on_not_sent();
        return;
    }
    if (result.error != transfer_error::none)
    {
        on_outcome_unknown(result);
        return;
    }
    release_permit(permit_outcome::completed);
    if (!route_->idempotent && is_refusal_status(result.status))
    {
        // Plain services have no way to state that they haven't run a request.
        end_as_unknown("the back end refused with status " +
                       std::to_string(result.status) +
                       ", but may have run the request; it will not be "
                       "retried");
        return;
    }
    const auto type = result.headers.find("content-type");
    const std::string content_type = type == result.headers.end()
                                         ? "application/octet-stream"
                                         : type->second;
    http_response out{.status = result.status,
                      .content_type = content_type,
                      .body = result.body};
    if (route_->idempotent)
        respond(std::move(out));
    else
        record(std::move(out));
}

void plain_session::record(http_response out)
{
    recorded_response recorded{.status = out.status,
                               .content_type = out.content_type,
                               .body = out.body};
    context_.ledger.finish(key_, attempt_id_, std::move(recorded),
                           std::min(record_timeout, time_left()),
                           [self = shared_from_this(), out = std::move(out)](
                               const absl::Status&) { self->respond(out); });
}

void plain_session::on_not_sent()
{
    excluded_.push_back(back_end_);
    context_.counts.count(retry_reason::connect_failed);
    // Makes the shard owner place no other request there for a while.
    release_permit(permit_outcome::crashed);
    if (has_ended_ ||
        !context_.retries.take_retry(attempts_, context_.loop.now()))
    {
        refuse_unsent(make_error(error_kind::back_end_failed,
                                 "no back end could be reached"));
        return;
    }
    // Nothing was sent and the row is still `started` with this attempt id, so
    // the same attempt may go to another back end.
    request_permit();
}

void plain_session::on_outcome_unknown(const http_result& result)
{
    excluded_.push_back(back_end_);
    may_have_run_ = true;
    release_permit(permit_outcome::failed);
    const bool timed_out = result.error == transfer_error::timed_out;
    if (!route_->idempotent)
    {
        end_as_unknown("the back end did not respond; the request may have run "
                       "and will not be retried");
        return;
    }
    context_.counts.count(retry_reason::back_end_failed);
    if (!timed_out && context_.loop.now() < deadline_ &&
        context_.retries.take_retry(attempts_, context_.loop.now()))
    {
        request_permit();
        return;
    }
    refuse(make_error(timed_out ? error_kind::deadline_exceeded
                                : error_kind::back_end_failed,
                      "the back end did not respond"));
}

void plain_session::end_as_unknown(const std::string& message)
{
    // The row stays `started`, so that no retry by the client is executed.
    context_.ledger.abandon(key_, attempt_id_);
    refuse(make_error(error_kind::outcome_unknown, message));
}

void plain_session::refuse_unsent(const absl::Status& status)
{
    const auto ran =
        may_have_run_ ? execution::may_have_run : execution::not_run;
    if (action_started_)
    {
        action_started_ = false;
        context_.ledger.mark_not_run(key_, attempt_id_, ledger_timeout);
    }
    refuse(status, ran);
}

void plain_session::respond(http_response out)
{
    if (!has_ended_)
        exchange_->respond(std::move(out));
    end();
}

void plain_session::refuse(const absl::Status& status,
                           std::optional<execution> ran)
{
    if (!has_ended_)
    {
        context_.counts.count(kind_of(status));
        release_permit(permit_outcome::failed);
        exchange_->respond(make_error_response(status, ran));
    }
    end();
}

void plain_session::release_permit(permit_outcome outcome)
{
    if (permit_ == 0)
        return;
    const auto permit = std::exchange(permit_, 0);
    if (!std::exchange(has_permit_, false))
    {
        context_.permits.cancel(permit);
        return;
    }
    permit_result result{.outcome = outcome};
    const bool is_fault =
        outcome == permit_outcome::failed || outcome == permit_outcome::crashed;
    if (is_fault && !excluded_.empty())
        result.failed_back_end = excluded_.back();
    context_.counts.count(outcome);
    context_.permits.release(permit, result);
}

void plain_session::on_disconnect()
{
    // A non-idempotent request continues, so that its response is recorded.
    if (has_ended_ || !route_->idempotent)
        return;
    context_.counts.count(error_kind::cancelled);
    if (call_id_ != 0)
        context_.engines.cancel(call_id_);
    release_permit(permit_outcome::cancelled);
    end();
}

void plain_session::end()
{
    if (std::exchange(has_ended_, true))
        return;
    if (const auto on_ended = std::exchange(on_ended_, nullptr))
        on_ended();
}

} // namespace galenapulley
