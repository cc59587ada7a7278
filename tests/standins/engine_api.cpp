#include "standins/engine_api.hpp"

#include "standins/engine_sinks.hpp"
#include "standins/segment_client.hpp"

#include <openssl/sha.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

namespace galenapulley::standins
{

namespace
{

constexpr msec step_interval_ms = 4;
/// Step interval without jobs: snapshots for the load report go on.
constexpr msec idle_interval_ms = 50;
constexpr std::int64_t bytes_per_token = 5;
constexpr int crash_exit_code = 3;
constexpr const char* crash_text = "__crash_engine__";

std::int64_t tokens_of(const std::string& prompt)
{
    return (static_cast<std::int64_t>(prompt.size()) + bytes_per_token - 1) /
           bytes_per_token;
}

/// First 16 hex digits of the prompt's SHA-256.
std::string prompt_hash(const std::string& prompt)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(prompt.data()), prompt.size(),
           digest.data());
    constexpr std::size_t kept_bytes = 8;
    std::string text;
    for (std::size_t n = 0; n < kept_bytes; ++n)
    {
        constexpr const char* digits = "0123456789abcdef";
        text += digits[digest[n] >> 4];
        text += digits[digest[n] & 15];
    }
    return text;
}

job_request to_job(const std::string& prompt)
{
    job_request job;
    job.prompt_tokens = tokens_of(prompt);
    job.block_keys = prefix_cache::block_keys(prompt);
    job.crashes = prompt.find(crash_text) != std::string::npos;
    return job;
}

engine_options with_crash(engine_options options)
{
    if (!options.crash)
        options.crash = []
        {
            _exit(crash_exit_code);
        };
    return options;
}

} // namespace

/// Parsed body of a completion request.
struct engine_api::completion
{
    struct segment
    {
        std::string address;
        std::string reservation;
    };

    job_request job;
    std::string hash;
    std::vector<segment> segments;
};

engine_api::engine_api(engine_options options, std::string address)
    : address_(std::move(address))
    , simulation_(with_crash(std::move(options)), clock_.now())
    , models_(simulation_.options().models)
    , thread_([this] { run(); })
{
}

engine_api::~engine_api()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void engine_api::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        simulation_.step(clock_.now());
        const auto pause =
            simulation_.idle() ? idle_interval_ms : step_interval_ms;
        changed_.wait_for(lock, std::chrono::milliseconds(pause));
    }
}

void engine_api::handle(http_request request, const exchange_ptr& exchange)
{
    struct route
    {
        const char* method;
        const char* path;
        handler run;
    };
    static constexpr std::array<route, 12> routes{{
        {"POST", "/v1/completions", &engine_api::complete},
        {"POST", "/v1/cancel", &engine_api::cancel},
        {"GET", "/load", &engine_api::load},
        {"POST", "/kv/reserve", &engine_api::reserve},
        {"POST", "/kv/release", &engine_api::release},
        {"GET", "/kv/reservations", &engine_api::reservations},
        {"POST", "/kv/prefill", &engine_api::prefill},
        {"GET", "/kv/export", &engine_api::export_segment},
        {"POST", "/orders", &engine_api::order},
        {"GET", "/cache_events", &engine_api::cache_events},
        {"POST", "/control", &engine_api::control},
        {"GET", "/stats", &engine_api::stats},
    }};
    const auto* it = std::find_if(routes.begin(), routes.end(),
                                  [&request](const route& candidate)
                                  {
                                      return request.path == candidate.path &&
                                             request.method == candidate.method;
                                  });
    if (it == routes.end())
    {
        respond_error(exchange, 404, "unknown_path");
        return;
    }
    const bool is_test_path =
        request.path == "/control" || request.path == "/stats";
    {
        const std::lock_guard lock(mutex_);
        if (faults_.hang && !is_test_path)
            return;
    }
    (this->*it->run)(request, exchange);
}

bool engine_api::has_model(const std::string& model) const
{
    return std::find(models_.begin(), models_.end(), model) != models_.end();
}

void engine_api::complete(const http_request& request,
                          const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    const auto& prompt = body.at("prompt").get_ref<const std::string&>();
    completion call;
    call.hash = prompt_hash(prompt);
    call.job = to_job(prompt);
    call.job.request_id = body.at("request_id");
    call.job.priority = body.value("priority", 0);
    call.job.max_tokens = body.value("max_tokens", std::int64_t{16});
    call.job.resume_from = body.value("resume_from", std::int64_t{0});
    call.job.reservation = body.value("reservation", std::string());
    for (const auto& it : body.value("segments", json::array()))
        call.segments.push_back({it.at("address"), it.at("reservation")});
    {
        const std::lock_guard lock(mutex_);
        ++request_ids_[call.job.request_id];
        start_times_.push_back(wall_time());
        if (!has_model(body.at("model")))
        {
            respond_error(exchange, 404, "unknown_model");
            return;
        }
    }
    if (call.job.reservation.empty())
        begin_completion(call, exchange);
    else
        segment_fetches_.run_after(1, [this, call, exchange]
                                   { check_segments(call, exchange); });
}

