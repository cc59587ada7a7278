#include "standins/engine_sinks.hpp"

#include <utility>

namespace galenapulley::standins
{

completion_sink::completion_sink(engine_simulation& simulation,
                                 exchange_ptr exchange, stream_options options)
    : simulation_(simulation)
    , exchange_(std::move(exchange))
    , options_(std::move(options))
{
}

void completion_sink::begin(engine_simulation::job_id id)
{
    id_ = id;
    http_response head;
    head.content_type = "text/event-stream";
    exchange_->start_stream(std::move(head));
}

std::string completion_sink::event(const json& fields) const
{
    json body = {{"id", options_.request_id}};
    body.update(fields);
    return "data: " + body.dump() + "\n\n";
}

void completion_sink::on_tokens(std::int64_t begin, std::int64_t end)
{
    std::string chunk;
    for (auto n = begin; n < end; ++n)
    {
        if (n == options_.skip_index)
            continue;
        if (written_ == options_.truncate_after)
            break;
        chunk += event(
            {{"index", n},
             {"text", "t" + options_.hash + "-" + std::to_string(n) + " "}});
        ++written_;
    }
    exchange_->write(std::move(chunk));
    if (written_ == options_.truncate_after)
        simulation_.cancel(id_);
}

void completion_sink::on_finished()
{
    exchange_->write(
        event({{"finish", "stop"}, {"count", options_.max_tokens}}) +
        "data: [DONE]\n\n");
    exchange_->finish_stream();
}

void completion_sink::on_cancelled()
{
    exchange_->abort();
}

prefill_sink::prefill_sink(exchange_ptr exchange, std::int64_t tokens)
    : exchange_(std::move(exchange)), tokens_(tokens)
{
}

void prefill_sink::on_tokens(std::int64_t /*begin*/, std::int64_t /*end*/) {}

void prefill_sink::on_finished()
{
    respond_json(exchange_, 200, {{"tokens", tokens_}});
}

void prefill_sink::on_cancelled()
{
    exchange_->abort();
}

} // namespace galenapulley::standins
