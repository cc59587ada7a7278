#include "load_generator.hpp"

#include "support/process_fleet.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <queue>
#include <thread>
#include <utility>

namespace galenapulley::bench
{

using nlohmann::json;

namespace
{

constexpr int http_ok = 200;
/// Longer than any deadline of a workload, so that the node's deadline applies.
constexpr msec call_timeout = 900'000;
constexpr std::size_t max_error_bytes = 4096;
constexpr std::string_view token_marker = "\"finish_reason\":null";
constexpr std::string_view end_marker = "data: [DONE]";
constexpr std::string_view error_marker = "data: {\"error\"";

std::size_t count_of(const std::string& text, std::string_view mark)
{
    std::size_t n = 0;
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + mark.size()))
        ++n;
    return n;
}

} // namespace

struct load_generator::call_state
{
    request_record record;
    /// Body of an error response, or the incomplete last event of the stream.
    std::string text;
    int status = 0;
    bool complete = false;
    /// Set when the caller disconnects, but not when the request is cancelled
    /// at the end of the drain time.
    bool abandoned = false;
};

load_generator::load_generator(double time_scale,
                               std::vector<std::string> nodes,
                               std::vector<std::string> tokens)
    : time_scale_(time_scale)
    , nodes_(std::move(nodes))
    , tokens_(std::move(tokens))
    , start_(wall_clock::now())
{
}

double load_generator::model_now() const
{
    const std::chrono::duration<double, std::milli> wall =
        wall_clock::now() - start_;
    return wall.count() * time_scale_;
}

void load_generator::wait_until_model(double at_ms) const
{
    const std::chrono::duration<double, std::milli> wall(at_ms / time_scale_);
    std::this_thread::sleep_until(
        start_ + std::chrono::duration_cast<wall_clock::duration>(wall));
}

std::uint64_t load_generator::send(const arrival& request,
                                   const std::shared_ptr<call_state>& state)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + nodes_[request.entry % nodes_.size()] +
               "/services/drafting/v1/completions";
    call.headers["Authorization"] = "Bearer " + tokens_.at(request.customer);
    call.headers["Content-Type"] = "application/json";
    call.body = json{
        {"model", "drafter"},
        {"prompt", testing::make_prompt(request.prompt_tokens, request.seed)},
        {"max_tokens", request.output_tokens},
        {"stream",
         true}}.dump();
    call.timeout = call_timeout;
    return client_.start(
        std::move(call),
        [this, state](const http_result& result) { on_done(*state, result); },
        [this, state](int status, const std::string& chunk)
        { on_data(*state, status, chunk); });
}

void load_generator::on_data(call_state& state, int status,
                             const std::string& chunk)
{
    const auto now = model_now() - state.record.request.at_ms;
    const std::lock_guard lock(mutex_);
    state.status = status;
    state.text += chunk;
    if (status == http_ok)
    {
        // An event that is split between chunks is counted with the next one.
        const auto end = state.text.rfind("\n\n");
        if (end == std::string::npos)
            return;
        const auto events = state.text.substr(0, end);
        const auto tokens = count_of(events, token_marker);
        if (tokens > 0 && state.record.tokens == 0)
            state.record.first_token_ms = now;
        if (tokens > 0)
            state.record.last_token_ms = now;
        state.record.tokens += static_cast<std::uint32_t>(tokens);
        state.complete |= events.find(end_marker) != std::string::npos;
        if (const auto at = events.find(error_marker); at != std::string::npos)
        {
            const auto body = json::parse(
                events.substr(at + std::string_view("data: ").size()), nullptr,
                false);
            state.record.kind =
                body.is_object() ? body["error"].value("kind", "") : "stream";
        }
        state.text.erase(0, end + 2);
    }
    else if (state.text.size() > max_error_bytes)
        state.text.resize(max_error_bytes);
}

void load_generator::on_done(call_state& state, const http_result& result)
{
    const auto now = model_now() - state.record.request.at_ms;
    const std::lock_guard lock(mutex_);
    auto& record = state.record;
    record.end_ms = now;
    if (state.complete)
        record.end = outcome::completed;
    else if (state.abandoned)
        record.end = outcome::abandoned;
    else if (result.error == transfer_error::cancelled)
        record.end = outcome::pending;
    else
    {
        record.end = outcome::failed;
        const auto status = state.status != 0 ? state.status : result.status;
        const auto& text = state.text.empty() ? result.body : state.text;
        const auto body = json::parse(text, nullptr, false);
        if (status != http_ok && body.is_object() && body.contains("error"))
        {
            record.kind = body["error"].value("kind", "unknown");
            if (body["error"].value("ran", "") == "not_run")
                record.end = outcome::refused;
        }
        else if (record.kind.empty())
            record.kind = "connection";
    }
    --pending_requests_;
    ended_.notify_all();
}

void load_generator::wait_for_end(msec drain)
{
    std::unique_lock lock(mutex_);
    const std::chrono::duration<double, std::milli> wall(
        static_cast<double>(drain) / time_scale_);
    ended_.wait_for(lock, wall, [this] { return pending_requests_ == 0; });
}

void load_generator::abandon(std::uint64_t call, call_state& state)
{
    {
        const std::lock_guard lock(mutex_);
        state.abandoned = true;
    }
    client_.cancel(call);
}

std::vector<timed_action>
load_generator::schedule(const std::vector<arrival>& arrivals,
                         const state_list& states,
                         std::vector<std::uint64_t>& calls)
{
    std::vector<timed_action> actions;
    actions.reserve(2 * arrivals.size());
    for (std::size_t n = 0; n < arrivals.size(); ++n)
    {
        const auto& it = arrivals[n];
        states[n]->record.request = it;
        actions.push_back({it.at_ms,
                           [this, &it, state = states[n], &call = calls[n]]
                           {
                               {
                                   const std::lock_guard lock(mutex_);
                                   ++pending_requests_;
                               }
                               call = send(it, state);
                           }});
        if (it.abandon_after_ms > 0)
            actions.push_back({it.at_ms + it.abandon_after_ms,
                               [this, state = states[n], &call = calls[n]]
                               {
                                   abandon(call, *state);
                               }});
    }
    return actions;
}

std::vector<request_record>
load_generator::run(const std::vector<arrival>& arrivals,
                    const std::vector<timed_action>& extra, msec drain)
{
    state_list states;
    states.reserve(arrivals.size());
    for (std::size_t n = 0; n < arrivals.size(); ++n)
        states.push_back(std::make_shared<call_state>());
    std::vector<std::uint64_t> calls(arrivals.size(), 0);
    auto actions = schedule(arrivals, states, calls);
    actions.insert(actions.end(), extra.begin(), extra.end());
    std::stable_sort(actions.begin(), actions.end(),
                     [](const timed_action& a, const timed_action& b)
                     { return a.at_ms < b.at_ms; });
    start_ = wall_clock::now();
    for (const auto& it : actions)
    {
        wait_until_model(it.at_ms);
        it.run();
    }
    wait_for_end(drain);
    for (const auto id : calls)
        client_.cancel(id);
    constexpr msec cancel_time = 10'000;
    wait_for_end(cancel_time);
    std::vector<request_record> records;
    records.reserve(states.size());
    const std::lock_guard lock(mutex_);
    for (const auto& it : states)
        records.push_back(it->record);
    return records;
}

} // namespace galenapulley::bench