void engine_api::check_segments(const completion& call,
                                const exchange_ptr& exchange)
{
    std::set<std::string> links;
    std::int64_t tokens = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto* own = simulation_.memory().find(call.job.reservation);
        if (own == nullptr || !own->prefilled)
        {
            respond_error(exchange, 409, "reservation_not_prefilled");
            return;
        }
        links = own->links;
        tokens = own->prefilled_tokens;
    }
    for (const auto& it : call.segments)
    {
        if (it.address == address_ && it.reservation == call.job.reservation)
            continue;
        const auto segment = fetch_segment(it.address, it.reservation);
        if (!segment || links.count(it.address + "/" + it.reservation) == 0)
        {
            respond_error(exchange, 409, "segment_not_linked");
            return;
        }
        tokens += segment->tokens;
    }
    if (tokens < call.job.prompt_tokens)
    {
        respond_error(exchange, 409, "segments_incomplete");
        return;
    }
    begin_completion(call, exchange);
}

void engine_api::begin_completion(const completion& call,
                                  const exchange_ptr& exchange)
{
    const std::lock_guard lock(mutex_);
    stream_options options;
    options.request_id = call.job.request_id;
    options.hash = call.hash;
    options.max_tokens = call.job.max_tokens;
    options.truncate_after = std::exchange(faults_.truncate_next, -1);
    options.skip_index = std::exchange(faults_.skip_index, false)
                             ? call.job.resume_from + 1
                             : -1;
    const auto sink =
        std::make_shared<completion_sink>(simulation_, exchange, options);
    const auto id = simulation_.submit(call.job, sink, clock_.now());
    if (id == 0)
    {
        const bool reserved = !call.job.reservation.empty();
        respond_error(exchange, reserved ? 409 : 413,
                      reserved ? "reservation_gone" : "prompt_too_long");
        return;
    }
    sink->begin(id);
    cancel_on_disconnect(exchange, id);
    changed_.notify_one();
}

void engine_api::cancel_on_disconnect(const exchange_ptr& exchange,
                                      engine_simulation::job_id id)
{
    exchange->on_disconnect(
        [this, id]
        {
            const std::lock_guard lock(mutex_);
            simulation_.cancel(id);
        });
}

void engine_api::cancel(const http_request& request,
                        const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    const auto cancelled = simulation_.cancel_request(body.at("request_id"));
    respond_json(exchange, 200, {{"cancelled", cancelled}});
}

void engine_api::load(const http_request& /*request*/,
                      const exchange_ptr& exchange)
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    const auto load = simulation_.reported_load(now);
    respond_json(exchange, 200,
                 {{"incarnation", incarnation_},
                  {"cold", load.cold},
                  {"running", load.running},
                  {"waiting", load.waiting},
                  {"kv_used", load.kv_used},
                  {"kv_capacity", simulation_.memory().capacity()},
                  {"prefill_backlog", load.prefill_backlog},
                  {"age_ms", now - load.at},
                  {"role", role_},
                  {"models", models_}});
}

void engine_api::reserve(const http_request& request,
                         const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    const bool booked = simulation_.memory().reserve(
        body.at("id"), body.at("tokens"),
        now + body.at("deadline_ms").get<msec>(), now);
    if (booked)
        respond_json(exchange, 200, {{"id", body["id"]}});
    else
        respond_error(exchange, 409, "kv_memory_short");
}

void engine_api::release(const http_request& request,
                         const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    const bool released = simulation_.release(body.at("id"));
    respond_json(exchange, 200, {{"released", released}});
}

void engine_api::reservations(const http_request& /*request*/,
                              const exchange_ptr& exchange)
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    json list = json::array();
    for (const auto& it : simulation_.memory().reservations())
        list.push_back({{"id", it.first},
                        {"tokens", it.second.tokens},
                        {"age_ms", now - it.second.created_at},
                        {"deadline_left_ms", it.second.deadline_at - now},
                        {"prefilled", it.second.prefilled}});
    respond_json(exchange, 200, list);
}

void engine_api::prefill(const http_request& request,
                         const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    auto job = to_job(body.at("prompt").get_ref<const std::string&>());
    job.reservation = body.at("id");
    job.request_id = job.reservation;
    job.priority = body.value("priority", 0);
    if (!body.contains("import") || body["import"].is_null())
    {
        begin_prefill(job, exchange);
        return;
    }
    const std::string address = body["import"].at("address");
    const std::string id = body["import"].at("id");
    segment_fetches_.run_after(
        1,
        [this, job, exchange, address, id]() mutable
        {
            const auto segment = fetch_segment(address, id);
            if (!segment)
            {
                respond_error(exchange, 409, "import_failed");
                return;
            }
            job.import_tokens = segment->tokens;
            {
                const std::lock_guard lock(mutex_);
                auto* own = simulation_.memory().find(job.reservation);
                if (own != nullptr)
                {
                    own->links = segment->links;
                    own->links.insert(address + "/" + id);
                }
            }
            begin_prefill(job, exchange);
        });
}

