#include "node/stream_relay.hpp"

#include "galenapulley/latency.hpp"
#include "node/http_responses.hpp"
#include "node/http_server.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace galenapulley
{

using nlohmann::json;

namespace
{

constexpr int http_ok = 200;

} // namespace

stream_relay::stream_relay(options about,
                           std::shared_ptr<http_exchange> exchange,
                           latency& latencies, const clock& time)
    : options_(std::move(about))
    , exchange_(std::move(exchange))
    , latencies_(latencies)
    , clock_(time)
    , last_data_(time.now())
{
}

void stream_relay::begin_attempt(const std::string& attempt_id)
{
    const std::lock_guard lock(mutex_);
    last_data_ = clock_.now();
    if (check_ && check_->next_index() > 0)
        check_->resume(attempt_id);
    else
        check_ = std::make_unique<stream_check>(attempt_id);
}

void stream_relay::restart()
{
    const std::lock_guard lock(mutex_);
    check_.reset();
    text_.clear();
}

void stream_relay::on_data(int status, const std::string& chunk)
{
    const std::lock_guard lock(mutex_);
    last_data_ = clock_.now();
    if (status != http_ok || !check_)
        return;
    out_.clear();
    for (const auto& it : check_->feed(chunk))
        forward(it);
    if (out_.empty())
        return;
    if (!sent_)
    {
        exchange_->start_stream({.content_type = "text/event-stream"});
        sent_ = true;
    }
    exchange_->write(std::move(out_));
}

void stream_relay::forward(const stream_event& event)
{
    if (event.is_finish)
        finish_ = event.finish;
    else
        record_token(clock_.now());
    if (!options_.streaming)
    {
        text_ += event.text;
        return;
    }
    out_ += "data: ";
    out_ += event_json(event.text, event.is_finish ? &event.finish : nullptr);
    out_ += "\n\n";
}

void stream_relay::record_token(msec now)
{
    if (first_token_ == 0)
    {
        first_token_ = now;
        latencies_.first_token(options_.length_class, now - options_.started);
    }
    else
        latencies_.between_tokens(options_.length_class, now - last_token_);
    last_token_ = now;
}

std::string stream_relay::event_json(const std::string& text,
                                     const std::string* finish) const
{
    json choice{{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
    if (finish != nullptr)
        choice["finish_reason"] = *finish;
    return json{{"id", options_.id},
                {"object", "text_completion"},
                {"model", options_.model},
                {"choices", json::array({choice})}}
        .dump();
}

void stream_relay::end_of_input()
{
    const std::lock_guard lock(mutex_);
    if (check_)
        check_->end_of_input();
}

stream_state stream_relay::state() const
{
    const std::lock_guard lock(mutex_);
    return check_ ? check_->state() : stream_state::needs_resume;
}

std::uint64_t stream_relay::next_index() const
{
    const std::lock_guard lock(mutex_);
    return check_ ? check_->next_index() : 0;
}

std::string stream_relay::reason() const
{
    const std::lock_guard lock(mutex_);
    return check_ ? std::string(check_->reason()) : std::string();
}

void stream_relay::finish()
{
    const std::lock_guard lock(mutex_);
    if (!options_.streaming)
    {
        exchange_->respond(make_json_response(event_json(text_, &finish_)));
        return;
    }
    if (!sent_)
        exchange_->start_stream({.content_type = "text/event-stream"});
    exchange_->write("data: [DONE]\n\n");
    exchange_->finish_stream();
}

void stream_relay::fail(const std::string& error_json)
{
    exchange_->write("data: " + error_json + "\n\n");
    // Without "data: [DONE]" the client sees that the response is incomplete.
    exchange_->finish_stream();
}

} // namespace galenapulley
