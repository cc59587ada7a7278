#include "gateway/event_log.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <fcntl.h>
#include <unistd.h>

namespace galenapulley
{

namespace
{

/// Limit of the buffer when standard output is read too slowly.
constexpr std::size_t max_buffered_bytes = 65'536;

struct event_row
{
    log_event event;
    std::string_view name;
    /// Faults are logged as "warning", changes of state and the steps of a
    /// request as "info"; the arrival of a request only as "debug".
    spdlog::level::level_enum level;
};

using enum log_event;
constexpr auto info = spdlog::level::info;
constexpr auto warn = spdlog::level::warn;
constexpr auto debug = spdlog::level::debug;

constexpr std::array<event_row, log_event_count> rows{{
    {started, "started", info},
    {stopping, "stopping", info},
    {stopped, "stopped", info},
    {reloaded, "reloaded", info},
    {reload_failed, "reload_failed", warn},
    {configuration, "configuration", info},
    {configuration_rejected, "configuration_rejected", warn},
    {operations_announced, "operations_announced", info},
    {endpoints, "endpoints", info},
    {domains_withdrawn, "domains_withdrawn", info},
    {store_lost, "store_lost", warn},
    {store_regained, "store_regained", info},
    {store_restored, "store_restored", warn},
    {watch_renewed, "watch_renewed", warn},
    {peer_gained, "peer_gained", info},
    {peer_lost, "peer_lost", warn},
    {serving_set, "serving_set", info},
    {crash_reported, "strike", warn},
    {prompts_quarantined, "prompts_quarantined", warn},
    {endpoint_avoided, "endpoint_avoided", warn},
    {rate_limited, "rate_limited", warn},
    {pause_requested, "pause_requested", warn},
    {endpoint_leaving, "endpoint_leaving", info},
    {endpoint_ejected, "endpoint_ejected", warn},
    {endpoint_reinstated, "endpoint_reinstated", info},
    {partitioned, "partitioned", warn},
    {partition_ended, "partition_ended", info},
    {client_limited, "client_limited", info},
    {request_read, "request_read", debug},
    {placed, "placed", info},
    {memory_reserved, "memory_set_aside", info},
    {memory_refused, "memory_refused", info},
    {memory_released, "memory_released", info},
    {handed_over, "handed_over", info},
    {queued, "queued", info},
    {account_limited, "account_limited", info},
    {account_limit_ended, "account_limit_ended", info},
    {refused, "refused", info},
    {retried, "sent_again", info},
    {resumed, "resumed", info},
    {answered, "answered", info},
    {failed, "failed", warn},
    {cancelled, "cancelled", info},
    {skipped, "skipped", warn},
}};

const event_row& row_of(log_event event)
{
    return rows.at(static_cast<std::size_t>(event));
}

} // namespace

std::string_view name_of(log_event event)
{
    return row_of(event).name;
}

/// Buffers lines and writes them without blocking.
class event_log::line_sink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    line_sink()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    std::uint64_t take_dropped() { return dropped_.exchange(0); }

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override
    {
        if (buffer_.size() + msg.payload.size() + 1 > max_buffered_bytes)
        {
            ++dropped_;
            return;
        }
        buffer_.append(msg.payload.data(), msg.payload.size());
        buffer_ += '\n';
    }

    void flush_() override
    {
        if (buffer_.empty())
            return;
        const auto n = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
        if (n > 0)
            buffer_.erase(0, static_cast<std::size_t>(n));
    }

private:
    std::string buffer_;
    std::atomic<std::uint64_t> dropped_{0};
};

event_log::event_log(std::string node, const std::string& level)
    : node_(std::move(node))
    , sink_(std::make_shared<line_sink>())
    , logger_(std::make_shared<spdlog::logger>("events", sink_))
{
    set_level(level);
}

event_log::~event_log()
{
    flush();
}

void event_log::set_level(const std::string& level)
{
    logger_->set_level(spdlog::level::from_str(level));
}

bool event_log::admit(log_event event, msec now)
{
    const std::lock_guard lock(mutex_);
    if (now / 1000 != second_)
    {
        second_ = now / 1000;
        written_.fill(0);
    }
    if (++written_.at(static_cast<std::size_t>(event)) <= lines_per_second)
        return true;
    ++dropped_;
    ++dropped_total_;
    return false;
}

void event_log::write(log_event event, std::initializer_list<field> fields)
{
    const auto& row = row_of(event);
    if (!logger_->should_log(row.level))
        return;
    const auto now = wall_time();
    if (!admit(event, now))
        return;
    nlohmann::ordered_json line{
        {"at", now}, {"node", node_}, {"event", row.name}};
    for (const auto& [name, content] : fields)
        std::visit([&line, key = std::string(name)](const auto& it)
                   { line[key] = it; },
                   content);
    // Request ids are chosen by clients and may not be valid UTF-8.
    logger_->log(
        row.level,
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void event_log::flush()
{
    std::uint64_t dropped = sink_->take_dropped();
    dropped_total_ += dropped;
    {
        const std::lock_guard lock(mutex_);
        dropped += dropped_;
        dropped_ = 0;
    }
    if (dropped > 0)
        write(log_event::skipped,
              {{"lines", static_cast<std::int64_t>(dropped)}});
    logger_->flush();
}

} // namespace galenapulley