void engine_api::begin_prefill(const job_request& job,
                               const exchange_ptr& exchange)
{
    const std::lock_guard lock(mutex_);
    const auto* own = simulation_.memory().find(job.reservation);
    if (own == nullptr || own->tokens < job.prompt_tokens)
    {
        respond_error(exchange, own == nullptr ? 404 : 409,
                      own == nullptr ? "no_reservation"
                                     : "reservation_too_small");
        return;
    }
    const auto sink =
        std::make_shared<prefill_sink>(exchange, job.prompt_tokens);
    const auto id = simulation_.submit(job, sink, clock_.now());
    cancel_on_disconnect(exchange, id);
    changed_.notify_one();
}

void engine_api::export_segment(const http_request& request,
                                const exchange_ptr& exchange)
{
    const std::lock_guard lock(mutex_);
    const auto* found = simulation_.memory().find(request.query_value("id"));
    if (found == nullptr || !found->prefilled)
        respond_error(exchange, 404, "no_segment");
    else
        respond_json(
            exchange, 200,
            {{"tokens", found->prefilled_tokens}, {"links", found->links}});
}

void engine_api::order(const http_request& request,
                       const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    const std::int64_t fence = body.at("fence");
    const bool stale =
        simulation_.options().checks_fencing && fence < highest_fence_;
    json entry = body;
    entry["applied"] = !stale;
    orders_.push_back(entry);
    if (stale)
    {
        respond_json(exchange, 409,
                     {{"error", "stale_fence"}, {"fence", highest_fence_}});
        return;
    }
    highest_fence_ = std::max(highest_fence_, fence);
    if (body.at("order") == "set_role")
        role_ = body.at("role");
    else if (!has_model(body.at("model")))
        models_.push_back(body["model"]);
    respond_json(exchange, 200, {{"applied", true}});
}

void engine_api::cache_events(const http_request& request,
                              const exchange_ptr& exchange)
{
    const auto text = request.query_value("since");
    const std::uint64_t since = text.empty() ? 0 : std::stoull(text);
    const std::lock_guard lock(mutex_);
    json list = json::array();
    for (const auto& it : simulation_.cache().events(since, clock_.now()))
        list.push_back({{"sequence", it.sequence},
                        {"kind", it.added ? "added" : "evicted"},
                        {"block", it.block}});
    respond_json(exchange, 200, list);
}

void engine_api::control(const http_request& request,
                         const exchange_ptr& exchange)
{
    const auto body = json::parse(request.body);
    if (body.value("crash", false))
        _exit(crash_exit_code);
    const std::lock_guard lock(mutex_);
    if (body.value("turn_cold", false))
        simulation_.turn_cold();
    faults_.hang = body.value("hang", faults_.hang);
    faults_.truncate_next = body.value("truncate_next", faults_.truncate_next);
    faults_.skip_index = body.value("skip_index", faults_.skip_index);
    respond_json(exchange, 200, json::object());
}

void engine_api::stats(const http_request& request,
                       const exchange_ptr& exchange)
{
    const auto text = request.query_value("since_ms");
    const msec since = text.empty() ? 0 : std::stoll(text);
    const std::lock_guard lock(mutex_);
    const auto& counts = simulation_.counts();
    const auto load = simulation_.current_load(clock_.now());
    const auto seen_since =
        std::count_if(start_times_.begin(), start_times_.end(),
                      [since](msec at) { return at >= since; });
    respond_json(
        exchange, 200,
        {{"started", counts.started},
         {"completed", counts.completed},
         {"cancelled", counts.cancelled},
         {"collapses", counts.collapses},
         {"peak_concurrent", counts.peak_concurrent},
         {"peak_concurrent_while_cold", counts.peak_concurrent_while_cold},
         {"prefill_tokens", counts.prefill_tokens},
         {"wasted_prefill_tokens", counts.wasted_prefill_tokens},
         {"cold", load.cold},
         {"running", load.running},
         {"waiting", load.waiting},
         {"kv_used", load.kv_used},
         {"reservations", simulation_.memory().reservations().size()},
         {"seen", start_times_.size()},
         {"seen_since", seen_since},
         {"last_start_ms", start_times_.empty() ? 0 : start_times_.back()},
         {"orders", orders_},
         {"request_ids", request_ids_}});
}

} // namespace galenapulley::standins
