#include "standins/plain_api.hpp"

#include <unistd.h>

#include <fstream>
#include <utility>

namespace galenapulley::standins
{

namespace
{

constexpr int crash_exit_code = 3;

} // namespace

plain_api::plain_api(plain_options options) : options_(std::move(options))
{
    if (options_.journal.empty())
        return;
    std::ifstream in(options_.journal);
    for (std::string line; std::getline(in, line);)
    {
        const auto run = json::parse(line);
        ++runs_[run.at("path")][run.at("key")];
        ++total_runs_;
    }
}

void plain_api::handle(http_request request, const exchange_ptr& exchange)
{
    if (request.path == "/control")
    {
        control(json::parse(request.body));
        respond_json(exchange, 200, json::object());
        return;
    }
    if (request.path == "/stats")
    {
        respond_json(exchange, 200, stats());
        return;
    }

    const auto& key = request.header("idempotency-key");
    json body = {{"path", request.path}, {"key", key}};
    msec delay = 0;
    bool lost = false;
    int status = 200;
    {
        const std::lock_guard lock(mutex_);
        last_start_ms_ = wall_time();
        if (request.method == "GET")
            body["lookup"] = ++lookups_;
        else
        {
            body["run"] = record_run(request.path, key);
            delay = options_.delay_ms;
            status = status_;
            if (responses_to_lose_ > 0)
            {
                --responses_to_lose_;
                ++lost_responses_;
                lost = true;
            }
            if (crash_after_run_)
                _exit(crash_exit_code);
        }
        if (hang_)
            return;
    }
    tasks_.run_after(delay,
                     [exchange, body, lost, status]
                     {
                         if (lost)
                             exchange->abort();
                         else
                             respond_json(exchange, status, body);
                     });
}

void plain_api::control(const json& body)
{
    const std::lock_guard lock(mutex_);
    responses_to_lose_ = body.value("lose_answers", responses_to_lose_);
    hang_ = body.value("hang", hang_);
    crash_after_run_ = body.value("crash_after_run", crash_after_run_);
    status_ = body.value("status", status_);
    options_.delay_ms = body.value("delay_ms", options_.delay_ms);
}

json plain_api::stats()
{
    const std::lock_guard lock(mutex_);
    return {{"runs", runs_},
            {"total_runs", total_runs_},
            {"lookups", lookups_},
            {"lost_answers", lost_responses_},
            {"last_start_ms", last_start_ms_}};
}

int plain_api::record_run(const std::string& path, const std::string& key)
{
    if (!options_.journal.empty())
    {
        std::ofstream out(options_.journal, std::ios::app);
        out << json{{"path", path}, {"key", key}}.dump() << '\n';
    }
    ++total_runs_;
    return ++runs_[path][key];
}

} // namespace galenapulley::standins
