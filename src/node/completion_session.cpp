#include "node/completion_session.hpp"

#include "galenapulley/config_registry.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/latency.hpp"
#include "galenapulley/retry_budget.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/view_freshness.hpp"
#include "node/control_loop.hpp"
#include "node/http_responses.hpp"
#include "node/http_server.hpp"
#include "node/permit_manager.hpp"
#include "node/segmented_prefill.hpp"
#include "node/session_context.hpp"
#include "node/stream_relay.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr std::uint32_t default_max_tokens = 256;
/// A request is refused once more back ends than this have been excluded.
constexpr std::size_t max_excluded = 8;

} // namespace

completion_session::completion_session(const session_context& context,
                                       std::uint64_t number,
                                       completion_request request,
                                       std::shared_ptr<http_exchange> exchange,
                                       std::function<void()> on_ended)
    : context_(context)
    , number_(number)
    , request_(std::move(request))
    , exchange_(std::move(exchange))
    , on_ended_(std::move(on_ended))
{
}

completion_session::~completion_session() = default;

msec completion_session::time_left() const
{
    return std::max<msec>(1, deadline_ - context_.loop.now());
}

absl::Status completion_session::admit()
{
    service_ = context_.registry.find_service(request_.service);
    if (!service_)
        return make_error(error_kind::unknown_service,
                          "unknown service " + request_.service);
    const auto* account =
        service_->find_customer_by_token(request_.token_sha256);
    if (account == nullptr)
        return make_error(error_kind::unauthorized,
                          "the token matches no client account of service " +
                              request_.service);
    customer_ = account->name;
    if (service_->kind != service_kind::model)
        return make_error(error_kind::unknown_route,
                          "service " + request_.service +
                              " is a plain service; call its routes instead");
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
    started_ = context_.loop.now();
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
        stream_relay::options{.id =
                                  context_.node + "-" + std::to_string(number_),
                              .model = request_.model,
                              .streaming = request_.stream,
                              .length_class = length_class_,
                              .started = context_.time.now()},
        exchange_, context_.latencies, context_.time);
    context_.retries.on_request(started_);

    const std::weak_ptr<completion_session> weak = weak_from_this();
    exchange_->on_disconnect(
        [weak, &loop = context_.loop]
        {
            loop.post(
                [weak]
                {
                    if (const auto self = weak.lock())
                        self->on_disconnect();
                });
        });
    timeout_check_timer_ =
        context_.loop.call_every(timeout_check_period,
                                 [weak]
                                 {
                                     if (const auto self = weak.lock())
                                         self->check_timeouts();
                                 });
    request_permit();
}

void completion_session::request_permit()
{
    if (!context_.freshness.is_fresh(context_.loop.now()))
    {
        refuse(make_error(error_kind::isolated,
                          "this node's view of the fleet is stale"));
        return;
    }
    permit_query query;
    query.customer = customer_;
    query.length_class = length_class_;
    query.prompt_tokens = request_.prompt_tokens;
    query.output_tokens = request_.max_tokens;
    query.deadline = deadline_;
    query.fingerprint = fingerprint_;
    query.prefix = request_.prefix_hash;
    query.excluded = excluded_;
    query.is_retry = attempts_ > 0;
    // The callback may run before request_permit() returns the request number.
    const auto number = context_.permits.request_permit(
        service_, std::move(query),
        [weak = weak_from_this()](const absl::StatusOr<granted_permit>& permit)
        {
            if (const auto self = weak.lock())
                self->on_permit(permit);
        });
    if (!has_permit_ && !has_ended_)
        permit_ = number;
}

bool completion_session::may_use(const granted_permit& permit) const
{
    if (!context_.freshness.is_fresh(context_.loop.now()))
        return false;
    const auto current = context_.registry.current_fleet();
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
    // The service document may have changed since the session started, and the
    // permit may name a back end that only the new version lists.
    if (auto current = context_.registry.find_service(request_.service))
        service_ = std::move(current);
    if (has_ended_ || shares_.empty() || !may_use(*permit))
    {
        release_permit(permit_outcome::unused);
        for (const auto& it : shares_)
            excluded_.push_back(it.back_end);
        if (excluded_.size() <= max_excluded)
            request_permit();
        else
            refuse(make_error(error_kind::no_back_end,
                              "the back end can no longer be used"));
        return;
    }
    ++attempts_;
    const auto now = context_.loop.now();
    attempt_started_ = now;
    first_token_deadline_ = now + time_left() * first_token_percent / 100;
    if (attempts_ >= retry_budget::max_attempts)
        first_token_deadline_ = deadline_;
    if (shares_.size() > 1)
        start_segmented_prefill();
    else
        start_attempt();
}

void completion_session::start_segmented_prefill()
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
    const auto id = context_.node + "." + std::to_string(context_.incarnation) +
                    "." + std::to_string(permit_);
    prefill_ = std::make_shared<segmented_prefill>(
        context_, id, std::move(list), priority(), deadline_);
    may_have_run_ = true;
    prefill_->start(
        [weak = weak_from_this()](const absl::Status& status,
                                  const segmented_prefill::failure& failed)
        {
            const auto self = weak.lock();
            if (!self || self->has_ended_)
                return;
            if (status.ok())
            {
                self->start_attempt();
                return;
            }
            self->excluded_.push_back(failed.back_end);
            if (failed.broke_in_prefill)
            {
                self->attempt_id_ = self->prefill_->id();
                self->probe_back_end(failed.address);
                return;
            }
            self->context_.counts.count(retry_reason::back_end_failed);
            self->retry_elsewhere(permit_outcome::failed);
        });
}

void completion_session::release_permit(permit_outcome outcome)
{
    if (prefill_)
        std::exchange(prefill_, nullptr)->release();
    if (permit_ == 0)
        return;
    const auto permit = std::exchange(permit_, 0);
    if (!std::exchange(has_permit_, false))
    {
        context_.permits.cancel(permit);
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
    context_.counts.count(outcome);
    context_.permits.release(permit, result);
}

void completion_session::succeed()
{
    release_permit(permit_outcome::completed);
    relay_->finish();
    end();
}

void completion_session::refuse(const absl::Status& status)
{
    if (has_ended_)
        return;
    const auto kind = kind_of(status);
    context_.counts.count(kind);
    release_permit(permit_outcome::failed);
    std::optional<execution> ran;
    if (may_have_run_)
        ran = execution::may_have_run;
    else if (kind == error_kind::back_end_failed)
        ran = execution::not_run;
    if (relay_ && relay_->has_sent())
        relay_->fail(error_body(status, execution::may_have_run));
    else
        exchange_->respond(make_error_response(status, ran));
    end();
}

void completion_session::on_disconnect()
{
    if (has_ended_)
        return;
    context_.counts.count(error_kind::cancelled);
    cancel_upstream();
    release_permit(permit_outcome::cancelled);
    end();
}

void completion_session::end()
{
    if (std::exchange(has_ended_, true))
        return;
    context_.loop.cancel(timeout_check_timer_);
    // The callback may drop the last reference to this session.
    const auto self = shared_from_this();
    if (const auto on_ended = std::exchange(on_ended_, nullptr))
        on_ended();
}

} // namespace galenapulley
