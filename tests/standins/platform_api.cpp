#include "standins/platform_api.hpp"

#include <algorithm>
#include <utility>

namespace galenapulley::standins
{

namespace
{

/// The first path element of a key, which identifies the kind of row.
std::string kind_of_row(const std::string& key)
{
    const auto end = key.find('/');
    return end == std::string::npos ? key : key.substr(0, end + 1);
}

json to_json(const table_row& row)
{
    return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

} // namespace

platform_api::platform_api(const platform_options& options)
    : options_(options)
    , read_limit_(options.reads_per_s)
    , write_limit_(options.writes_per_s)
{
    vms_.push_back({0, json::array()});
}

void platform_api::handle(http_request request, const exchange_ptr& exchange)
{
    const std::lock_guard lock(mutex_);
    const auto& path = request.path;
    if (path == "/control")
    {
        control(json::parse(request.body));
        respond_json(exchange, 200, json::object());
        return;
    }
    if (path == "/stats")
    {
        respond_json(exchange, 200, stats());
        return;
    }
    if (clock_.now() < outage_until_)
    {
        ++refused_in_outage_;
        if (!outage_is_silent_)
            respond_error(exchange, 503, "outage");
        return;
    }
    if (path == "/table/row")
        read_row(request, exchange);
    else if (path == "/table/rows")
        read_rows(request, exchange);
    else if (path == "/table/commit")
        commit(request, exchange);
    else if (path == "/vms")
        list_vms(exchange);
    else if (path.starts_with("/objects/"))
        objects(request, exchange);
    else if (path.starts_with("/weights/"))
        weights(request, exchange);
    else
        respond_error(exchange, 404, "unknown_path");
}

void platform_api::control(const json& body)
{
    const auto now = clock_.now();
    if (body.contains("vms"))
        vms_.push_back({now + options_.vm_lag_ms, body["vms"]});
    if (body.contains("outage_ms"))
        outage_until_ = now + body["outage_ms"].get<msec>();
    outage_is_silent_ =
        body.value("outage", outage_is_silent_ ? "silent" : "503") == "silent";
    slow_ms_ = body.value("slow_ms", slow_ms_);
    stale_reads_ms_ = body.value("stale_reads_ms", stale_reads_ms_);
    responses_to_lose_ = body.value("lose_answers", responses_to_lose_);
    lose_prefix_ = body.value("lose_prefix", lose_prefix_);
}

json platform_api::stats()
{
    json prefixes = json::object();
    for (const auto& it : by_prefix_)
        prefixes[it.first] = {{"reads", it.second.reads},
                              {"writes", it.second.writes}};
    return {{"reads", total_.reads},
            {"writes", total_.writes},
            {"commits", commits_},
            {"conflicts", conflicts_},
            {"refused_reads", refused_reads_},
            {"refused_writes", refused_writes_},
            {"lost_answers", lost_responses_},
            {"refused_in_outage", refused_in_outage_},
            {"prefixes", prefixes}};
}

void platform_api::respond(const exchange_ptr& exchange, int status,
                           const json& body)
{
    tasks_.run_after(slow_ms_, [exchange, status, body]
                     { respond_json(exchange, status, body); });
}

bool platform_api::try_acquire_read(const std::string& key,
                                    const exchange_ptr& exchange)
{
    if (!read_limit_.try_acquire(clock_.now()))
    {
        ++refused_reads_;
        respond(exchange, 429, {{"error", "rate_limit"}});
        return false;
    }
    ++total_.reads;
    ++by_prefix_[kind_of_row(key)].reads;
    return true;
}

void platform_api::read_row(const http_request& request,
                            const exchange_ptr& exchange)
{
    const auto key = request.query_value("key");
    if (!try_acquire_read(key, exchange))
        return;
    if (const auto row = table_.row(key, clock_.now() - stale_reads_ms_))
        respond(exchange, 200, to_json(*row));
    else
        respond(exchange, 404, {{"error", "no_row"}});
}

void platform_api::read_rows(const http_request& request,
                             const exchange_ptr& exchange)
{
    const auto prefix = request.query_value("prefix");
    if (!try_acquire_read(prefix, exchange))
        return;
    json rows = json::array();
    for (const auto& it : table_.rows(prefix, clock_.now() - stale_reads_ms_))
        rows.push_back(to_json(it));
    respond(exchange, 200, rows);
}

void platform_api::commit(const http_request& request,
                          const exchange_ptr& exchange)
{
    const auto now = clock_.now();
    if (!write_limit_.try_acquire(now))
    {
        ++refused_writes_;
        respond(exchange, 429, {{"error", "rate_limit"}});
        return;
    }
    const auto body = json::parse(request.body);
    std::vector<table_condition> conditions;
    for (const auto& it : body.value("conditions", json::array()))
        conditions.push_back({it.at("key"), it.at("version")});
    std::vector<table_write> writes;
    for (const auto& it : body.value("writes", json::array()))
        writes.push_back({it.at("key"), it.value("value", json())});

    ++commits_;
    const auto result = table_.commit(conditions, writes, now);
    if (result.conflict)
    {
        ++conflicts_;
        respond(exchange, 409, {{"conflict", *result.conflict}});
        return;
    }
    for (const auto& it : writes)
    {
        ++total_.writes;
        ++by_prefix_[kind_of_row(it.key)].writes;
    }
    if (loses_response(writes))
    {
        tasks_.run_after(slow_ms_, [exchange] { exchange->abort(); });
        return;
    }
    respond(exchange, 200, {{"versions", result.versions}});
}

bool platform_api::loses_response(const std::vector<table_write>& writes)
{
    const bool affected =
        responses_to_lose_ > 0 &&
        std::any_of(writes.begin(), writes.end(),
                    [this](const auto& it)
                    { return it.key.starts_with(lose_prefix_); });
    if (affected)
    {
        --responses_to_lose_;
        ++lost_responses_;
    }
    return affected;
}

void platform_api::objects(const http_request& request,
                           const exchange_ptr& exchange)
{
    const auto name = path_after(request.path, "/objects/");
    if (request.method == "PUT")
    {
        objects_[name] = request.body;
        respond(exchange, 200, json::object());
        return;
    }
    const auto it = objects_.find(name);
    if (it == objects_.end())
    {
        respond(exchange, 404, {{"error", "no_object"}});
        return;
    }
    http_response found;
    found.content_type = "application/octet-stream";
    found.body = it->second;
    tasks_.run_after(slow_ms_, [exchange, found] { exchange->respond(found); });
}

void platform_api::weights(const http_request& request,
                           const exchange_ptr& exchange)
{
    const auto bytes_text = request.query_value("bytes");
    const double bytes = bytes_text.empty() ? 0 : std::stod(bytes_text);
    const auto now = static_cast<double>(clock_.now());
    weights_free_at_ = std::max(now, weights_free_at_) +
                       bytes / options_.weight_bytes_per_s * 1000;
    const json body = {{"model", path_after(request.path, "/weights/")},
                       {"bytes", bytes}};
    tasks_.run_after(slow_ms_ + static_cast<msec>(weights_free_at_ - now),
                     [exchange, body] { respond_json(exchange, 200, body); });
}

void platform_api::list_vms(const exchange_ptr& exchange)
{
    if (!try_acquire_read("vms", exchange))
        return;
    const auto now = clock_.now();
    while (vms_.size() > 1 && vms_[1].visible_at <= now)
        vms_.pop_front();
    respond(exchange, 200, vms_.front().vms);
}

} // namespace galenapulley::standins
